//! Measures the time of a decision: places starts on partly used workers, after
//! ending as many attempts, at several sizes. Prints the decisions per second on
//! one core and quantiles of the time of one decision, taken as the mean over its
//! commit.

use hdrhistogram::Histogram;
use ospreywing_shard::{Action, Event, Owner, OwnerConfig, Recovery, Token};
use ospreywing_table::{Row, RowKind, Table};
use ospreywing_types::worker::{Ended, Order, Report};
use ospreywing_types::{
    AttemptId, BoxFacts, BoxKind, BoxState, DaemonIdentity, Duration, Instant, Key, Name,
    Resources, TaskEnd, TaskSpec,
};
use std::sync::Arc;

const TEAMS_COUNT: usize = 100;
const BATCH_COUNT: usize = 64;
const ROUNDS_COUNT: usize = 300;
/// Longer decisions are recorded as one second.
const LONGEST_NS: u64 = 1_000_000_000;
const NEED: Resources = Resources::new(1000, 1024, 0);

struct Size {
    workers_count: usize,
    running_count: usize,
}

const SIZES: [Size; 5] = [
    Size {
        workers_count: 50,
        running_count: 1000,
    },
    Size {
        workers_count: 680,
        running_count: 1000,
    },
    Size {
        workers_count: 680,
        running_count: 7200,
    },
    Size {
        workers_count: 6800,
        running_count: 7200,
    },
    Size {
        workers_count: 6800,
        running_count: 72_000,
    },
];

fn name(text: &str) -> Name {
    Name::new(text).expect("the name is valid")
}

struct Harness {
    owner: Owner,
    now: Instant,
    actions: Vec<Action>,
    running: Vec<(Name, AttemptId)>,
    next_key: u64,
}

impl Harness {
    fn new(size: &Size) -> Self {
        let identity = DaemonIdentity {
            name: name("bench"),
            incarnation: 1,
            rpc_addr: String::new(),
        };
        let mut config = OwnerConfig::new(0, 1, 1, identity);
        config.waiting_limit_count = usize::MAX;
        // Ended tasks are removed soon, so that the state keeps its size.
        config.result_retention = Duration::from_ms(1);
        let mut harness = Self {
            owner: Recovery::new(config).finish(Instant::from_ms(1000)),
            now: Instant::from_ms(1000),
            actions: Vec::new(),
            running: Vec::new(),
            next_key: 0,
        };
        harness.handle_event(Event::Table(table()));
        harness.add_workers(size.workers_count);
        while harness.running.len() < size.running_count {
            let missing = size.running_count - harness.running.len();
            harness.submit(missing.min(500));
            harness.commit();
        }
        harness
    }

    fn handle_event(&mut self, event: Event) {
        self.owner.handle(self.now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            if let Action::Order {
                worker,
                order: Order::Start { start, .. },
            } = action
            {
                self.running.push((worker, start.attempt));
            }
        }
    }

    fn add_workers(&mut self, count: usize) {
        let facts = |index: usize| BoxFacts {
            name: name(&format!("w{index}")),
            kind: BoxKind::Worker,
            state: BoxState::Live,
            addr: String::new(),
            data_centre: name("dc"),
            rack: name(&format!("rack{}", index / 8)),
            resources: Resources::new(64_000, 262_144, (index % 2) as u32 * 4),
            serves: Vec::new(),
        };
        self.handle_event(Event::Boxes((0..count).map(facts).collect()));
        for index in 0..count {
            let report = Report {
                incarnation: 1,
                running: Vec::new(),
                ended: Vec::new(),
            };
            self.handle_event(Event::SessionOpened {
                worker: name(&format!("w{index}")),
                session: index as u64,
                report,
            });
        }
    }

    fn submit(&mut self, count: usize) {
        for _ in 0..count {
            self.next_key += 1;
            let row = self.next_key as usize % TEAMS_COUNT;
            self.handle_event(Event::Submit {
                token: Token(self.next_key),
                key: Key::new(&format!("k{}", self.next_key)).expect("the key is valid"),
                row: name(&format!("row{row}")),
                spec: TaskSpec {
                    resources: NEED,
                    command: "work".to_owned(),
                },
            });
        }
    }

    /// Makes a commit and returns the time it took and its number of starts.
    fn commit(&mut self) -> (std::time::Duration, usize) {
        self.now = self.now + Duration::from_ms(10);
        let before = self.running.len();
        let began = std::time::Instant::now();
        let commit = self.owner.next_commit(self.now);
        self.handle_event(Event::CommitDone);
        let elapsed = began.elapsed();
        drop(commit);
        let started = self.running[before..].to_vec();
        for (_, attempt) in &started {
            self.handle_event(Event::StartAcked { attempt: *attempt });
        }
        (elapsed, started.len())
    }

    /// Ends the `count` oldest running attempts.
    fn end(&mut self, count: usize) {
        for (worker, attempt) in self.running.drain(..count).collect::<Vec<_>>() {
            let end = TaskEnd::Finished(String::new());
            let ended = Ended { attempt, end };
            self.handle_event(Event::Ended { worker, ended });
        }
        self.handle_event(Event::Tick);
    }
}

fn table() -> Arc<Table> {
    let mut table = Table::new();
    for index in 0..TEAMS_COUNT {
        let mut team = Row::new(name(&format!("team{index}")), RowKind::Team);
        team.caps.cores_milli = 1_000_000_000;
        table.put(team);
        let mut row = Row::new(name(&format!("row{index}")), RowKind::Batch);
        row.team = Some(name(&format!("team{index}")));
        table.put(row);
    }
    Arc::new(table)
}

fn resident_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = status
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0.0) * 4096.0 / 1024.0 / 1024.0
}

fn main() {
    println!("workers  running  decisions/s   p50 us   p99 us   resident MB");
    for size in &SIZES {
        let mut harness = Harness::new(size);
        let decision_ns = Histogram::new_with_max(LONGEST_NS, 3);
        let mut decision_ns: Histogram<u64> = decision_ns.expect("the bounds are sound");
        let mut deciding_time = std::time::Duration::ZERO;
        let mut starts_count = 0;
        for _ in 0..ROUNDS_COUNT {
            harness.end(BATCH_COUNT);
            harness.submit(BATCH_COUNT);
            let (elapsed, started_count) = harness.commit();
            assert_eq!(started_count, BATCH_COUNT, "there is room for all");
            deciding_time += elapsed;
            starts_count += started_count;
            decision_ns.saturating_record(elapsed.as_nanos() as u64 / started_count as u64);
        }
        println!(
            "{:7}  {:7}  {:11.0}  {:7.1}  {:7.1}  {:12.1}",
            size.workers_count,
            size.running_count,
            starts_count as f64 / deciding_time.as_secs_f64(),
            decision_ns.value_at_quantile(0.5) as f64 / 1000.0,
            decision_ns.value_at_quantile(0.99) as f64 / 1000.0,
            resident_mb(),
        );
    }
}
