//! The columns of the table: the only declaration of each name, help text,
//! text form and range.

use crate::row::{Policy, Repeat, Row, RowKind};
use crate::CellError;
use ospreywing_types::Name;

/// A column: its name, its help text, the kinds of row that have it, and the
/// conversion of its cells from and to text.
pub struct Column {
    /// The heading in the CSV form.
    pub name: &'static str,
    /// A help text of one line, for operators.
    pub help: &'static str,
    /// The kinds of row that have the column.
    pub kinds: &'static [RowKind],
    /// Returns the cell's text.
    pub get: fn(&Row) -> String,
    /// Sets the cell from text.
    pub set: fn(&mut Row, &str) -> Result<(), CellError>,
}

impl Column {
    /// Returns whether rows of `kind` have this column.
    pub fn is_for(&self, kind: RowKind) -> bool {
        self.kinds.contains(&kind)
    }

    /// Returns the column named `name`, if there is one.
    pub fn named(name: &str) -> Option<&'static Self> {
        COLUMNS.iter().find(|column| column.name == name)
    }
}

const ALL: &[RowKind] = &[
    RowKind::Cell,
    RowKind::Team,
    RowKind::Service,
    RowKind::Batch,
];
const CELL: &[RowKind] = &[RowKind::Cell];
const WORK: &[RowKind] = &[RowKind::Service, RowKind::Batch];
const LIMITED: &[RowKind] = &[RowKind::Team, RowKind::Service, RowKind::Batch];
const SERVICE: &[RowKind] = &[RowKind::Service];
const BATCH: &[RowKind] = &[RowKind::Batch];

const SHARE_MAX: u64 = 1_000_000;
const PRIORITY_MAX: u64 = 1000;
const CAP_MAX: u64 = u32::MAX as u64;
const WEEK_MS: u64 = 7 * 24 * 3600 * 1000;
const RETRY_LIMIT_MAX: u64 = 100;

fn number(text: &str, min: u64, max: u64) -> Result<u64, CellError> {
    match text.parse::<u64>() {
        Ok(value) if (min..=max).contains(&value) => Ok(value),
        Ok(_) | Err(_) => Err(CellError::Number {
            text: text.to_owned(),
            min,
            max,
        }),
    }
}

fn number_u32(text: &str, min: u64, max: u64) -> Result<u32, CellError> {
    number(text, min, max.min(CAP_MAX)).map(|value| value as u32)
}

fn keyword<T: Copy>(
    text: &str,
    words: &[(&str, T)],
    allowed: &'static str,
) -> Result<T, CellError> {
    let found = words.iter().find(|(name, _)| *name == text);
    match found {
        Some((_, value)) => Ok(*value),
        None => Err(CellError::Word {
            text: text.to_owned(),
            allowed,
        }),
    }
}

fn name(text: &str) -> Result<Name, CellError> {
    Name::new(text).map_err(|error| CellError::Name {
        text: text.to_owned(),
        reason: error.to_string(),
    })
}

macro_rules! number_column {
    ($name:literal, $help:literal, $kinds:expr, $($field:ident).+, $min:expr, $max:expr, $parse:ident) => {
        Column {
            name: $name,
            help: $help,
            kinds: $kinds,
            get: |row| row.$($field).+.to_string(),
            set: |row, text| {
                row.$($field).+ = $parse(text, $min, $max)?;
                Ok(())
            },
        }
    };
}

/// Every column, in the order of the CSV form.
pub static COLUMNS: &[Column] = &[
    Column {
        name: "row",
        help: "The row's name.",
        kinds: ALL,
        get: |row| row.name.to_string(),
        set: |row, text| {
            row.name = name(text)?;
            Ok(())
        },
    },
    Column {
        name: "kind",
        help: "What the row is about: cell, team, service or batch.",
        kinds: ALL,
        get: |row| row.kind.as_str().to_owned(),
        set: |row, text| {
            let words = ALL.iter().map(|kind| (kind.as_str(), *kind));
            let words: Vec<_> = words.collect();
            row.kind = keyword(text, &words, "cell, team, service, batch")?;
            Ok(())
        },
    },
    Column {
        name: "team",
        help: "The team whose quota the workload uses.",
        kinds: WORK,
        get: |row| row.team.as_ref().map_or(String::new(), Name::to_string),
        set: |row, text| {
            row.team = Some(name(text)?);
            Ok(())
        },
    },
    Column {
        name: "policy",
        help: "What the cell weighs most: waiting or packing.",
        kinds: CELL,
        get: |row| row.policy.as_str().to_owned(),
        set: |row, text| {
            let words = [Policy::Waiting, Policy::Packing].map(|word| (word.as_str(), word));
            row.policy = keyword(text, &words, "waiting, packing")?;
            Ok(())
        },
    },
    number_column!(
        "share",
        "The workload's weight against others of its priority.",
        WORK,
        share,
        1,
        SHARE_MAX,
        number_u32
    ),
    number_column!(
        "priority",
        "Higher goes first.",
        WORK,
        priority,
        0,
        PRIORITY_MAX,
        number_u32
    ),
    number_column!(
        "cap_cores_milli",
        "Most processors at once, in thousandths of a core; 0 for no cap.",
        LIMITED,
        caps.cores_milli,
        0,
        CAP_MAX,
        number_u32
    ),
    number_column!(
        "cap_memory_mib",
        "Most memory at once, in mebibytes; 0 for no cap.",
        LIMITED,
        caps.memory_mib,
        0,
        CAP_MAX,
        number_u32
    ),
    number_column!(
        "cap_accelerators_count",
        "Most accelerators at once; 0 for no cap.",
        LIMITED,
        caps.accelerators_count,
        0,
        CAP_MAX,
        number_u32
    ),
    number_column!(
        "cap_running_count",
        "Most tasks running at once; 0 for no cap.",
        LIMITED,
        caps.running_count,
        0,
        CAP_MAX,
        number_u32
    ),
    number_column!(
        "cap_inflight_count",
        "Most requests in flight at once; 0 for no cap.",
        SERVICE,
        caps.inflight_count,
        0,
        CAP_MAX,
        number_u32
    ),
    number_column!(
        "cap_rate_per_s",
        "Most requests a second; 0 for no cap.",
        SERVICE,
        caps.rate_per_s,
        0,
        CAP_MAX,
        number_u32
    ),
    number_column!(
        "deadline_ms",
        "How long a request or task may take in all; 0 for no deadline.",
        WORK,
        deadline_ms,
        0,
        WEEK_MS,
        number
    ),
    Column {
        name: "repeat",
        help: "Whether a run in doubt may be repeated: at_most_once or repeatable.",
        kinds: WORK,
        get: |row| row.repeat.as_str().to_owned(),
        set: |row, text| {
            let words = [Repeat::AtMostOnce, Repeat::Repeatable].map(|word| (word.as_str(), word));
            row.repeat = keyword(text, &words, "at_most_once, repeatable")?;
            Ok(())
        },
    },
    number_column!(
        "retry_limit_count",
        "How often a failed run is tried again.",
        WORK,
        retry_limit_count,
        0,
        RETRY_LIMIT_MAX,
        number_u32
    ),
    number_column!(
        "objective_permille",
        "The part to be done by the deadline, in thousandths.",
        WORK,
        objective_permille,
        0,
        1000,
        number_u32
    ),
    number_column!(
        "hold_ms",
        "How long a running task goes on while its owner can't reach the store.",
        BATCH,
        hold_ms,
        1000,
        WEEK_MS,
        number
    ),
];
