//! The worker incarnations to which tasks were assigned, as stored.
//!
//! They follow the rest of a job's progress, so that progress without them keeps the
//! encoding from before workers reported their incarnations.

use crate::incarnation::Incarnation;
use crate::state::{JobState, TaskStatus};
use serde::{Deserialize, Serialize};

/// The incarnation to which a task was assigned.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct PlacedIncarnation {
    round: u32,
    step: u32,
    index: u32,
    #[serde(rename = "life_start")]
    incarnation: Incarnation,
}

impl JobState {
    /// Returns the known incarnations to which the job's tasks were assigned.
    pub(crate) fn placed_incarnations(&self) -> Vec<PlacedIncarnation> {
        let mut placed_incarnations = Vec::new();
        for round in &self.rounds {
            for (step, state) in (0..).zip(&round.steps) {
                for (index, task) in (0..).zip(&state.tasks) {
                    if let TaskStatus::Placed {
                        incarnation: Some(incarnation),
                        ..
                    } = task.status
                    {
                        placed_incarnations.push(PlacedIncarnation {
                            round: round.number,
                            step,
                            index,
                            incarnation,
                        });
                    }
                }
            }
        }
        placed_incarnations
    }

    /// Sets the incarnations to which tasks were assigned; entries for tasks that are not
    /// placed are ignored.
    pub(crate) fn set_placed_incarnations(&mut self, placed_incarnations: &[PlacedIncarnation]) {
        for placed in placed_incarnations {
            let round = self.round_mut(placed.round);
            let step = round.and_then(|round| round.steps.get_mut(placed.step as usize));
            let task = step.and_then(|step| step.tasks.get_mut(placed.index as usize));
            if let Some(TaskStatus::Placed { incarnation, .. }) = task.map(|task| &mut task.status)
            {
                *incarnation = Some(placed.incarnation);
            }
        }
    }
}
