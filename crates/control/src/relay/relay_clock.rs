//! The leader's estimate of a relay's clock.
//!
//! The clocks of two machines have nothing in common. A relay can only tell how old a batch is
//! if the batch carries the time at which it was sent on the relay's own clock.

use crate::relay::batch::CLOCK_TOLERANCE;
use ospreywing_types::{Duration, Instant};

/// The time after which the clock is read again, for a restarted relay and for drift.
const READING_PERIOD: Duration = Duration::from_ms(10_000);
/// The time after which the clock is read again if the answer was slow.
const SLOW_READING_PERIOD: Duration = Duration::from_ms(500);
/// The round trip from which an answer is slow: the estimate lags by up to that much.
const SLOW_ROUND_TRIP: Duration = Duration::from_ms(50);
/// How long a reading is kept if later ones are worse. Clocks drift apart by some 30 ms in
/// that time.
const READING_MAX_AGE: Duration = Duration::from_s(60);

/// A reading of the relay's clock.
#[derive(Clone, Copy, Debug)]
struct Reading {
    relay_time: Instant,
    /// When it was received, on the leader's clock.
    received_at: Instant,
}

impl Reading {
    fn estimate(&self, now: Instant) -> Instant {
        self.relay_time + now.since(self.received_at)
    }
}

/// The estimate of a relay's clock, which never runs ahead of it except by drift.
#[derive(Clone, Copy, Debug, Default)]
pub struct RelayClock {
    best: Option<Reading>,
    next_reading_at: Instant,
}

impl RelayClock {
    /// Returns whether the relay's clock is to be read before the next batch.
    pub fn is_reading_due(&self, now: Instant) -> bool {
        now >= self.next_reading_at
    }

    /// Records a reading that was requested at `sent_at` and received at `received_at`.
    pub fn record(&mut self, sent_at: Instant, received_at: Instant, relay_time: Instant) {
        let round_trip = received_at.since(sent_at);
        let is_slow = round_trip > SLOW_ROUND_TRIP;
        let period = if is_slow {
            SLOW_READING_PERIOD
        } else {
            READING_PERIOD
        };
        self.next_reading_at = received_at + period;
        // The reading was taken before it was received, so the largest estimate is the best. One
        // that exceeds the relay's time even at the end of the round trip is of another clock.
        let is_better = self.best.is_none_or(|best| {
            let estimate = best.estimate(received_at);
            received_at.since(best.received_at) > READING_MAX_AGE
                || relay_time >= estimate
                || estimate.since(relay_time) > round_trip + CLOCK_TOLERANCE
        });
        if is_better {
            self.best = Some(Reading {
                relay_time,
                received_at,
            });
        }
    }

    /// Records that the relay does not tell its clock: its version is earlier.
    pub fn record_none(&mut self, now: Instant) {
        self.best = None;
        self.next_reading_at = now + READING_PERIOD;
    }

    /// Returns the relay's time at `now`, if it is known.
    pub fn estimate(&self, now: Instant) -> Option<Instant> {
        self.best.map(|best| best.estimate(now))
    }
}
