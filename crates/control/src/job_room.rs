//! Decides whether a leader has room for a large job.
//!
//! An accepted job is kept, whatever it takes up, so a job that the leader has no room for must be
//! refused before it is accepted. Nodes ask the leader about large jobs only; small ones are
//! accepted beside any number of large ones.

use ospreywing_scheduler::JobId;
use ospreywing_types::{Duration, Instant};
use std::collections::BTreeMap;

/// The largest job that a node accepts without asking the leader. The largest jobs of the known
/// deployments, with 1,200 tasks, take up less.
pub const SMALL_JOB_BYTES: usize = 384 * 1024;
/// How long room is reserved for a job that the leader does not know yet.
const RESERVATION_TIMEOUT: Duration = Duration::from_s(5);

/// Room that is reserved for a job until the leader knows it.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    bytes: usize,
    until: Instant,
}

/// The room that a leader has for large jobs.
#[derive(Debug)]
pub struct JobRoom {
    limit_bytes: usize,
    reservations: BTreeMap<JobId, Reservation>,
}

impl JobRoom {
    /// Creates room for large jobs of `limit_bytes` in all.
    pub const fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            reservations: BTreeMap::new(),
        }
    }

    /// Reserves room for a large job beside active ones of `active_bytes`; returns whether there is
    /// room. `is_known` returns whether the leader knows a job.
    ///
    /// A job that is larger than the limit is admitted if no other large one is active.
    pub fn reserve(
        &mut self,
        now: Instant,
        job: JobId,
        bytes: usize,
        active_bytes: usize,
        is_known: impl Fn(JobId) -> bool,
    ) -> bool {
        self.reservations
            .retain(|job, reservation| now < reservation.until && !is_known(*job));
        if is_known(job) {
            return true;
        }
        self.reservations.remove(&job);
        let reserved = self.reservations.values().map(|it| it.bytes);
        let used_bytes = active_bytes + reserved.sum::<usize>();
        let has_room = used_bytes == 0 || used_bytes + bytes <= self.limit_bytes;
        if has_room {
            let until = now + RESERVATION_TIMEOUT;
            self.reservations.insert(job, Reservation { bytes, until });
        }
        has_room
    }
}
