//! Runs test scripts: text files of steps and expected outcomes.
//!
//! Each line is one step. `#` starts a comment. Times are written as `90s` or `1500ms`, and
//! objects as a letter with a number, such as `d2` or `k0`.

use thiserror::Error;

/// A step that can't be executed, an outcome that differs from the expected one, or a violated
/// invariant.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct StepError(pub String);

/// Runs the script `text` by calling `step` with the words of each line.
///
/// # Errors
///
/// Returns the error of the first step that fails, with its line and line number.
pub fn run_script(
    text: &str,
    mut step: impl FnMut(&[&str]) -> Result<(), StepError>,
) -> Result<(), StepError> {
    for (number, line) in (1..).zip(text.lines()) {
        let line = line.split('#').next().unwrap_or("").trim();
        if line.is_empty() {
            continue;
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        step(&words)
            .map_err(|StepError(reason)| StepError(format!("line {number}: {line}: {reason}")))?;
    }
    Ok(())
}

/// Compares an outcome with the expected one.
///
/// # Errors
///
/// Returns an error with the outcome if they differ.
pub fn expect(found: &str, expected: &str) -> Result<(), StepError> {
    if found == expected {
        Ok(())
    } else {
        Err(StepError(format!("found {found}")))
    }
}

/// Parses the number after the letter of an object, as in `d2`.
///
/// # Panics
///
/// Panics if the word is not a letter and a number.
pub fn index(word: &str) -> usize {
    word[1..].parse().expect("a letter and a number")
}

/// Parses a time such as `90s` or `1500ms`. Returns milliseconds.
///
/// # Panics
///
/// Panics if the word is not such a time.
pub fn ms(word: &str) -> u64 {
    match word.strip_suffix("ms") {
        Some(number) => number.parse().expect("milliseconds"),
        None => {
            let number = word.strip_suffix('s').expect("a time such as 5s");
            number.parse::<u64>().expect("seconds") * 1000
        }
    }
}
