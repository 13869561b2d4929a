//! How outdated the leader's worker list is at several sizes of the cell, by a model of a
//! store whose answers are limited in size and whose entries are rewritten all the time.

use ospreywing_control::follow::{FollowPolicy, FULL_ANSWER_COUNT};
use ospreywing_control::watches::WORKERS_POLICY;
use ospreywing_types::Duration;
use rstest::rstest;

/// The time between two rewrites of a worker's entry.
const REWRITE_PERIOD_MS: u64 = 3000;
/// The maximum number of changes in an answer of the store.
const ANSWER_LIMIT_COUNT: u64 = 400;
/// The time from a call until its answer is applied.
const CALL_MS: u64 = 12;
/// The workers that are replaced each second; each causes three changes.
const REPLACED_PER_S: u64 = 200;
/// The largest delay at which no run starts too late on a draining worker.
const DELAY_LIMIT: Duration = Duration::from_ms(1000);

/// Simulates a minute; returns the list's largest delay in milliseconds, and the calls a second.
fn simulate(
    policy: FollowPolicy,
    workers_count: u64,
    pause: impl Fn(usize) -> Duration,
) -> (u64, u64) {
    let per_s = workers_count * 1000 / REWRITE_PERIOD_MS + 3 * REPLACED_PER_S;
    let written_until = |now_ms: u64| per_s * now_ms / 1000;
    let (mut now_ms, mut read_count, mut calls_count, mut delay_ms) = (0, 0, 0, 0);
    while now_ms < 60_000 {
        // There are always changes, so the watch returns at once.
        now_ms += CALL_MS;
        calls_count += 1;
        let waiting = written_until(now_ms) - read_count;
        let delivered = waiting.min(ANSWER_LIMIT_COUNT);
        read_count += delivered;
        // The age of the oldest change that was not delivered.
        delay_ms = delay_ms.max((waiting - delivered) * 1000 / per_s);
        let pause_ms = pause(delivered as usize).as_ms();
        delay_ms = delay_ms.max(pause_ms + CALL_MS);
        now_ms += pause_ms;
    }
    assert!(policy.max_pause > Duration::ZERO);
    (delay_ms, calls_count / 60)
}

#[rstest]
#[case::small(48)]
#[case::grown(350)]
#[case::large(1_100)]
#[case::fleet(6_000)]
#[case::twice_the_fleet(12_000)]
#[case::planned(20_000)]
fn worker_list_delay_below_a_second(#[case] workers_count: u64) {
    let policy = WORKERS_POLICY;
    let (delay_ms, calls_per_s) =
        simulate(policy, workers_count, |count| policy.pause_after(count));
    assert!(delay_ms <= DELAY_LIMIT.as_ms(), "{delay_ms} ms behind");
    assert!(calls_per_s <= 60, "{calls_per_s} calls a second");
}

/// With a fixed pause, the list falls behind ever further from some cell size on.
#[test]
fn worker_list_delay_with_fixed_pause() {
    let policy = WORKERS_POLICY;
    let (delay_ms, _) = simulate(policy, 6_000, |_| policy.max_pause);
    assert!(delay_ms > DELAY_LIMIT.as_ms(), "{delay_ms} ms");
}

#[rstest]
#[case::one(1, 398)]
#[case::half(100, 200)]
#[case::full(FULL_ANSWER_COUNT, 0)]
#[case::more(5_000, 0)]
fn pause_after_changes(#[case] changes_count: usize, #[case] expected_ms: u64) {
    let pause = WORKERS_POLICY.pause_after(changes_count);
    assert_eq!(pause.as_ms(), expected_ms);
}
