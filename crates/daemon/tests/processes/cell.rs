//! Test harness for a cell: simulated platform components run in the test process, daemons
//! run as separate processes.

use http::Method;
use ospreywing_http::{Call, HttpClient};
use ospreywing_node::{BoxReport, CellReport};
use ospreywing_standin::drive::{self, DriveConfig, DriveReport};
use ospreywing_standin::judge::{self, Judgement};
use ospreywing_standin::minion::{self, MinionHost};
use ospreywing_standin::platform::{self, Platform, PlatformLimits};
use ospreywing_standin::worker::{self, WorkerHost};
use ospreywing_table::from_csv;
use ospreywing_types::{BoxFacts, Name, Resources};
use rustix::process::{kill_process, Pid, Signal};
use serde::Serialize;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

const TABLES: [&str; 2] = [
    include_str!("../../../../examples/swaramala.csv"),
    include_str!("../../../../examples/gallery.csv"),
];
/// The daemons' default number of shards.
pub const SHARDS_COUNT: usize = 2;
/// The timeout for a condition to become true.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// A daemon process.
pub struct DaemonProcess {
    child: Child,
    pub http_addr: String,
    pub rpc_addr: String,
}

impl DaemonProcess {
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the process is there");
    }

    /// Returns the peak of its resident memory, in kB.
    pub fn peak_resident_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process is there");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|rest| rest.trim().strip_suffix(" kB"));
        peak.expect("a peak").parse().expect("a number")
    }

    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.child.wait().expect("the process ends");
    }

    /// Waits for the process to exit by itself and returns whether its exit code is 0.
    pub fn wait_for_success(&mut self) -> bool {
        self.child.wait().expect("the process ends").success()
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // Killing fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A running cell with its simulated platform.
pub struct Cell {
    pub runtime: tokio::runtime::Runtime,
    pub http: HttpClient,
    pub platform_addr: String,
    /// A second address of the platform, which can be disabled for a single daemon.
    pub other_platform_addr: String,
    workers_addr: String,
    minions_addr: String,
    pub daemons: Vec<DaemonProcess>,
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port is free")
}

fn addr_of(listener: &TcpListener) -> String {
    let addr = listener.local_addr().expect("it is bound");
    addr.to_string()
}

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

impl Cell {
    /// Starts the simulated components and `daemons_count` daemons, waits until all are ready,
    /// and writes the tables. The last daemon uses the second address of the store.
    pub fn new(daemons_count: usize) -> Self {
        let runtime = tokio::runtime::Runtime::new().expect("a runtime");
        let (first, second) = (listener(), listener());
        let (platform_addr, other_platform_addr) = (addr_of(&first), addr_of(&second));
        let limits = PlatformLimits {
            writes_per_s: 100,
            reads_per_s: 2000,
            box_lag_ms: 3000,
        };
        let platform = Platform::new(limits);
        std::thread::spawn(move || platform::serve(vec![first, second], platform));
        let mut cell = Self {
            runtime,
            http: HttpClient::new(4),
            workers_addr: String::new(),
            minions_addr: String::new(),
            platform_addr,
            other_platform_addr,
            daemons: Vec::new(),
        };
        cell.start_boxes();
        for index in 0..daemons_count {
            let daemon = cell.start_daemon(index, index + 1 == daemons_count);
            cell.daemons.push(daemon);
        }
        cell.wait_until_ready(daemons_count);
        cell.apply_tables();
        cell
    }

    fn start_boxes(&mut self) {
        let (workers, minions) = (listener(), listener());
        self.workers_addr = addr_of(&workers);
        self.minions_addr = addr_of(&minions);
        let host = WorkerHost {
            prefix: "w".to_owned(),
            count: 8,
            capacity: Resources::new(16_000, 65_536, 2),
            accelerated_count: 8,
            rack_size: 4,
            data_centres: vec![name("dc-a"), name("dc-b")],
            platform_addr: self.platform_addr.clone(),
        };
        self.runtime.spawn(worker::run(host, workers));
        let host = MinionHost {
            prefix: "m".to_owned(),
            count: 6,
            serves: vec![name("seat-check"), name("thumbnail")],
            data_centres: vec![name("dc-a")],
            platform_addr: self.platform_addr.clone(),
        };
        self.runtime.spawn(minion::run(host, minions));
    }

    /// Starts a daemon and waits until it has logged its addresses.
    pub fn start_daemon(&self, index: usize, uses_other_store_addr: bool) -> DaemonProcess {
        let store_addr = if uses_other_store_addr {
            &self.other_platform_addr
        } else {
            &self.platform_addr
        };
        let child = Command::new(env!("CARGO_BIN_EXE_ospreywingd"))
            .args(["--name", &format!("d{index}"), "--data-centre", "dc-a"])
            .args(["--cell", "test", "--http-addr", "127.0.0.1:0"])
            .args(["--rpc-addr", "127.0.0.1:0", "--store-addr", store_addr])
            .args(["--boxes-addr", &self.platform_addr])
            .args(["--log-format", "json", "--seat-quarantine", "2s"])
            .args(["--store-time-limit", "1s", "--task-lease", "15s"])
            .stderr(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let mut daemon = DaemonProcess {
            child,
            http_addr: String::new(),
            rpc_addr: String::new(),
        };
        let (sender, receiver) = mpsc::channel();
        let log = BufReader::new(daemon.child.stderr.take().expect("it is piped"));
        // Reads the log to its end, so that the daemon never blocks on a full pipe.
        std::thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                let _ = sender.send(line);
            }
        });
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let line = receiver
                .recv_timeout(remaining)
                .expect("the daemon says where");
            let line: serde_json::Value = serde_json::from_str(&line).unwrap_or_default();
            if line["msg"] == "started" {
                let text = |field: &str| line[field].as_str().unwrap_or_default().to_owned();
                daemon.http_addr = text("http");
                daemon.rpc_addr = text("rpc");
                return daemon;
            }
        }
    }

    pub fn call(&self, call: Call) -> Option<ospreywing_http::Answer> {
        self.runtime.block_on(self.http.call(call)).ok()
    }

    pub fn report(&self, daemon: usize) -> Option<CellReport> {
        let addr = &self.daemons[daemon].http_addr;
        let call = Call::new(Method::GET, addr, "/v1/status", CALL_TIMEOUT);
        self.call(call)?.json().ok()
    }

    /// Returns the boxes on the list as a daemon knows it; empty without an answer.
    pub fn boxes(&self, daemon: usize) -> Vec<BoxFacts> {
        let addr = &self.daemons[daemon].http_addr;
        let call = Call::new(Method::GET, addr, "/v1/boxes", CALL_TIMEOUT);
        let answer = self.call(call);
        let reports: Option<Vec<BoxReport>> = answer.and_then(|answer| answer.json().ok());
        let reports = reports.unwrap_or_default().into_iter();
        reports.map(|report| report.facts).collect()
    }

    /// Starts a further host of workers, whose names begin with `prefix`.
    pub fn start_worker_host(&self, prefix: &str) {
        let host = WorkerHost {
            prefix: prefix.to_owned(),
            count: 2,
            capacity: Resources::new(16_000, 65_536, 2),
            accelerated_count: 2,
            rack_size: 4,
            data_centres: vec![name("dc-a")],
            platform_addr: self.platform_addr.clone(),
        };
        self.runtime.spawn(worker::run(host, listener()));
    }

    /// Waits until `condition` holds.
    pub fn wait_for(&self, what: &str, mut condition: impl FnMut(&Self) -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !condition(self) {
            assert!(Instant::now() < deadline, "{what}: did not come about");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    pub fn wait_until_ready(&self, daemons_count: usize) {
        self.wait_for("all daemons serve", |cell| {
            let reports = (0..daemons_count).filter_map(|daemon| cell.report(daemon));
            let ready = reports.filter(|report| {
                let live = report.members.iter().filter(|m| m.state != "gone");
                report.is_ready && live.count() == daemons_count
            });
            ready.count() == daemons_count
        });
        self.wait_for("all shards are owned", |cell| {
            let reports = (0..daemons_count).filter_map(|daemon| cell.report(daemon));
            let shards = reports.flat_map(|report| report.shards);
            shards.filter(|shard| shard.workers_count > 0).count() == SHARDS_COUNT
        });
    }

    fn apply_tables(&self) {
        for text in TABLES {
            let table = from_csv(text).expect("the sample is sound");
            let mut rows: Vec<_> = table.rows().collect();
            rows.sort_by_key(|row| row.team.is_some());
            for row in rows {
                self.put_row(row);
            }
        }
    }

    /// Writes a row as an operator does: retries with the newest revision until it succeeds.
    fn put_row(&self, row: &ospreywing_table::Row) {
        let path = format!("/v1/table/rows/{}", row.name);
        let addr = &self.daemons[0].http_addr;
        self.wait_for("the row is taken", |cell| {
            let read = Call::new(Method::GET, addr, &path, CALL_TIMEOUT);
            let found = cell.call(read).and_then(|found| found.json().ok());
            let found: serde_json::Value = found.unwrap_or_default();
            let revision = found["revision"].to_string();
            let write = Call::new(Method::PUT, addr, &path, CALL_TIMEOUT)
                .with_header("if-match", &revision)
                .with_json(row)
                .expect("a row has a JSON form");
            cell.call(write)
                .is_some_and(|answer| answer.status.is_success())
        });
    }

    /// Sets the faults that a simulated component injects.
    pub fn set_faults(&self, addr: &str, faults: &impl Serialize) {
        let call = Call::new(Method::POST, addr, "/admin/faults", CALL_TIMEOUT)
            .with_json(faults)
            .expect("faults have a JSON form");
        let answer = self.call(call).expect("the stand-in answers");
        assert!(answer.status.is_success(), "{:?}", answer.body);
    }

    pub fn set_worker_faults(&self, faults: &impl Serialize) {
        self.set_faults(&self.workers_addr, faults);
    }

    pub fn set_minion_faults(&self, faults: &impl Serialize) {
        self.set_faults(&self.minions_addr, faults);
    }

    /// Starts a load generator that sends the work of both sample deployments to the daemons.
    pub fn drive(&self, run_name: &str) -> tokio::task::JoinHandle<DriveReport> {
        let daemons = self.daemons.iter().map(|daemon| daemon.http_addr.clone());
        let drive = DriveConfig {
            daemons: daemons.collect(),
            duration: Duration::from_secs(10),
            rate_per_s: 30,
            tasks_count: 40,
            finish_timeout: Duration::from_secs(90),
            status_interval: Duration::from_millis(200),
            seed: 7,
            run_name: run_name.to_owned(),
        };
        self.runtime.spawn(drive::run(drive))
    }

    pub fn wait_for_drive(&self, drive: tokio::task::JoinHandle<DriveReport>) -> DriveReport {
        self.runtime.block_on(drive).expect("the drive ends")
    }

    pub fn judge(&self) -> Judgement {
        let workers = [self.workers_addr.clone()];
        let minions = [self.minions_addr.clone()];
        let judged = self.runtime.block_on(judge::fetch(&workers, &minions));
        judged.expect("the stand-ins answer")
    }

    /// Checks that no task was lost or run twice, no answer was wrong and no box overcommitted.
    pub fn assert_clean(&self, report: &DriveReport) {
        let judged = self.judge();
        println!("{report:?}\n{judged:?}");
        let ended_count = report.tasks_finished + report.tasks_unknown;
        assert_eq!(report.tasks_refused, 0, "tasks refused for ever");
        assert_eq!(ended_count, report.tasks_submitted, "tasks lost");
        assert_eq!(report.requests_wrong, 0, "wrong answers");
        assert!(report.requests_done > 0, "no request was done");
        assert_eq!(judged.tasks_run_twice, 0, "{:?}", judged.tasks_at_fault);
        assert_eq!(judged.unsafe_run_twice, 0);
        assert_eq!(judged.overcommits, 0);
    }
}
