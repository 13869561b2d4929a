//! Tests the router's handling of requests, minions and limits; the verifier
//! checks its invariants after each event.

use ospreywing_membership::SeatSet;
use ospreywing_routing::{verify, Action, Arrival, Event, GiveUp, Request, Router, RouterConfig};
use ospreywing_table::{Repeat, Row, RowKind, Table};
use ospreywing_types::{
    BoxFacts, BoxKind, BoxState, Duration, Instant, Key, Name, Outcome, Resources,
};
use rstest::rstest;
use std::sync::Arc;

struct Harness {
    router: Router,
    now: Instant,
    last_token: u64,
}

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn minion(number: usize, state: BoxState) -> BoxFacts {
    BoxFacts {
        name: name(&format!("m{number}")),
        kind: BoxKind::Minion,
        state,
        addr: format!("10.0.0.{number}:80"),
        data_centre: name("dc"),
        rack: name("rack"),
        resources: Resources::ZERO,
        serves: vec![name("quick"), name("unsafe")],
    }
}

fn table(change: impl Fn(&mut Row)) -> Arc<Table> {
    let mut table = Table::new();
    for (text, repeat) in [
        ("quick", Repeat::Repeatable),
        ("unsafe", Repeat::AtMostOnce),
    ] {
        let mut row = Row::new(name(text), RowKind::Service);
        row.repeat = repeat;
        row.deadline_ms = 2000;
        change(&mut row);
        table.put(row);
    }
    Arc::new(table)
}

impl Harness {
    /// Creates a router with `minions_count` minions and one seat.
    fn new(minions_count: usize) -> Self {
        let mut harness = Self {
            router: Router::new(RouterConfig::new(1)),
            now: Instant::from_ms(1000),
            last_token: 0,
        };
        let boxes = (0..minions_count).map(|number| minion(number, BoxState::Live));
        harness.handle_event(Event::Boxes(boxes.collect()));
        harness.handle_event(Event::Table(table(|_| ())));
        harness.handle_event(Event::Seats(SeatSet::from_iter([0])));
        harness.handle_event(Event::Deciding(true));
        harness
    }

    fn handle_event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        assert_eq!(verify(&self.router), Ok(()));
        actions
    }

    fn submit(&mut self, row: &str, key: Option<&str>) -> Vec<Action> {
        self.last_token += 1;
        self.handle_event(Event::Arrived(Arrival {
            token: self.last_token,
            row: name(row),
            key: key.map(|key| Key::new(key).expect("a key")),
        }))
    }

    fn advance(&mut self, ms: u64) -> Vec<Action> {
        self.now = self.now + Duration::from_ms(ms);
        self.handle_event(Event::Tick)
    }
}

fn sent(actions: &[Action]) -> Vec<(Request, String)> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::Send {
            request, minion, ..
        } => Some((*request, minion.to_string())),
        _ => None,
    });
    sent.collect()
}

fn final_reply(actions: &[Action]) -> Option<&GiveUp> {
    actions.iter().find_map(|action| match action {
        Action::GiveUp { give_up, .. } => Some(give_up),
        _ => None,
    })
}

#[test]
fn arrived_with_free_slot_is_sent() {
    let mut harness = Harness::new(1);
    let actions = harness.submit("quick", None);
    let (request, _) = sent(&actions)[0].clone();
    let actions = harness.handle_event(Event::Answered(request));
    assert!(matches!(actions[0], Action::Deliver { token: 1 }));
}

#[test]
fn arrived_with_one_seat_uses_one_slot_per_minion() {
    let mut harness = Harness::new(1);
    assert_eq!(sent(&harness.submit("quick", None)).len(), 1);
    assert_eq!(sent(&harness.submit("quick", None)).len(), 0);
    let actions = harness.handle_event(Event::Seats(SeatSet::from_iter([0, 1])));
    assert_eq!(sent(&actions).len(), 1);
}

#[rstest]
#[case::leaving(Some(BoxState::Leaving))]
#[case::dropped(None)]
fn boxes_departing_minion_gets_no_new_request(#[case] state: Option<BoxState>) {
    let mut harness = Harness::new(2);
    let mut boxes = vec![minion(1, BoxState::Live)];
    boxes.extend(state.map(|state| minion(0, state)));
    harness.handle_event(Event::Boxes(boxes));
    for _ in 0..20 {
        let actions = harness.submit("quick", None);
        for (request, minion) in sent(&actions) {
            assert_eq!(minion, "m1");
            harness.handle_event(Event::Answered(request));
        }
    }
}

#[test]
fn boxes_leaving_minion_finishes_its_request() {
    let mut harness = Harness::new(1);
    let (request, _) = sent(&harness.submit("quick", None))[0].clone();
    harness.handle_event(Event::Boxes(vec![minion(0, BoxState::Leaving)]));
    let actions = harness.handle_event(Event::Answered(request));
    assert!(matches!(actions[0], Action::Deliver { .. }));
}

#[rstest]
#[case::no_row("absent", None, "row")]
#[case::no_key("unsafe", None, "request-key")]
fn arrived_invalid_request_is_rejected_without_retry(
    #[case] row: &str,
    #[case] key: Option<&str>,
    #[case] field: &str,
) {
    let mut harness = Harness::new(1);
    let actions = harness.submit(row, key);
    let give_up = final_reply(&actions).expect("the request is rejected");
    assert_eq!(give_up.outcome, Outcome::NotRun);
    assert_eq!(give_up.retry_after, None);
    assert!(give_up.reason.starts_with(field));
}

#[test]
fn arrived_over_rate_cap_is_rejected_with_retry_delay() {
    let mut harness = Harness::new(4);
    // This daemon's share is an eighth of the cap: two requests per second.
    harness.handle_event(Event::Table(table(|row| row.caps.rate_per_s = 16)));
    assert!(final_reply(&harness.submit("quick", None)).is_none());
    assert!(final_reply(&harness.submit("quick", None)).is_none());
    let actions = harness.submit("quick", None);
    let give_up = final_reply(&actions).expect("the third request is rejected");
    assert_eq!(give_up.outcome, Outcome::NotRun);
    assert!(give_up.retry_after.is_some());
    harness.advance(1000);
    assert!(final_reply(&harness.submit("quick", None)).is_none());
}

#[test]
fn arrived_over_inflight_cap_is_queued() {
    let mut harness = Harness::new(4);
    harness.handle_event(Event::Table(table(|row| row.caps.inflight_count = 8)));
    let first = sent(&harness.submit("quick", None));
    assert_eq!(sent(&harness.submit("quick", None)).len(), 0);
    let actions = harness.handle_event(Event::Answered(first[0].0));
    assert_eq!(sent(&actions).len(), 1);
}

#[test]
fn tick_queued_request_past_deadline_is_not_run() {
    let mut harness = Harness::new(1);
    harness.submit("quick", None);
    harness.submit("quick", None);
    let actions = harness.advance(2000);
    let outcomes: Vec<Outcome> = actions
        .iter()
        .filter_map(|action| match action {
            Action::GiveUp { give_up, .. } => Some(give_up.outcome),
            _ => None,
        })
        .collect();
    // The request that was sent may have run; the queued one did not.
    assert_eq!(outcomes, [Outcome::Unknown, Outcome::NotRun]);
}

#[test]
fn arrived_expected_wait_over_deadline_is_rejected() {
    let mut harness = Harness::new(1);
    let (request, _) = sent(&harness.submit("quick", None))[0].clone();
    // The minion takes 1.9 s for a request, so the expected wait of a long queue
    // exceeds the deadline.
    harness.now = harness.now + Duration::from_ms(1900);
    for _ in 0..3 {
        harness.submit("quick", None);
    }
    harness.handle_event(Event::Answered(request));
    let mut refused = None;
    for _ in 0..40 {
        let actions = harness.submit("quick", None);
        refused = refused.or(final_reply(&actions).cloned());
    }
    let refused = refused.expect("a request is rejected");
    assert_eq!(refused.outcome, Outcome::NotRun);
    assert!(refused.retry_after.is_some_and(|t| t.as_ms() >= 1000));
}

#[test]
fn interrupted_repeatable_is_resent_and_slot_is_quarantined() {
    let mut harness = Harness::new(2);
    let (request, first) = sent(&harness.submit("quick", None))[0].clone();
    let actions = harness.handle_event(Event::Interrupted(request));
    let (_, second) = sent(&actions)[0].clone();
    assert_ne!(first, second);
    assert!(!harness.router.is_seat_idle(0));
}

#[test]
fn interrupted_unsafe_is_unknown() {
    let mut harness = Harness::new(2);
    let actions = harness.submit("unsafe", Some("k"));
    let Action::TakeKey { request, .. } = actions[0] else {
        panic!("expected a claim of the key, got {actions:?}");
    };
    assert_eq!(
        sent(&harness.handle_event(Event::KeyGranted(request))).len(),
        1
    );
    let actions = harness.handle_event(Event::Interrupted(request));
    let give_up = final_reply(&actions).expect("the caller gets a final reply");
    assert_eq!(give_up.outcome, Outcome::Unknown);
    assert!(sent(&actions).is_empty());
}

#[test]
fn not_sent_unsafe_is_resent() {
    let mut harness = Harness::new(2);
    let actions = harness.submit("unsafe", Some("k"));
    let Action::TakeKey { request, .. } = actions[0] else {
        panic!("expected a claim of the key, got {actions:?}");
    };
    harness.handle_event(Event::KeyGranted(request));
    assert_eq!(
        sent(&harness.handle_event(Event::NotSent(request))).len(),
        1
    );
}

#[rstest]
#[case::taken(true, Outcome::Unknown)]
#[case::refused(false, Outcome::NotRun)]
fn key_not_granted_is_not_sent(#[case] is_taken: bool, #[case] outcome: Outcome) {
    let mut harness = Harness::new(1);
    let actions = harness.submit("unsafe", Some("k"));
    let Action::TakeKey { request, .. } = actions[0] else {
        panic!("expected a claim of the key, got {actions:?}");
    };
    let event = if is_taken {
        Event::KeyTaken(request)
    } else {
        let retry_after = Duration::from_s(1);
        Event::KeyRefused {
            request,
            retry_after,
        }
    };
    let actions = harness.handle_event(event);
    assert!(sent(&actions).is_empty());
    assert_eq!(final_reply(&actions).map(|g| g.outcome), Some(outcome));
}

#[test]
fn key_granted_after_deadline_is_not_used() {
    let mut harness = Harness::new(1);
    let actions = harness.submit("unsafe", Some("k"));
    let Action::TakeKey { request, .. } = actions[0] else {
        panic!("expected a claim of the key, got {actions:?}");
    };
    let actions = harness.advance(2000);
    assert_eq!(
        final_reply(&actions).map(|g| g.outcome),
        Some(Outcome::NotRun)
    );
    assert!(sent(&harness.handle_event(Event::KeyGranted(request))).is_empty());
    assert!(harness.router.is_seat_idle(0));
}

#[test]
fn retries_are_limited_by_budget() {
    let mut harness = Harness::new(400);
    let mut sends_count = 0;
    for _ in 0..300 {
        let mut open = sent(&harness.submit("quick", None));
        while let Some((request, _)) = open.pop() {
            sends_count += 1;
            open.extend(sent(&harness.handle_event(Event::Interrupted(request))));
        }
    }
    // The budget starts with 10 retries and earns one for every ten requests.
    assert!(sends_count <= 300 + 10 + 30, "{sends_count} sends");
}

#[test]
fn failures_eject_at_most_a_third() {
    let mut harness = Harness::new(9);
    harness.handle_event(Event::Table(table(|row| row.retry_limit_count = 0)));
    let mut reached = std::collections::BTreeSet::new();
    for round in 0..200 {
        harness.advance(20);
        for (request, minion) in sent(&harness.submit("quick", None)) {
            if round >= 100 {
                reached.insert(minion);
            }
            harness.handle_event(Event::NotSent(request));
        }
    }
    assert!(reached.len() >= 6, "reached {reached:?}");
}

#[test]
fn deciding_false_rejects_queued_and_new_requests() {
    let mut harness = Harness::new(1);
    harness.submit("quick", None);
    harness.submit("quick", None);
    let actions = harness.handle_event(Event::Deciding(false));
    assert_eq!(
        final_reply(&actions).map(|g| g.outcome),
        Some(Outcome::NotRun)
    );
    let actions = harness.submit("quick", None);
    assert_eq!(
        final_reply(&actions).map(|g| g.outcome),
        Some(Outcome::NotRun)
    );
}

#[test]
fn burn_counts_missed_deadlines() {
    let mut harness = Harness::new(1);
    let (request, _) = sent(&harness.submit("quick", None))[0].clone();
    harness.submit("quick", None);
    harness.handle_event(Event::Answered(request));
    harness.advance(2500);
    let now = harness.now;
    let reports = harness.router.burn(now);
    let quick = reports.iter().find(|report| report.row == "quick");
    let quick = quick.expect("the report contains the row");
    assert_eq!(quick.long.total_count, 2);
    assert_eq!(quick.long.good_count, 1);
}
