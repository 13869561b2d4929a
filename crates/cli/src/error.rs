//! The errors of the tool and their exit codes.

use ospreywing_http::HttpError;
use thiserror::Error;

/// The exit code of a failed command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitKind {
    /// The command failed for another reason.
    Failure = 1,
    /// The command line, a file or a setting is invalid.
    Usage = 2,
    /// The request was not executed and can be retried later.
    NotRun = 3,
    /// It is unknown whether the request was executed.
    Unknown = 4,
    /// Another operator changed the row first.
    Conflict = 5,
}

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CliError {
    /// The command line or the content of a file is invalid.
    #[error("{0}")]
    Usage(String),
    /// A file can't be read.
    #[error("{path}: {source}")]
    File {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// No daemon could be reached.
    #[error("can't reach any daemon: {0}")]
    Unreachable(HttpError),
    /// The request may have been received, but no usable response arrived.
    #[error("no usable response; the request may have been executed: {0}")]
    ResponseLost(HttpError),
    /// A daemon refused the request.
    #[error("{reason}{}", retry_hint(*.retry_after_ms))]
    Refused {
        /// The HTTP status code.
        status: u16,
        /// The reason that the daemon gave.
        reason: String,
        /// The delay after which to retry, in milliseconds, if the request was not run.
        retry_after_ms: Option<u64>,
    },
    /// Another operator changed the row first.
    #[error("{0}")]
    Conflict(String),
    /// A soak found an invariant violation, or could not be run.
    #[error("{0}")]
    SoakFailed(String),
    /// The daemon doesn't know whether the request was executed.
    #[error("unknown: {0}")]
    Unknown(String),
}

fn retry_hint(retry_after_ms: Option<u64>) -> String {
    retry_after_ms.map_or(String::new(), |ms| format!(" (not run; retry in {ms} ms)"))
}

impl CliError {
    /// Returns the exit code for this error.
    pub const fn exit_kind(&self) -> ExitKind {
        match self {
            Self::Usage(_) | Self::File { .. } => ExitKind::Usage,
            Self::Unreachable(_) => ExitKind::NotRun,
            Self::ResponseLost(_) | Self::Unknown(_) => ExitKind::Unknown,
            Self::SoakFailed(_) => ExitKind::Failure,
            Self::Refused { retry_after_ms, .. } => match retry_after_ms {
                Some(_) => ExitKind::NotRun,
                None => ExitKind::Failure,
            },
            Self::Conflict(_) => ExitKind::Conflict,
        }
    }
}
