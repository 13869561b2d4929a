//! Printing for people and for programs.

use serde::Serialize;

/// How results are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    /// For people.
    Text,
    /// For programs.
    Json,
}

/// Prints `value` as JSON, or `text` for people.
pub(crate) fn print(format: Format, value: &impl Serialize, text: impl FnOnce() -> String) {
    let printed = match format {
        Format::Json => serde_json::to_string_pretty(value).unwrap_or_default(),
        Format::Text => text(),
    };
    println!("{}", printed.trim_end());
}

/// Lays lines of cells out in columns.
pub(crate) fn columns(heading: &[&str], lines: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = heading.iter().map(|cell| cell.len()).collect();
    for line in lines {
        for (width, cell) in widths.iter_mut().zip(line) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let pad = |cells: Vec<&str>| {
        let padded = cells.iter().zip(&widths);
        let padded: Vec<String> = padded
            .map(|(cell, &width)| format!("{cell:width$}"))
            .collect();
        padded.join("  ").trim_end().to_owned()
    };
    let mut rows = vec![pad(heading.to_vec())];
    for line in lines {
        rows.push(pad(line.iter().map(String::as_str).collect()));
    }
    rows.join("\n")
}
