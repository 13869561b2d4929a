//! Tests shard assignment, the shared rate limiter, seats and the order of claims.

use ospreywing_membership::{
    assign, seat_target_count, Control, ControlChange, EditBlocked, Member, Membership,
    MembershipAction, MembershipConfig, RateLimiter, SeatSet, Versioned, FRESH_FOR, SEATS_COUNT,
};
use ospreywing_types::{DaemonIdentity, Duration, Instant, Name};
use rstest::rstest;

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn names(count: usize) -> Vec<Name> {
    (0..count).map(|i| name(&format!("d{i}"))).collect()
}

fn member(number: usize, incarnation: u64) -> Member {
    Member {
        identity: DaemonIdentity {
            name: name(&format!("d{number}")),
            incarnation,
            rpc_addr: format!("10.0.0.{number}:90"),
        },
        http_addr: String::new(),
        data_centre: name("dc"),
        box_name: name(&format!("b{number}")),
    }
}

#[rstest]
#[case(1, 4)]
#[case(3, 4)]
#[case(7, 4)]
#[case(7, 64)]
fn assign_is_even(#[case] members_count: usize, #[case] shards_count: u32) {
    let owners = assign(&names(members_count), shards_count);
    assert_eq!(owners.len(), shards_count as usize);
    let limit = (shards_count as usize).div_ceil(members_count);
    for member in 0..members_count {
        let load = owners.iter().filter(|&&owner| owner == member).count();
        assert!(
            load <= limit,
            "member {member} has {load} of {shards_count}"
        );
    }
}

#[test]
fn assign_no_members_is_empty() {
    assert_eq!(assign(&[], 4), Vec::<usize>::new());
}

#[test]
fn assign_moves_few_shards_when_one_leaves() {
    let before = names(7);
    let after: Vec<Name> = before.iter().skip(1).cloned().collect();
    let first = assign(&before, 64);
    let second = assign(&after, 64);
    let moved = (0..64).filter(|&shard| before[first[shard]] != after[second[shard]]);
    // A seventh of the shards must move; the load limit moves some more.
    assert!(moved.count() <= 24);
}

#[rstest]
#[case(0, 8)]
#[case(1, 8)]
#[case(3, 2)]
#[case(7, 1)]
#[case(12, 1)]
fn seat_target_count_never_exceeds(#[case] daemons_count: usize, #[case] expected: u32) {
    let target = seat_target_count(daemons_count);
    assert_eq!(target, expected);
    assert!(daemons_count > 8 || target * daemons_count as u32 <= SEATS_COUNT);
}

#[test]
fn seat_set_insert_and_remove() {
    let mut seats = SeatSet::from_iter([1, 5]);
    seats.insert(7);
    seats.remove(1);
    assert_eq!(seats.iter().collect::<Vec<_>>(), [5, 7]);
    assert_eq!(seats.len(), 2);
}

#[test]
fn rate_limiter_shares_a_rate() {
    let mut rate_limiter = RateLimiter::new(60, 4);
    rate_limiter.set_sharers(3);
    let mut acquired_count = 0;
    for ms in 0..10_000 {
        acquired_count += u32::from(rate_limiter.try_acquire(Instant::from_ms(ms)));
    }
    // 20 tokens per second for 10 s, and the burst of 4.
    assert!((200..=204).contains(&acquired_count), "{acquired_count}");
}

#[test]
fn control_older_change_is_ignored() {
    let mut control = Control::default();
    let owner = |revision| ControlChange::Owner {
        shard: 0,
        owner: Versioned {
            value: Some(member(0, revision).identity),
            revision,
        },
    };
    control.apply(owner(7));
    control.apply(owner(5));
    assert_eq!(control.owner(0).revision, 7);
}

/// Creates the view of daemon `me` on daemons `d0` to `d2`: all are live, and no
/// shard has an owner.
fn view(me: usize) -> Membership {
    let mut membership = Membership::new(MembershipConfig::new(member(me, me as u64), 4));
    let members = (0..3).map(|i| ControlChange::Member(member(i, i as u64)));
    membership.on_control(Instant::from_ms(1000), members.collect());
    membership
}

fn claims(membership: &mut Membership, at_ms: u64) -> usize {
    let mut actions = Vec::new();
    membership.decide(Instant::from_ms(at_ms), &mut actions);
    let claims = actions
        .iter()
        .filter(|action| matches!(action, MembershipAction::ClaimShard { .. }));
    claims.count()
}

#[test]
fn decide_vacant_shard_is_first_claimed_by_one_daemon() {
    let first: usize = (0..3).map(|me| claims(&mut view(me), 1000)).sum();
    assert_eq!(first, 4, "each shard is claimed by its assigned daemon");
    // If that daemon does not claim it, the others do so in turn.
    let mut other = view(0);
    let at_once = claims(&mut other, 1000);
    let later = claims(&mut other, 1000 + 1900);
    assert!(later > at_once, "{later} after {at_once}");
}

#[test]
fn decide_seat_of_unresponsive_daemon_is_not_claimed() {
    let mut membership = view(0);
    let seats = (0..SEATS_COUNT).map(|seat| ControlChange::Seat {
        seat,
        holder: Versioned {
            value: Some(member(1, 1).identity),
            revision: 9,
        },
    });
    membership.on_control(Instant::from_ms(1000), seats.collect());
    let seat_claims = |membership: &mut Membership, at: Instant| {
        let mut actions = Vec::new();
        membership.decide(at, &mut actions);
        let claims = actions
            .iter()
            .filter(|action| matches!(action, MembershipAction::ClaimSeat { .. }));
        claims.count()
    };
    let hour = Instant::from_ms(1000) + Duration::from_s(3600);
    assert_eq!(seat_claims(&mut membership, hour), 0);
    membership.on_gone(hour, 1);
    assert_eq!(seat_claims(&mut membership, hour), 0);
    let over = hour + Duration::from_s(10);
    assert_eq!(seat_claims(&mut membership, over), 1);
}

/// Only daemons that were just discovered make the block of an edit transient.
#[test]
fn check_edit_peers_just_discovered_is_transient() {
    let mut membership = view(0);
    let first_seen_at = Instant::from_ms(1_000);
    membership.on_store_answer(first_seen_at);
    let just_discovered = membership.check_edit(first_seen_at);
    assert_eq!(
        just_discovered,
        Err(EditBlocked::NoMajority {
            responsive_count: 1,
            new_count: 2,
            all_count: 3,
        })
    );
    assert!(just_discovered.is_err_and(EditBlocked::is_transient));
    let later = first_seen_at + FRESH_FOR;
    membership.on_store_answer(later);
    let unresponsive = membership.check_edit(later);
    assert!(unresponsive.is_err_and(|blocked| !blocked.is_transient()));
}

#[test]
fn check_edit_store_unresponsive_is_blocked() {
    let mut membership = Membership::new(MembershipConfig::new(member(0, 0), 4));
    let never_contacted = membership.check_edit(Instant::from_ms(1_000));
    assert_eq!(never_contacted, Err(EditBlocked::StoreNeverContacted));
    membership.on_store_answer(Instant::from_ms(1_000));
    assert_eq!(membership.check_edit(Instant::from_ms(1_000)), Ok(()));
    let unresponsive = membership.check_edit(Instant::from_ms(1_000) + FRESH_FOR);
    assert!(unresponsive.is_err_and(|blocked| !blocked.is_transient()));
}
