//! The trace format and its parser.
//!
//! The first line is [`FORMAT`]. Each other line is an event: a time in milliseconds since
//! the start of the trace, which never decreases, the event's name, and its fields, separated
//! by spaces. `#` starts a comment.
//!
//! ```text
//! 0 worker NAME RACK CORES_MILLI MEMORY_MIB ACCELERATORS
//! 1500 task KEY ROW CORES_MILLI MEMORY_MIB ACCELERATORS DURATION_MS
//! 9000 lost WORKER
//! 60000 back WORKER
//! ```

use crate::TraceError;
use ospreywing_types::{Key, Name, Resources};

/// The first line of every trace: the name and version of the format.
pub const FORMAT: &str = "ospreywing-trace 1";

/// The arrival of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskArrival {
    /// The key given by the caller.
    pub key: Key,
    /// The workload row.
    pub row: Name,
    /// The resources that the task needs.
    pub resources: Resources,
    /// The time for which the task runs, in milliseconds.
    pub duration_ms: u64,
}

/// The kind of an event, with its fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TraceStep {
    /// A worker joins.
    Worker {
        /// The worker's name.
        name: Name,
        /// The worker's rack.
        rack: Name,
        /// The worker's capacity.
        resources: Resources,
    },
    /// A task arrives.
    Task(TaskArrival),
    /// A worker fails, and the tasks on it are lost.
    Lost(Name),
    /// A failed worker reconnects without tasks.
    Back(Name),
}

/// One event of a trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceEvent {
    /// The time, in milliseconds since the start of the trace.
    pub at_ms: u64,
    /// What happens.
    pub step: TraceStep,
}

/// A complete trace.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Trace {
    /// The events, in order of time.
    pub events: Vec<TraceEvent>,
}

impl Trace {
    /// Parses a trace.
    ///
    /// # Errors
    ///
    /// Returns the first invalid line and the reason.
    pub fn parse(text: &str) -> Result<Self, TraceError> {
        let mut lines = (1..).zip(text.lines());
        match lines.next() {
            Some((_, first)) if first.trim() == FORMAT => {}
            _ => return Err(TraceError::Format { expected: FORMAT }),
        }
        let mut trace = Self::default();
        let mut last_ms = 0;
        for (line, text) in lines {
            let text = text.split('#').next().unwrap_or("").trim();
            if text.is_empty() {
                continue;
            }
            let event = parse_event(text).map_err(|reason| TraceError::Line { line, reason })?;
            if event.at_ms < last_ms {
                let reason = format!("{} ms is before the time of the previous line", event.at_ms);
                return Err(TraceError::Line { line, reason });
            }
            last_ms = event.at_ms;
            trace.events.push(event);
        }
        Ok(trace)
    }
}

fn parse_event(text: &str) -> Result<TraceEvent, String> {
    let words: Vec<&str> = text.split_whitespace().collect();
    let (at, rest) = words.split_first().ok_or("empty")?;
    let at_ms = number(at, "time")?;
    let step = match rest {
        ["worker", worker, rack, cores, memory, accelerators] => TraceStep::Worker {
            name: name(worker)?,
            rack: name(rack)?,
            resources: resources(cores, memory, accelerators)?,
        },
        ["task", key, row, cores, memory, accelerators, duration] => TraceStep::Task(TaskArrival {
            key: Key::new(key).map_err(|error| format!("key: {key:?} {error}"))?,
            row: name(row)?,
            resources: resources(cores, memory, accelerators)?,
            duration_ms: number(duration, "duration")?,
        }),
        ["lost", worker] => TraceStep::Lost(name(worker)?),
        ["back", worker] => TraceStep::Back(name(worker)?),
        [word, ..] => {
            return Err(format!(
                "{word:?}: no such event, or wrong number of fields"
            ))
        }
        [] => return Err("a time without an event".to_owned()),
    };
    Ok(TraceEvent { at_ms, step })
}

fn number(text: &str, field: &str) -> Result<u64, String> {
    let parsed = text.parse();
    parsed.map_err(|_| format!("{field}: {text:?} is not a whole number"))
}

fn number_u32(text: &str, field: &str) -> Result<u32, String> {
    let parsed = text.parse();
    parsed.map_err(|_| format!("{field}: {text:?} is not a whole number below 2^32"))
}

fn name(text: &str) -> Result<Name, String> {
    Name::new(text).map_err(|error| format!("name: {text:?} {error}"))
}

fn resources(cores: &str, memory: &str, accelerators: &str) -> Result<Resources, String> {
    Ok(Resources::new(
        number_u32(cores, "cores_milli")?,
        number_u32(memory, "memory_mib")?,
        number_u32(accelerators, "accelerators")?,
    ))
}
