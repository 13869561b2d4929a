//! Prints results as text or JSON.

use serde::Serialize;

/// The output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    /// Text for people.
    Text,
    /// JSON for programs.
    Json,
}

/// Prints `value` as JSON, or the result of `text`, depending on `format`.
pub(crate) fn print(format: Format, value: &impl Serialize, text: impl FnOnce() -> String) {
    let printed = match format {
        Format::Json => serde_json::to_string_pretty(value).unwrap_or_default(),
        Format::Text => text(),
    };
    println!("{}", printed.trim_end());
}

/// Formats lines of cells as aligned columns under a heading.
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
