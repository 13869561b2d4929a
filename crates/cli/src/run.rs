//! Dispatches a parsed command line to its command.

use crate::client::Daemons;
use crate::print::Format;
use crate::{
    delays, explain, replay, report, settings_check, soak, table_commands, task_commands, CliError,
};
use clap::ArgMatches;
use clap_complete::{generate, Shell};

/// Runs the command of a parsed command line.
///
/// # Errors
///
/// Returns the reason for the failure; [`CliError::exit_kind`] gives the exit code.
pub async fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let addrs = matches.get_many::<String>("daemons").into_iter().flatten();
    let daemons = Daemons::new(addrs.cloned().collect());
    let format = if matches.get_flag("json") {
        Format::Json
    } else {
        Format::Text
    };
    match matches.subcommand() {
        Some(("table", matches)) => table_commands::run(&daemons, format, matches).await,
        Some(("submit", matches)) => task_commands::submit(&daemons, format, matches).await,
        Some(("task", matches)) => task_commands::run(&daemons, format, matches).await,
        Some(("call", matches)) => task_commands::call(&daemons, format, matches).await,
        Some(("boxes", _)) => report::boxes(&daemons, format).await,
        Some(("status", _)) => report::status(&daemons, format).await,
        Some(("report", matches)) => match matches.subcommand() {
            Some(("delays", matches)) => delays::run(format, matches),
            _ => report::burn(&daemons, format).await,
        },
        Some(("replay", matches)) => replay::run(format, matches),
        Some(("explain", matches)) => explain::run(format, matches),
        Some(("check-settings", matches)) => settings_check::run(matches),
        Some(("soak", matches)) => soak::run(matches).await,
        Some(("completions", matches)) => {
            print_completions(matches);
            Ok(())
        }
        _ => Err(CliError::Usage("no such command".to_owned())),
    }
}

fn print_completions(matches: &ArgMatches) {
    if let Some(&shell) = matches.get_one::<Shell>("shell") {
        let mut command = crate::command::command();
        generate(shell, &mut command, "ospreywing", &mut std::io::stdout());
    }
}
