//! The settings as the daemon uses them.

use crate::declare::{arguments, ENV_PREFIX};
use crate::SettingsError;
use clap::builder::PossibleValue;
use clap::{ArgMatches, ValueEnum};
use ospreywing_types::{Duration, Name};
use std::net::SocketAddr;

/// How log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Terminal,
    /// One JSON object a line.
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

/// Every setting of the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// This daemon's name in the cell.
    pub name: Name,
    /// The entry box, as the platform's list names it.
    pub box_name: Name,
    /// The data centre that the box stands in.
    pub data_centre: Name,
    /// The cell.
    pub cell: Name,
    /// How many shards the cell has.
    pub shards_count: u32,
    /// Where callers and operators are served.
    pub http_addr: SocketAddr,
    /// Where other daemons are served.
    pub rpc_addr: SocketAddr,
    /// The platform's store.
    pub store_addr: SocketAddr,
    /// The platform's box list.
    pub boxes_addr: SocketAddr,
    /// Where metrics are sent.
    pub statsd_addr: Option<SocketAddr>,
    /// How long a call of the store may take.
    pub store_time_limit: Duration,
    /// How often the store's control part is read.
    pub poll_every: Duration,
    /// How often the box list is read.
    pub boxes_every: Duration,
    /// How long a worker runs a task without a renewal.
    pub task_lease: Duration,
    /// How long after a daemon's end its requests may still run at minions.
    pub seat_quarantine: Duration,
    /// How long after a box has left the box list nothing runs on it.
    pub unlisted_quarantine: Duration,
    /// How long results of tasks and keys of requests are kept.
    pub result_retention: Duration,
    /// How long a planned stop may take.
    pub drain_limit: Duration,
    /// Commits a second that all daemons of the cell together may make.
    pub commit_rate_per_s: u32,
    /// Requests that may wait for a minion at this daemon.
    pub queue_limit_count: u32,
    /// Tasks that may wait in one shard.
    pub waiting_limit_count: u32,
    /// How log lines are written.
    pub log_format: LogFormat,
}

/// A lease must outlive a few missed renewals, which come every five seconds.
const TASK_LEASE_MIN: Duration = Duration::from_s(15);
/// The table must be read a few times within the four seconds it counts as current.
const POLL_EVERY_MAX: Duration = Duration::from_ms(1000);

impl Settings {
    /// Reads the settings from a parsed command line of [`arguments`].
    ///
    /// # Errors
    ///
    /// Returns an error where a setting does not go with another.
    ///
    /// # Panics
    ///
    /// Panics where `matches` was not made with [`arguments`].
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

    /// Checks that every environment variable with the prefix has a meaning.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first that has none.
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
