//! The lives of workers to which tasks were given, as the store keeps them.
//!
//! They stand behind the rest of a job's progress, so that progress without any is written as
//! it was before workers told their starts.

use crate::life::LifeStart;
use crate::state::{JobState, TaskStatus};
use serde::{Deserialize, Serialize};

/// The life of a worker to which a task was given.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct PlacedLife {
    round: u32,
    step: u32,
    index: u32,
    life_start: LifeStart,
}

impl JobState {
    /// Returns the lives to which the job's tasks were given, where they are known.
    pub(crate) fn placed_lives(&self) -> Vec<PlacedLife> {
        let mut lives = Vec::new();
        for round in &self.rounds {
            for (step, state) in (0..).zip(&round.steps) {
                for (index, task) in (0..).zip(&state.tasks) {
                    if let TaskStatus::Placed {
                        life_start: Some(life_start),
                        ..
                    } = task.status
                    {
                        lives.push(PlacedLife {
                            round: round.number,
                            step,
                            index,
                            life_start,
                        });
                    }
                }
            }
        }
        lives
    }

    /// Sets the lives to which tasks were given; what names no such task is left out.
    pub(crate) fn set_placed_lives(&mut self, lives: &[PlacedLife]) {
        for life in lives {
            let round = self.round_mut(life.round);
            let step = round.and_then(|round| round.steps.get_mut(life.step as usize));
            let task = step.and_then(|step| step.tasks.get_mut(life.index as usize));
            if let Some(TaskStatus::Placed { life_start, .. }) = task.map(|task| &mut task.status) {
                *life_start = Some(life.life_start);
            }
        }
    }
}
