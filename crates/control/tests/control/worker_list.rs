//! How far the leader's list of workers is behind, at several sizes of the cell: a model of
//! a store whose answers are bounded and whose entries are rewritten all the time.

use ospreywing_control::follow::{FollowPolicy, FULL_ANSWER_COUNT};
use ospreywing_control::watches::WORKERS_POLICY;
use ospreywing_types::Duration;
use rstest::rstest;

/// How often a worker rewrites its entry.
const REWRITE_PERIOD_MS: u64 = 3000;
/// The changes that an answer of the store holds at most.
const ANSWER_LIMIT_COUNT: u64 = 400;
/// How long a call takes until its answer is taken in.
const CALL_MS: u64 = 12;
/// Workers that are replaced in a second; each brings three changes.
const REPLACED_PER_S: u64 = 200;
/// What the promise on leaving workers allows.
const BEHIND_LIMIT: Duration = Duration::from_ms(1000);

/// Plays a minute; returns how far the list is behind at worst, and the calls a second.
fn play(policy: FollowPolicy, workers_count: u64, pause: impl Fn(usize) -> Duration) -> (u64, u64) {
    let per_s = workers_count * 1000 / REWRITE_PERIOD_MS + 3 * REPLACED_PER_S;
    let written_until = |now_ms: u64| per_s * now_ms / 1000;
    let (mut now_ms, mut read_count, mut calls_count, mut behind_ms) = (0, 0, 0, 0);
    while now_ms < 60_000 {
        // Changes are there all the time, so the store does not wait.
        now_ms += CALL_MS;
        calls_count += 1;
        let waiting = written_until(now_ms) - read_count;
        let brought = waiting.min(ANSWER_LIMIT_COUNT);
        read_count += brought;
        // The oldest change that was not brought is so old.
        behind_ms = behind_ms.max((waiting - brought) * 1000 / per_s);
        let pause_ms = pause(brought as usize).as_ms();
        behind_ms = behind_ms.max(pause_ms + CALL_MS);
        now_ms += pause_ms;
    }
    assert!(policy.max_pause > Duration::ZERO);
    (behind_ms, calls_count / 60)
}

#[rstest]
#[case::small(48)]
#[case::grown(350)]
#[case::large(1_100)]
#[case::fleet(6_000)]
#[case::twice_the_fleet(12_000)]
#[case::planned(20_000)]
fn worker_list_is_behind_by_less_than_a_second(#[case] workers_count: u64) {
    let policy = WORKERS_POLICY;
    let (behind_ms, calls_per_s) = play(policy, workers_count, |count| policy.pause_after(count));
    assert!(behind_ms <= BEHIND_LIMIT.as_ms(), "{behind_ms} ms behind");
    assert!(calls_per_s <= 60, "{calls_per_s} calls a second");
}

/// A pause that is always the same falls behind for good from some size on.
#[test]
fn worker_list_with_a_fixed_pause_falls_behind() {
    let policy = WORKERS_POLICY;
    let (behind_ms, _) = play(policy, 6_000, |_| policy.max_pause);
    assert!(behind_ms > BEHIND_LIMIT.as_ms(), "{behind_ms} ms");
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
