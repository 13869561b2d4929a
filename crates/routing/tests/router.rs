//! What a router does with requests, minions and limits, step by step; the
//! verifier looks at it after each step.

use ospreywing_membership::SeatSet;
use ospreywing_routing::{verify, Action, Arrival, Event, GiveUp, Request, Router, RouterConfig};
use ospreywing_table::{Repeat, Row, RowKind, Table};
use ospreywing_types::{
    BoxFacts, BoxKind, BoxState, Duration, Instant, Key, Name, Outcome, Resources,
};
use rstest::rstest;
use std::sync::Arc;

struct Bench {
    router: Router,
    now: Instant,
    tokens: u64,
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

impl Bench {
    /// A router with `minions_count` minions and one seat.
    fn new(minions_count: usize) -> Self {
        let mut bench = Self {
            router: Router::new(RouterConfig::new(1)),
            now: Instant::from_ms(1000),
            tokens: 0,
        };
        let boxes = (0..minions_count).map(|number| minion(number, BoxState::Live));
        bench.tell(Event::Boxes(boxes.collect()));
        bench.tell(Event::Table(table(|_| ())));
        bench.tell(Event::Seats(SeatSet::from_iter([0])));
        bench.tell(Event::Deciding(true));
        bench
    }

    fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        assert_eq!(verify(&self.router), Ok(()));
        actions
    }

    fn ask(&mut self, row: &str, key: Option<&str>) -> Vec<Action> {
        self.tokens += 1;
        self.tell(Event::Arrived(Arrival {
            token: self.tokens,
            row: name(row),
            key: key.map(|key| Key::new(key).expect("a key")),
        }))
    }

    fn pass(&mut self, ms: u64) -> Vec<Action> {
        self.now = self.now + Duration::from_ms(ms);
        self.tell(Event::Tick)
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

fn given_up(actions: &[Action]) -> Option<&GiveUp> {
    actions.iter().find_map(|action| match action {
        Action::GiveUp { give_up, .. } => Some(give_up),
        _ => None,
    })
}

#[test]
fn arrived_free_slot_is_sent() {
    let mut bench = Bench::new(1);
    let actions = bench.ask("quick", None);
    let (request, _) = sent(&actions)[0].clone();
    let actions = bench.tell(Event::Answered(request));
    assert!(matches!(actions[0], Action::Deliver { token: 1 }));
}

#[test]
fn arrived_one_seat_uses_one_slot_of_a_minion() {
    let mut bench = Bench::new(1);
    assert_eq!(sent(&bench.ask("quick", None)).len(), 1);
    assert_eq!(sent(&bench.ask("quick", None)).len(), 0);
    let actions = bench.tell(Event::Seats(SeatSet::from_iter([0, 1])));
    assert_eq!(sent(&actions).len(), 1);
}

#[rstest]
#[case::leaving(Some(BoxState::Leaving))]
#[case::dropped(None)]
fn boxes_minion_that_goes_gets_no_new_request(#[case] state: Option<BoxState>) {
    let mut bench = Bench::new(2);
    let mut boxes = vec![minion(1, BoxState::Live)];
    boxes.extend(state.map(|state| minion(0, state)));
    bench.tell(Event::Boxes(boxes));
    for _ in 0..20 {
        let actions = bench.ask("quick", None);
        for (request, minion) in sent(&actions) {
            assert_eq!(minion, "m1");
            bench.tell(Event::Answered(request));
        }
    }
}

#[test]
fn boxes_minion_that_leaves_ends_what_it_has() {
    let mut bench = Bench::new(1);
    let (request, _) = sent(&bench.ask("quick", None))[0].clone();
    bench.tell(Event::Boxes(vec![minion(0, BoxState::Leaving)]));
    let actions = bench.tell(Event::Answered(request));
    assert!(matches!(actions[0], Action::Deliver { .. }));
}

#[rstest]
#[case::no_row("absent", None, "row")]
#[case::no_key("unsafe", None, "request-key")]
fn arrived_wrong_request_is_refused_for_good(
    #[case] row: &str,
    #[case] key: Option<&str>,
    #[case] field: &str,
) {
    let mut bench = Bench::new(1);
    let actions = bench.ask(row, key);
    let give_up = given_up(&actions).expect("it is refused");
    assert_eq!(give_up.outcome, Outcome::NotRun);
    assert_eq!(give_up.retry_after, None);
    assert!(give_up.reason.starts_with(field));
}

#[test]
fn arrived_rate_cap_is_refused_with_a_time() {
    let mut bench = Bench::new(4);
    // An eighth of the cap: two a second.
    bench.tell(Event::Table(table(|row| row.caps.rate_per_s = 16)));
    assert!(given_up(&bench.ask("quick", None)).is_none());
    assert!(given_up(&bench.ask("quick", None)).is_none());
    let actions = bench.ask("quick", None);
    let give_up = given_up(&actions).expect("the third is refused");
    assert_eq!(give_up.outcome, Outcome::NotRun);
    assert!(give_up.retry_after.is_some());
    bench.pass(1000);
    assert!(given_up(&bench.ask("quick", None)).is_none());
}

#[test]
fn arrived_inflight_cap_waits() {
    let mut bench = Bench::new(4);
    bench.tell(Event::Table(table(|row| row.caps.inflight_count = 8)));
    let first = sent(&bench.ask("quick", None));
    assert_eq!(sent(&bench.ask("quick", None)).len(), 0);
    let actions = bench.tell(Event::Answered(first[0].0));
    assert_eq!(sent(&actions).len(), 1);
}

#[test]
fn tick_queued_past_deadline_is_not_run_at_once() {
    let mut bench = Bench::new(1);
    bench.ask("quick", None);
    bench.ask("quick", None);
    let actions = bench.pass(2000);
    let outcomes: Vec<Outcome> = actions
        .iter()
        .filter_map(|action| match action {
            Action::GiveUp { give_up, .. } => Some(give_up.outcome),
            _ => None,
        })
        .collect();
    // The one that was sent may have run; the one that waited did not.
    assert_eq!(outcomes, [Outcome::Unknown, Outcome::NotRun]);
}

#[test]
fn arrived_queue_longer_than_deadline_is_refused() {
    let mut bench = Bench::new(1);
    let (request, _) = sent(&bench.ask("quick", None))[0].clone();
    // Minions that take a second make the wait of a few too long.
    bench.now = bench.now + Duration::from_ms(1900);
    for _ in 0..3 {
        bench.ask("quick", None);
    }
    bench.tell(Event::Answered(request));
    let mut refused = None;
    for _ in 0..40 {
        let actions = bench.ask("quick", None);
        refused = refused.or(given_up(&actions).cloned());
    }
    let refused = refused.expect("one is refused");
    assert_eq!(refused.outcome, Outcome::NotRun);
    assert!(refused.retry_after.is_some_and(|t| t.as_ms() >= 1000));
}

#[test]
fn broken_repeatable_goes_elsewhere_and_slot_is_kept() {
    let mut bench = Bench::new(2);
    let (request, first) = sent(&bench.ask("quick", None))[0].clone();
    let actions = bench.tell(Event::Interrupted(request));
    let (_, second) = sent(&actions)[0].clone();
    assert_ne!(first, second);
    assert!(!bench.router.is_seat_idle(0));
}

#[test]
fn broken_unsafe_is_unknown() {
    let mut bench = Bench::new(2);
    let actions = bench.ask("unsafe", Some("k"));
    let Action::TakeKey { request, .. } = actions[0] else {
        panic!("its key is claimed first: {actions:?}");
    };
    assert_eq!(sent(&bench.tell(Event::KeyGranted(request))).len(), 1);
    let actions = bench.tell(Event::Interrupted(request));
    let give_up = given_up(&actions).expect("it is given up");
    assert_eq!(give_up.outcome, Outcome::Unknown);
    assert!(sent(&actions).is_empty());
}

#[test]
fn not_sent_unsafe_may_go_elsewhere() {
    let mut bench = Bench::new(2);
    let actions = bench.ask("unsafe", Some("k"));
    let Action::TakeKey { request, .. } = actions[0] else {
        panic!("its key is claimed first: {actions:?}");
    };
    bench.tell(Event::KeyGranted(request));
    assert_eq!(sent(&bench.tell(Event::NotSent(request))).len(), 1);
}

#[rstest]
#[case::taken(true, Outcome::Unknown)]
#[case::refused(false, Outcome::NotRun)]
fn key_not_granted_is_not_sent(#[case] is_taken: bool, #[case] outcome: Outcome) {
    let mut bench = Bench::new(1);
    let actions = bench.ask("unsafe", Some("k"));
    let Action::TakeKey { request, .. } = actions[0] else {
        panic!("its key is claimed first: {actions:?}");
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
    let actions = bench.tell(event);
    assert!(sent(&actions).is_empty());
    assert_eq!(given_up(&actions).map(|g| g.outcome), Some(outcome));
}

#[test]
fn key_granted_after_the_deadline_is_not_used() {
    let mut bench = Bench::new(1);
    let actions = bench.ask("unsafe", Some("k"));
    let Action::TakeKey { request, .. } = actions[0] else {
        panic!("its key is claimed first: {actions:?}");
    };
    let actions = bench.pass(2000);
    assert_eq!(given_up(&actions).map(|g| g.outcome), Some(Outcome::NotRun));
    assert!(sent(&bench.tell(Event::KeyGranted(request))).is_empty());
    assert!(bench.router.is_seat_idle(0));
}

#[test]
fn retries_do_not_feed_an_overload() {
    let mut bench = Bench::new(400);
    let mut sends_count = 0;
    for _ in 0..300 {
        let mut open = sent(&bench.ask("quick", None));
        while let Some((request, _)) = open.pop() {
            sends_count += 1;
            open.extend(sent(&bench.tell(Event::Interrupted(request))));
        }
    }
    // Ten retries to begin with, and one for each ten requests.
    assert!(sends_count <= 300 + 10 + 30, "{sends_count} sends");
}

#[test]
fn failures_eject_no_more_than_a_third() {
    let mut bench = Bench::new(9);
    bench.tell(Event::Table(table(|row| row.retry_limit_count = 0)));
    let mut reached = std::collections::BTreeSet::new();
    for round in 0..200 {
        bench.pass(20);
        for (request, minion) in sent(&bench.ask("quick", None)) {
            if round >= 100 {
                reached.insert(minion);
            }
            bench.tell(Event::NotSent(request));
        }
    }
    assert!(reached.len() >= 6, "reached {reached:?}");
}

#[test]
fn deciding_stale_daemon_refuses_what_waits() {
    let mut bench = Bench::new(1);
    bench.ask("quick", None);
    bench.ask("quick", None);
    let actions = bench.tell(Event::Deciding(false));
    assert_eq!(given_up(&actions).map(|g| g.outcome), Some(Outcome::NotRun));
    let actions = bench.ask("quick", None);
    assert_eq!(given_up(&actions).map(|g| g.outcome), Some(Outcome::NotRun));
}

#[test]
fn burn_counts_what_missed() {
    let mut bench = Bench::new(1);
    let (request, _) = sent(&bench.ask("quick", None))[0].clone();
    bench.ask("quick", None);
    bench.tell(Event::Answered(request));
    bench.pass(2500);
    let now = bench.now;
    let reports = bench.router.burn(now);
    let quick = reports.iter().find(|report| report.row == "quick");
    let quick = quick.expect("the row is reported");
    assert_eq!(quick.long.total_count, 2);
    assert_eq!(quick.long.good_count, 1);
}
