//! The system's nodes: processes with the command of the deploy file.

use rustix::process::{kill_process, set_parent_process_death_signal, Pid, Signal};
use serde_json::json;
use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// The command of `deploy/system.toml`.
const COMMAND: [&str; 3] = [
    "target/release/ospreywing-platformd",
    "--metrics-port",
    "9464",
];

/// A node.
pub struct Node {
    /// The machine's name.
    pub name: String,
    /// The address for clients.
    pub front: SocketAddr,
    /// The address of the readiness probe.
    pub ready: SocketAddr,
    settings_path: PathBuf,
    log_path: PathBuf,
    child: Option<Child>,
}

/// Returns the loopback address of a machine; the addresses of two runs at a time differ.
pub fn ip_of(index: u8) -> Ipv4Addr {
    let id = std::process::id();
    Ipv4Addr::new(127, 64 + (id / 200 % 128) as u8, (id % 200) as u8, index)
}

fn free_address(ip: Ipv4Addr) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a port is free");
    listener.local_addr().expect("the listener is bound")
}

impl Node {
    /// Writes the settings of a node, with the fields that DEPLOY.md shows.
    pub fn new(dir: &Path, index: u8, store: SocketAddr) -> Self {
        let ip = ip_of(index);
        let [front, ready, control, internal] = [0; 4].map(|_| free_address(ip));
        let name = format!("front-a-{index}");
        let settings = json!({
            "node": name, "role": "node", "machineClass": "front", "serves": ["front"],
            "ip": IpAddr::V4(ip).to_string(), "zone": "a", "region": "r", "zones": { "a": "r" },
            "listen": {
                "front": front.to_string(), "ready": ready.to_string(),
                "control": control.to_string(),
            },
            "internalPorts": [internal.port(), internal.port()],
            "seeds": [], "bootstrap": true, "inTolerance": false,
            "limits": {
                "cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4200,
                "linkMbps": 1000.0, "diskMb": 0,
            },
            "dataDir": null, "discovery": "platform", "entry": "vip", "heartbeatMs": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform"],
            "tolerate": { "machines": 2, "zones": 0, "regions": 0 },
            "bounds": {
                "contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6,
                "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250,
                "maxStretchMs": 5000, "recoveryS": 12, "maxHoldMs": 6000, "stopGraceMs": 200,
                "gangWaitMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
                "finish_s": 14, "status_s": 120, "spreadFactor": 2, "checkpointS": 1,
                "restoreMs": 600, "noticeMs": 4500, "leaseMs": 3000, "thawSlackMs": 300,
            },
            "orders": "dispatch", "advice": null,
            "platform": {
                "address": store.to_string(), "form": "kv", "writes_per_s": 400,
                "reads_per_s": 2000, "historyS": 20, "value_bytes": 1_048_576,
                "ttl_min_ms": 1000,
            },
        });
        let settings_path = dir.join(format!("{name}.json"));
        std::fs::write(&settings_path, settings.to_string()).expect("the folder can be written");
        Self {
            log_path: dir.join(format!("{name}.log")),
            name,
            front,
            ready,
            settings_path,
            child: None,
        }
    }

    /// Starts the process. The kernel kills it if this program ends.
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log_path);
        let log = log.expect("the folder can be written");
        let errors = log.try_clone().expect("the log is open");
        let mut command = Command::new(COMMAND[0]);
        command
            .args(&COMMAND[1..])
            .env_clear()
            .env("OSPREYWING_SETTINGS", &self.settings_path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors);
        // SAFETY: the closure makes one system call and allocates nothing.
        unsafe {
            command.pre_exec(|| Ok(set_parent_process_death_signal(Some(Signal::KILL))?));
        }
        self.child = Some(command.spawn().expect("the program is built"));
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
