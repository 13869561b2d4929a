//! Plays text files of steps and stated outcomes; for tests.
//!
//! One step a line; `#` begins a comment. Times are as `90s` or `1500ms`, and
//! things are a letter with a number, as `d2` or `k0`.

use thiserror::Error;

/// A step that can't be taken, or an outcome that is not as stated.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct StepError(pub String);

/// Plays `text`, giving the words of each line to `step`.
///
/// # Errors
///
/// Returns the first line whose step broke, with its number.
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

/// Compares what was found with what the file states.
///
/// # Errors
///
/// Returns what was found, where it is something else.
pub fn expect(found: &str, wanted: &str) -> Result<(), StepError> {
    if found == wanted {
        Ok(())
    } else {
        Err(StepError(format!("found {found}")))
    }
}

/// Reads the number behind a letter, as in `d2`.
///
/// # Panics
///
/// Panics where the word is something else: the file is wrong.
pub fn index(word: &str) -> usize {
    word[1..].parse().expect("a letter and a number")
}

/// Reads a time, as `90s` or `1500ms`, in milliseconds.
///
/// # Panics
///
/// Panics where the word is something else: the file is wrong.
pub fn ms(word: &str) -> u64 {
    match word.strip_suffix("ms") {
        Some(number) => number.parse().expect("milliseconds"),
        None => {
            let number = word.strip_suffix('s').expect("a time such as 5s");
            number.parse::<u64>().expect("seconds") * 1000
        }
    }
}
