//! The typed settings of the daemon.

use crate::declare::{arguments, ENV_PREFIX};
use crate::SettingsError;
use clap::builder::PossibleValue;
use clap::{ArgMatches, ValueEnum};
use ospreywing_types::{Duration, Name};
use std::net::SocketAddr;

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Text for a terminal.
    Terminal,
    /// One JSON object per line.
    Json,
}

impl ValueEnum for LogFormat {
    fn value_variants<'a>() -> &'a [Self] {
        &[Self::Terminal, Self::Json]
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(match self {
            Self::Terminal => PossibleValue::new("terminal"),
            Self::Json => PossibleValue::new("json"),
        })
    }
}

/// All settings of the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// This daemon's name in the cell.
    pub name: Name,
    /// The name of the daemon's box in the platform's box list.
    pub box_name: Name,
    /// The data centre of the box.
    pub data_centre: Name,
    /// The name of the cell.
    pub cell: Name,
    /// The number of shards of the cell.
    pub shards_count: u32,
    /// The listen address for callers and operators.
    pub http_addr: SocketAddr,
    /// The listen address for other daemons.
    pub rpc_addr: SocketAddr,
    /// The address of the platform's store.
    pub store_addr: SocketAddr,
    /// The address of the platform's box list.
    pub boxes_addr: SocketAddr,
    /// The address to which metrics are sent, if any.
    pub statsd_addr: Option<SocketAddr>,
    /// The timeout of a call to the store.
    pub store_time_limit: Duration,
    /// The interval at which the control keys of the store are read.
    pub poll_every: Duration,
    /// The interval at which the box list is read.
    pub boxes_every: Duration,
    /// How long a worker runs a task without a lease renewal.
    pub task_lease: Duration,
    /// How long the requests of a terminated daemon may still run at minions.
    pub seat_quarantine: Duration,
    /// The time after which nothing runs any more on a box that left the box list.
    pub unlisted_quarantine: Duration,
    /// How long task results and request keys are retained.
    pub result_retention: Duration,
    /// The maximum duration of a planned shutdown.
    pub drain_limit: Duration,
    /// The maximum commits per second of all daemons of the cell together.
    pub commit_rate_per_s: u32,
    /// The maximum number of requests that wait for a minion at this daemon.
    pub queue_limit_count: u32,
    /// The maximum number of tasks that wait in one shard.
    pub waiting_limit_count: u32,
    /// The memory that request bodies may use together, in MiB.
    pub body_memory_mib: u32,
    /// The format of log lines.
    pub log_format: LogFormat,
}

/// A lease must survive a few missed renewals, which are sent every five seconds.
const TASK_LEASE_MIN: Duration = Duration::from_s(15);
/// The table must be read several times within the four seconds for which it counts as
/// current.
const POLL_EVERY_MAX: Duration = Duration::from_ms(1000);

impl Settings {
    /// Reads and validates the settings from a command line parsed with [`arguments`].
    ///
    /// # Errors
    ///
    /// Returns an error if a setting is out of range or conflicts with another.
    ///
    /// # Panics
    ///
    /// Panics if `matches` was not created with [`arguments`].
    pub fn new(matches: &ArgMatches) -> Result<Self, SettingsError> {
        let name: Name = get(matches, "name");
        let settings = Self {
            box_name: matches
                .get_one::<Name>("box-name")
                .cloned()
                .unwrap_or_else(|| name.clone()),
            name,
            data_centre: get(matches, "data-centre"),
            cell: get(matches, "cell"),
            shards_count: get(matches, "shards"),
            http_addr: get(matches, "http-addr"),
            rpc_addr: get(matches, "rpc-addr"),
            store_addr: get(matches, "store-addr"),
            boxes_addr: get(matches, "boxes-addr"),
            statsd_addr: matches.get_one("statsd-addr").copied(),
            store_time_limit: get(matches, "store-time-limit"),
            poll_every: get(matches, "poll-every"),
            boxes_every: get(matches, "boxes-every"),
            task_lease: get(matches, "task-lease"),
            seat_quarantine: get(matches, "seat-quarantine"),
            unlisted_quarantine: get(matches, "unlisted-quarantine"),
            result_retention: get(matches, "result-retention"),
            drain_limit: get(matches, "drain-limit"),
            commit_rate_per_s: get(matches, "commit-rate"),
            queue_limit_count: get(matches, "queue-limit"),
            waiting_limit_count: get(matches, "waiting-limit"),
            body_memory_mib: get(matches, "body-memory"),
            log_format: get(matches, "log-format"),
        };
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        if self.task_lease < TASK_LEASE_MIN {
            return Err(SettingsError::OutOfRange {
                setting: "--task-lease",
                value: self.task_lease.to_string(),
                reason: format!("must be at least {TASK_LEASE_MIN}"),
            });
        }
        if self.poll_every > POLL_EVERY_MAX {
            return Err(SettingsError::OutOfRange {
                setting: "--poll-every",
                value: self.poll_every.to_string(),
                reason: format!("must be at most {POLL_EVERY_MAX}"),
            });
        }
        if self.http_addr.port() != 0 && self.http_addr == self.rpc_addr {
            return Err(SettingsError::OutOfRange {
                setting: "--rpc-addr",
                value: self.rpc_addr.to_string(),
                reason: "must differ from --http-addr".to_owned(),
            });
        }
        Ok(())
    }

    /// Checks that every environment variable with the prefix [`ENV_PREFIX`] names a setting.
    ///
    /// # Errors
    ///
    /// Returns an error with the name of the first unknown variable.
    pub fn check_variables(names: impl Iterator<Item = String>) -> Result<(), SettingsError> {
        let known: Vec<String> = arguments()
            .iter()
            .filter_map(|argument| argument.get_env())
            .map(|env| env.to_string_lossy().into_owned())
            .collect();
        let mut prefixed = names.filter(|name| name.starts_with(ENV_PREFIX));
        match prefixed.find(|name| !known.contains(name)) {
            Some(name) => Err(SettingsError::UnknownVariable {
                name,
                known: known.join(", "),
            }),
            None => Ok(()),
        }
    }
}

fn get<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, flag: &str) -> T {
    let value = matches.get_one::<T>(flag);
    value
        .expect("the flag is required or has a default")
        .clone()
}
