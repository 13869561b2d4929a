//! The project's nodes as processes, started with the command of the deploy file.

use serde_json::json;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// What a node needs to start.
pub struct NodeSpec {
    /// Its name.
    pub name: String,
    /// Its loopback address.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// The store.
    pub store: SocketAddr,
    /// The service for advice.
    pub advice: SocketAddr,
}

/// A node; its process is killed when it is dropped.
pub struct Node {
    /// The address for clients.
    pub front: SocketAddr,
    /// The address of the readiness probe.
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    metrics: u16,
    child: Child,
}

fn spawn(binary: &Path, settings: &Path, log: &Path, metrics: u16) -> std::io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    let errors = log.try_clone()?;
    Command::new(binary)
        .arg("--metrics-port")
        .arg(metrics.to_string())
        .env("OSPREYWING_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
}

fn free_port(ip: Ipv4Addr) -> std::io::Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

/// Returns a loopback address that depends on this process, so that runs don't meet.
pub fn ip_of(index: usize) -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(
        127,
        80 + (pid / 250 % 100) as u8,
        (pid % 250) as u8,
        1 + index as u8,
    )
}

impl Node {
    /// Starts a node.
    pub fn start(spec: &NodeSpec, binary: &Path, dir: &Path) -> std::io::Result<Self> {
        let ip = spec.ip;
        let (front, ready) = (free_port(ip)?, free_port(ip)?);
        let (control, peer, metrics) = (free_port(ip)?, free_port(ip)?, free_port(ip)?);
        let at = |port: u16| SocketAddr::from((ip, port));
        let settings = json!({
            "node": spec.name, "role": "node", "machineClass": "front", "serves": ["front"],
            "ip": ip.to_string(), "zone": spec.zone, "region": "lk-west",
            "zones": { "colombo-a": "lk-west", "colombo-b": "lk-west", "negombo": "lk-west" },
            "listen": {
                "front": at(front).to_string(), "ready": at(ready).to_string(),
                "control": at(control).to_string(),
            },
            "internalPorts": [peer, peer], "seeds": [], "bootstrap": true, "inTolerance": false,
            "limits": {
                "cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4200,
                "linkMbps": 1000.0, "diskMb": 0,
            },
            "dataDir": null, "discovery": "platform", "entry": "vip", "heartbeatMs": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform",
                "advice", "upkeep", "sharing"],
            "tolerate": { "machines": 2, "zones": 0, "regions": 0 },
            "bounds": {
                "seedLagS": 3, "reuseDelayS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
                "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 2000,
                "rollbackSlackMs": 250, "maxStretchMs": 5000, "recoveryS": 12, "maxHoldMs": 6000,
                "stopGraceMs": 200, "gangWaitMs": 3000, "cancel_ms": 3000, "visible_ms": 3000,
                "early_ms": 250, "finish_s": 14, "status_s": 120, "spreadFactor": 2,
                "checkpointS": 1, "restoreMs": 600, "noticeMs": 4500, "moveS": 1.5,
                "maintenanceS": 2, "requireFence": false, "leaseMs": 3000, "thawSlackMs": 300,
                "paceMs": 100, "harmMs": 4000,
            },
            "orders": "dispatch", "advice": spec.advice.to_string(),
            "platform": {
                "address": spec.store.to_string(), "form": "kv", "writes_per_s": 400,
                "reads_per_s": 2000, "historyS": 20, "value_bytes": crate::VALUE_BYTES,
                "ttl_min_ms": 1000,
            },
        });
        let path: PathBuf = dir.join(format!("{}.json", spec.name));
        std::fs::write(&path, settings.to_string())?;
        let log = dir.join(format!("{}.log", spec.name));
        let child = spawn(binary, &path, &log, metrics)?;
        Ok(Self {
            front: at(front),
            ready: at(ready),
            settings: path,
            log,
            metrics,
            child,
        })
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        // Both fail only if it has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again, after it was killed.
    pub fn restart(&mut self, binary: &Path) -> std::io::Result<()> {
        self.child = spawn(binary, &self.settings, &self.log, self.metrics)?;
        Ok(())
    }

    /// Returns how the process ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok()??;
        Some(status.to_string())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
