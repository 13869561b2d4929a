//! The timeouts of calls, which allow for delays of this process.

use crate::HttpError;
use std::future::Future;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// If a timer fires at least this late, this process itself was delayed: timers have a
/// resolution of 1 ms, and in an idle process they are at most a few milliseconds late.
const LATENESS_TOLERANCE: Duration = Duration::from_millis(10);

/// The timeouts of a call in progress.
pub(crate) struct Timeouts {
    started_at: Instant,
    /// The start of the call on the clock that the pool uses for the age of connections.
    called_at: ospreywing_types::Instant,
    timeout: Duration,
    body_idle_timeout: Option<Duration>,
}

impl Timeouts {
    pub(crate) fn start(timeout: Duration, body_idle_timeout: Option<Duration>) -> Self {
        Self {
            started_at: Instant::now(),
            called_at: ospreywing_clock::now(),
            timeout,
            body_idle_timeout,
        }
    }

    /// Returns the start of the call on the clock that the pool uses for the age of connections.
    pub(crate) const fn called_at(&self) -> ospreywing_types::Instant {
        self.called_at
    }

    /// Returns the timeout of the call.
    pub(crate) const fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Returns when a request that was not sent is given up: after twice the timeout, since a
    /// late process may extend its wait by as much (see [`wait_until`]).
    ///
    /// Timers don't limit how long this process holds a request: they stop while the machine is
    /// suspended, and a wait that is extended after a stop was over before.
    pub(crate) fn request_expires_at(&self) -> ospreywing_types::Instant {
        let limit_ms = (self.timeout * 2).as_millis() as u64;
        self.called_at + ospreywing_types::Duration::from_ms(limit_ms)
    }

    /// Waits for the response head.
    pub(crate) async fn await_head<T>(
        &self,
        head: impl Future<Output = T>,
    ) -> Result<T, HttpError> {
        let deadline = self.started_at + self.timeout;
        let head = wait_until(deadline, self.timeout, head).await;
        head.ok_or_else(|| timed_out(self.timeout, 0))
    }

    /// Waits for the next part of the response body.
    pub(crate) async fn await_body_part<T>(
        &self,
        part: impl Future<Output = T>,
        received_bytes: usize,
    ) -> Result<T, HttpError> {
        let (deadline, limit) = match self.body_idle_timeout {
            Some(limit) => (Instant::now() + limit, limit),
            None => (self.started_at + self.timeout, self.timeout),
        };
        let part = wait_until(deadline, limit, part).await;
        part.ok_or_else(|| timed_out(limit, received_bytes))
    }
}

/// Waits for a future until `deadline`, or longer if this process itself was delayed.
///
/// After a delay, data may have arrived that the process has not read yet. So if the timer
/// fires late, the wait is extended by the lateness, by at most `limit` in total.
async fn wait_until<T>(
    deadline: Instant,
    limit: Duration,
    awaited: impl Future<Output = T>,
) -> Option<T> {
    let mut awaited = pin!(awaited);
    let mut deadline = deadline;
    let mut remaining_extension = limit;
    loop {
        if let Ok(value) = timeout_at(deadline, awaited.as_mut()).await {
            return Some(value);
        }
        let now = Instant::now();
        let lateness = now.saturating_duration_since(deadline);
        if lateness < LATENESS_TOLERANCE || remaining_extension.is_zero() {
            return None;
        }
        let extension = lateness.min(remaining_extension);
        remaining_extension -= extension;
        deadline = now + extension;
    }
}

const fn timed_out(limit: Duration, received_bytes: usize) -> HttpError {
    HttpError::TimedOut {
        limit_ms: limit.as_millis() as u64,
        received_bytes,
    }
}
