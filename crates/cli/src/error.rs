//! Errors of the tool and the exit codes they lead to.

use ospreywing_http::HttpError;
use thiserror::Error;

/// What an exit code means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitKind {
    /// Something else went wrong.
    Failure = 1,
    /// The command line, a file or a setting is wrong.
    Usage = 2,
    /// The request was certainly not carried out; try again later.
    NotRun = 3,
    /// Whether the request was carried out is unknown.
    Unknown = 4,
    /// Another operator changed the row first.
    Conflict = 5,
}

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CliError {
    /// What was given is wrong.
    #[error("{0}")]
    Usage(String),
    /// A file can't be read.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// No daemon could be reached.
    #[error("no daemon answers: {0}")]
    Unreachable(HttpError),
    /// The answer was lost.
    #[error("the answer was lost: {0}")]
    ResponseLost(HttpError),
    /// A daemon refused.
    #[error("{reason}{}", retry_hint(*.retry_after_ms))]
    Refused {
        /// The HTTP status.
        status: u16,
        /// Why.
        reason: String,
        /// When to come back, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// Another operator changed the row first.
    #[error("{0}")]
    Conflict(String),
    /// A soak found a broken promise, or could not be played.
    #[error("{0}")]
    SoakFailed(String),
    /// Nothing is known of what became of the request.
    #[error("unknown: {0}")]
    Unknown(String),
}

fn retry_hint(retry_after_ms: Option<u64>) -> String {
    retry_after_ms.map_or(String::new(), |ms| {
        format!(" (not run; come back in {ms} ms)")
    })
}

impl CliError {
    /// Returns the kind of exit.
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
