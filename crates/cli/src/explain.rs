//! The command `explain`: shows the timeline of one request from the logs of several nodes.

use crate::input::read_text;
use crate::print::{print, Format};
use crate::CliError;
use clap::ArgMatches;
use serde::Serialize;
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// Smallest jump of a node's wall clock against its monotonic clock that is reported.
const MIN_CLOCK_JUMP_MS: i64 = 250;
/// Shortest time without a log line that is shown as a gap.
const MIN_GAP_MS: u64 = 1000;
/// Fields that every log line has.
const COMMON_FIELDS: [&str; 5] = ["at_ms", "wall_ms", "node", "msg", "level"];

/// One log line of the timeline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// The wall-clock time, in milliseconds since 1970.
    pub wall_ms: u64,
    /// The node that wrote the line.
    pub node: String,
    /// The log message.
    pub message: String,
    /// The other fields, as `name=value` separated by spaces.
    pub fields: String,
}

/// A jump of a node's wall clock, after which the order of its lines is uncertain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ClockJump {
    /// The node.
    pub node: String,
    /// The size of the jump, in milliseconds; negative if the clock went back.
    pub jump_ms: i64,
}

/// The log lines of one request, in time order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RequestTimeline {
    /// The lines that name the request, sorted by wall-clock time.
    pub entries: Vec<Entry>,
    /// Clock jumps that make the order uncertain.
    pub clock_doubts: Vec<ClockJump>,
    /// Number of lines that nodes dropped. Entries may be missing.
    pub dropped_count: u64,
    /// Number of lines that can't be parsed.
    pub unread_count: u64,
}

#[derive(Default)]
struct NodeClock {
    offset_ms: Option<i64>,
}

impl RequestTimeline {
    /// Collects the lines that name the job `id` or one of its tasks.
    pub fn new<'a>(id: &str, logs: impl IntoIterator<Item = &'a str>) -> Self {
        let mut timeline = Self::default();
        let mut clocks: BTreeMap<String, NodeClock> = BTreeMap::new();
        for line in logs.into_iter().flat_map(str::lines) {
            match serde_json::from_str::<Map<String, Value>>(line) {
                Ok(fields) => timeline.record_line(id, &fields, &mut clocks),
                Err(_) => timeline.unread_count += 1,
            }
        }
        timeline.entries.sort_by_key(|entry| entry.wall_ms);
        timeline
    }

    fn record_line(
        &mut self,
        id: &str,
        fields: &Map<String, Value>,
        clocks: &mut BTreeMap<String, NodeClock>,
    ) {
        let number = |name: &str| fields.get(name).and_then(Value::as_u64).unwrap_or_default();
        let text = |name: &str| fields.get(name).and_then(Value::as_str).unwrap_or_default();
        if text("msg") == "lines dropped" {
            self.dropped_count += number("count");
            return;
        }
        let (wall_ms, node) = (number("wall_ms"), text("node"));
        if text("msg") == "started" && fields.contains_key("version") {
            // The new process may run on another machine, with another clock.
            clocks.remove(node);
        }
        let offset_ms = wall_ms as i64 - number("at_ms") as i64;
        self.check_clock(node, offset_ms, clocks);
        let is_named = text("job") == id || text("task").split('.').next() == Some(id);
        if is_named {
            self.entries.push(Entry {
                wall_ms,
                node: node.to_owned(),
                message: text("msg").to_owned(),
                fields: format_fields(fields),
            });
        }
    }

    fn check_clock(
        &mut self,
        node: &str,
        offset_ms: i64,
        clocks: &mut BTreeMap<String, NodeClock>,
    ) {
        let clock = clocks.entry(node.to_owned()).or_default();
        let before_ms = clock.offset_ms.replace(offset_ms).unwrap_or(offset_ms);
        let jump_ms = offset_ms - before_ms;
        if jump_ms.abs() >= MIN_CLOCK_JUMP_MS {
            self.clock_doubts.push(ClockJump {
                node: node.to_owned(),
                jump_ms,
            });
        }
    }

    /// Formats the timeline as text, with its gaps.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        let first_ms = self.entries.first().map_or(0, |entry| entry.wall_ms);
        let mut last_ms = first_ms;
        for entry in &self.entries {
            if entry.wall_ms - last_ms >= MIN_GAP_MS {
                text.push_str(&format!("          ... {} ms\n", entry.wall_ms - last_ms));
            }
            last_ms = entry.wall_ms;
            let after_ms = entry.wall_ms - first_ms;
            let Entry {
                node,
                message,
                fields,
                ..
            } = entry;
            text.push_str(&format!("{after_ms:>8} ms  {node}  {message}  {fields}\n"));
        }
        if self.entries.is_empty() {
            text.push_str("no line names it\n");
        }
        for jump in &self.clock_doubts {
            let ClockJump { node, jump_ms } = jump;
            text.push_str(&format!(
                "warning: the wall clock of {node} jumped by {jump_ms} ms\n"
            ));
        }
        if self.dropped_count + self.unread_count > 0 {
            let (dropped, unread) = (self.dropped_count, self.unread_count);
            text.push_str(&format!(
                "warning: {dropped} lines were dropped, {unread} can't be parsed\n"
            ));
        }
        text
    }
}

fn format_fields(fields: &Map<String, Value>) -> String {
    let others = fields
        .iter()
        .filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
    let words: Vec<String> = others
        .map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        })
        .collect();
    words.join(" ")
}

/// Prints the timeline of one request.
pub(crate) fn run(format: Format, matches: &ArgMatches) -> Result<(), CliError> {
    let id = matches.get_one::<String>("id").cloned().unwrap_or_default();
    let paths = matches.get_many::<String>("log").into_iter().flatten();
    let logs: Result<Vec<String>, CliError> = paths.map(|path| read_text(path)).collect();
    let timeline = RequestTimeline::new(&id, logs?.iter().map(String::as_str));
    print(format, &timeline, || timeline.to_text());
    Ok(())
}
