//! What the configuration says for an accepted job.

/// Where a job's policy comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicySource {
    /// The present configuration.
    Configured,
    /// Nothing is known of the queue, so a default applies.
    Default,
}

impl PolicySource {
    /// Returns the value for log entries.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Configured => "configured",
            Self::Default => "default",
        }
    }
}
