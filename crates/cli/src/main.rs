//! The entry point of the program `ospreywing`.

use ospreywing_cli::{command, run, ExitKind};
use std::process::ExitCode;

/// Threads of the runtime. `soak` serves the fake platform to many nodes at once; the other
/// commands need one thread.
const THREADS_COUNT: usize = 4;

fn main() -> ExitCode {
    let matches = command::command().get_matches();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS_COUNT)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("ospreywing: {error}");
            return ExitCode::from(ExitKind::Failure as u8);
        }
    };
    match runtime.block_on(run(&matches)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ospreywing: {error}");
            ExitCode::from(error.exit_kind() as u8)
        }
    }
}
