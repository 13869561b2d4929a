//! The `ospreywingd` executable.

use clap::Command;
use ospreywing_daemon::error::DaemonError;
use ospreywing_daemon::{daemon, logging};
use ospreywing_settings::{arguments, Settings};
use slog::crit;
use std::process::ExitCode;

/// The exit code for invalid settings; the same as `clap`'s for invalid arguments.
const EXIT_SETTINGS: u8 = 2;
/// The exit code for all other failures.
const EXIT_FAILURE: u8 = 1;
const RUNTIME_THREADS_COUNT: usize = 2;

fn main() -> ExitCode {
    let command = Command::new("ospreywingd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Schedules a cell's requests and tasks; one process per entry box")
        .args(arguments());
    let matches = command.get_matches();
    let variables = std::env::vars_os().filter_map(|(name, _)| name.into_string().ok());
    let settings = Settings::check_variables(variables).and_then(|()| Settings::new(&matches));
    let settings = match settings {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("ospreywingd: settings: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    let log = logging::logger(settings.log_format, settings.name.as_str());
    match serve(settings, log.clone()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            crit!(log, "stopped"; "error" => error.to_string());
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn serve(settings: Settings, log: slog::Logger) -> Result<(), DaemonError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(RUNTIME_THREADS_COUNT)
        .enable_all()
        .build()
        .map_err(DaemonError::Runtime)?;
    runtime.block_on(daemon::run(settings, log))
}
