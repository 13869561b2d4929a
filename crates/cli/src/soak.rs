//! The command `soak`: runs randomized fault-injection tests against real nodes on this
//! machine.

use crate::CliError;
use clap::ArgMatches;
use ospreywing_soak::settings::check_size;
use ospreywing_soak::{report, run_plan, Plan, Size, SoakError, SoakSettings};
use std::path::{Path, PathBuf};

/// The name of the node program, which is in the directory of this program.
const NODE_PROGRAM: &str = "ospreywing-platformd";

/// An inclusive range of seeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seeds {
    /// The first.
    pub first: u64,
    /// The last.
    pub last: u64,
}

impl Seeds {
    /// Parses `A..B`; both ends are included.
    ///
    /// # Errors
    ///
    /// Returns the reason if the text is not a valid range.
    pub fn parse(text: &str) -> Result<Self, String> {
        let (first, last) = text.split_once("..").ok_or("it is not A..B")?;
        let number = |text: &str| text.parse().map_err(|_| format!("{text}: not a number"));
        let seeds = Self {
            first: number(first)?,
            last: number(last)?,
        };
        if seeds.first > seeds.last {
            return Err("the first is above the last".to_owned());
        }
        Ok(seeds)
    }
}

/// Runs the plans that the command line selects, and stops at the first invariant violation.
///
/// # Errors
///
/// Returns a [`CliError`] if an argument is invalid, a plan can't be run, a report can't be
/// written, or an invariant is violated.
pub async fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let binary = binary(matches)?;
    let report_dir = matches.get_one::<PathBuf>("report").cloned();
    let report_dir = report_dir.unwrap_or_default();
    let plans = plans(matches)?;
    let (mut passed_count, plans_count) = (0, plans.len());
    for plan in plans {
        let settings = SoakSettings::new(binary.clone(), report_dir.clone(), plan);
        let settings = settings.map_err(|error| usage(&error))?;
        let verdict = run_plan(&settings).await.map_err(|error| failed(&error))?;
        report::write(&report_dir, &settings.plan, &verdict).map_err(|error| failed(&error))?;
        println!("{}", report::summary_line(&verdict));
        if verdict.violation.is_some() {
            println!("{}", report::short_violation_report(&verdict));
            let run_count = passed_count + 1;
            let not_run_count = plans_count - run_count;
            return Err(CliError::SoakFailed(format!(
                "seed {} violated an invariant; {passed_count} passed before, {not_run_count} not run",
                verdict.seed
            )));
        }
        passed_count += 1;
    }
    println!("{passed_count} passed");
    Ok(())
}

fn usage(error: &SoakError) -> CliError {
    CliError::Usage(error.to_string())
}

fn failed(error: &SoakError) -> CliError {
    match error {
        SoakError::Invalid { .. } => usage(error),
        _ => CliError::SoakFailed(error.to_string()),
    }
}

fn binary(matches: &ArgMatches) -> Result<PathBuf, CliError> {
    if let Some(binary) = matches.get_one::<PathBuf>("binary") {
        return Ok(binary.clone());
    }
    let own = std::env::current_exe().map_err(|source| CliError::File {
        path: NODE_PROGRAM.to_owned(),
        source,
    })?;
    Ok(own.with_file_name(NODE_PROGRAM))
}

fn plans(matches: &ArgMatches) -> Result<Vec<Plan>, CliError> {
    if let Some(path) = matches.get_one::<PathBuf>("plan") {
        return Ok(vec![read_plan(path)?]);
    }
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let size = Size {
        boxes_count: number("boxes") as usize,
        workers_count: number("workers") as usize,
        faults_s: number("seconds"),
    };
    check_size(size).map_err(|error| usage(&error))?;
    let only = Seeds {
        first: number("seed"),
        last: number("seed"),
    };
    let seeds = matches.get_one::<Seeds>("seeds").copied().unwrap_or(only);
    let seeds = seeds.first..=seeds.last;
    let has_crashes = matches.get_flag("crashes");
    let has_restarts = matches.get_flag("restarts");
    let has_lost_histories = matches.get_flag("lost-histories");
    let draw = |seed| {
        let mut plan = Plan::draw(seed, size);
        if has_crashes {
            plan = plan.with_crashes();
        }
        if has_restarts {
            plan = plan.with_restarts();
        }
        if has_lost_histories {
            plan = plan.with_lost_histories();
        }
        plan
    };
    Ok(seeds.map(draw).collect())
}

fn read_plan(path: &Path) -> Result<Plan, CliError> {
    let name = path.display().to_string();
    let bytes = std::fs::read(path).map_err(|source| CliError::File {
        path: name.clone(),
        source,
    })?;
    serde_json::from_slice(&bytes).map_err(|error| CliError::Usage(format!("{name}: {error}")))
}
