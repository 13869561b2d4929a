//! Declares the flags and environment variables.

use crate::settings::LogFormat;
use crate::value;
use clap::builder::EnumValueParser;
use clap::{value_parser, Arg};

/// The prefix of all environment variables of the daemon.
pub const ENV_PREFIX: &str = "OSPREYWINGD_";

fn setting(flag: &'static str, env: &'static str, help: &'static str) -> Arg {
    Arg::new(flag).long(flag).env(env).help(help)
}

/// Returns all settings of the daemon as command-line arguments.
pub fn arguments() -> Vec<Arg> {
    let mut all = identity();
    all.extend(addresses());
    all.extend(periods());
    all.extend(bounds());
    all.extend(logs());
    all
}

fn identity() -> Vec<Arg> {
    vec![
        setting("name", "OSPREYWINGD_NAME", "This daemon's name in the cell")
            .required(true)
            .value_parser(value::name),
        setting(
            "box-name",
            "OSPREYWINGD_BOX_NAME",
            "The name of the daemon's box in the platform's box list [default: the daemon's name]",
        )
        .value_parser(value::name),
        setting(
            "data-centre",
            "OSPREYWINGD_DATA_CENTRE",
            "The data centre of the box",
        )
        .required(true)
        .value_parser(value::name),
        setting(
            "cell",
            "OSPREYWINGD_CELL",
            "The cell's name, which is part of the key prefix in the store",
        )
        .required(true)
        .value_parser(value::name),
        setting(
            "shards",
            "OSPREYWINGD_SHARDS",
            "Number of shards of the cell; must be the same for all daemons and never change",
        )
        .default_value("2")
        .value_parser(value_parser!(u32).range(1..=64)),
    ]
}

fn addresses() -> Vec<Arg> {
    vec![
        setting(
            "http-addr",
            "OSPREYWINGD_HTTP_ADDR",
            "IP:port for callers and operators; port 0 selects a free port",
        )
        .required(true)
        .value_parser(value::addr),
        setting(
            "rpc-addr",
            "OSPREYWINGD_RPC_ADDR",
            "IP:port for other daemons; port 0 selects a free port",
        )
        .required(true)
        .value_parser(value::addr),
        setting(
            "store-addr",
            "OSPREYWINGD_STORE_ADDR",
            "IP:port of the platform's store (etcd v3, JSON gateway)",
        )
        .required(true)
        .value_parser(value::addr),
        setting(
            "boxes-addr",
            "OSPREYWINGD_BOXES_ADDR",
            "IP:port of the platform's box list",
        )
        .required(true)
        .value_parser(value::addr),
        setting(
            "statsd-addr",
            "OSPREYWINGD_STATSD_ADDR",
            "IP:port to which metrics are sent over UDP [default: none]",
        )
        .value_parser(value::addr),
    ]
}

fn periods() -> Vec<Arg> {
    let period = |flag, env, help, default| {
        setting(flag, env, help)
            .default_value(default)
            .value_parser(value::duration)
    };
    vec![
        period(
            "store-time-limit",
            "OSPREYWINGD_STORE_TIME_LIMIT",
            "Timeout of a call to the store",
            "2s",
        ),
        period(
            "poll-every",
            "OSPREYWINGD_POLL_EVERY",
            "Interval at which the control keys of the store are read",
            "500ms",
        ),
        period(
            "boxes-every",
            "OSPREYWINGD_BOXES_EVERY",
            "Interval at which the box list is read",
            "1s",
        ),
        period(
            "task-lease",
            "OSPREYWINGD_TASK_LEASE",
            "How long a worker runs a task without a lease renewal",
            "30s",
        ),
        period(
            "seat-quarantine",
            "OSPREYWINGD_SEAT_QUARANTINE",
            "How long the requests of a terminated daemon may still run at minions",
            "10s",
        ),
        period(
            "unlisted-quarantine",
            "OSPREYWINGD_UNLISTED_QUARANTINE",
            "Time after which nothing runs any more on a box that left the box list",
            "2min",
        ),
        period(
            "result-retention",
            "OSPREYWINGD_RESULT_RETENTION",
            "How long task results and request keys are retained",
            "15min",
        ),
        period(
            "drain-limit",
            "OSPREYWINGD_DRAIN_LIMIT",
            "Maximum duration of a planned shutdown",
            "30s",
        ),
    ]
}

fn bounds() -> Vec<Arg> {
    vec![
        setting(
            "commit-rate",
            "OSPREYWINGD_COMMIT_RATE",
            "Maximum commits per second of all daemons of the cell together",
        )
        .default_value("60")
        .value_parser(value_parser!(u32).range(1..=10_000)),
        setting(
            "queue-limit",
            "OSPREYWINGD_QUEUE_LIMIT",
            "Maximum number of requests that wait for a minion at this daemon",
        )
        .default_value("2000")
        .value_parser(value_parser!(u32).range(1..=1_000_000)),
        setting(
            "waiting-limit",
            "OSPREYWINGD_WAITING_LIMIT",
            "Maximum number of tasks that wait in one shard",
        )
        .default_value("50000")
        .value_parser(value_parser!(u32).range(1..=10_000_000)),
        setting(
            "body-memory",
            "OSPREYWINGD_BODY_MEMORY",
            "MiB that request bodies of more than 16 KiB may use together",
        )
        .default_value("16")
        .value_parser(value_parser!(u32).range(2..=65_536)),
    ]
}

fn logs() -> Vec<Arg> {
    vec![setting(
        "log-format",
        "OSPREYWINGD_LOG_FORMAT",
        "Format of log lines",
    )
    .default_value("terminal")
    .value_parser(EnumValueParser::<LogFormat>::new())]
}
