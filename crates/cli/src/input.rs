//! Reads the files that are named on the command line.

use crate::CliError;
use ospreywing_table::{from_csv, Table};

/// Reads a file as text.
pub(crate) fn read_text(path: &str) -> Result<String, CliError> {
    std::fs::read_to_string(path).map_err(|source| CliError::File {
        path: path.to_owned(),
        source,
    })
}

/// Reads a table from a CSV file. The error lists every invalid cell.
pub(crate) fn read_table(path: &str) -> Result<Table, CliError> {
    from_csv(&read_text(path)?).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(|f| format!("{path}: {f}")).collect();
        CliError::Usage(lines.join("\n"))
    })
}
