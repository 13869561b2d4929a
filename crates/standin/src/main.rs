//! The program `ospreywing-standin`: runs one stand-in per subcommand.

use clap::{value_parser, Arg, ArgMatches, Command};
use ospreywing_standin::drive::{self, DriveConfig};
use ospreywing_standin::judge;
use ospreywing_standin::minion::{self, MinionHost};
use ospreywing_standin::platform::{self, Platform, PlatformLimits};
use ospreywing_standin::trace_maker;
use ospreywing_standin::worker::{self, WorkerHost};
use ospreywing_types::{Name, Resources};
use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::time::Duration;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let done = runtime.and_then(|runtime| runtime.block_on(run(&matches)));
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ospreywing-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    Command::new("ospreywing-standin")
        .about("Stand-ins for the platform, its workers, its minions and callers")
        .subcommand_required(true)
        .subcommand(platform_command())
        .subcommand(workers_command())
        .subcommand(minions_command())
        .subcommand(drive_command())
        .subcommand(
            Command::new("make-trace")
                .about("Prints a generated trace for replay")
                .arg(
                    Arg::new("shape")
                        .required(true)
                        .value_parser(["swaramala", "gallery", "letter"])
                        .help("The deployment to generate the trace for"),
                )
                .arg(number_arg("seed", "1", "Seed of the random numbers")),
        )
        .subcommand(
            Command::new("judge")
                .about("Checks the records of workers and minions")
                .arg(list_arg(
                    "workers",
                    "IP:port of the worker hosts' admin endpoints",
                ))
                .arg(list_arg(
                    "minions",
                    "IP:port of the minion hosts' admin endpoints",
                )),
        )
}

fn list_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_delimiter(',').help(help)
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u32))
        .help(help)
}

fn text_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).help(help)
}

fn platform_command() -> Command {
    Command::new("platform")
        .about("The store and the box list")
        .arg(list_arg("listen", "IP:port, one or more"))
        .arg(number_arg("writes-per-s", "100", "Writes per second"))
        .arg(number_arg("reads-per-s", "2000", "Reads per second"))
        .arg(number_arg(
            "box-lag-ms",
            "5000",
            "How long a removed box stays listed, in milliseconds",
        ))
}

fn workers_command() -> Command {
    Command::new("workers")
        .about("Workers, in one process")
        .arg(text_arg(
            "listen",
            "127.0.0.1:0",
            "IP:port of the admin endpoint",
        ))
        .arg(text_arg(
            "platform",
            "127.0.0.1:7400",
            "IP:port of the platform",
        ))
        .arg(text_arg("prefix", "w", "The prefix of the workers' names"))
        .arg(number_arg("count", "8", "Number of workers"))
        .arg(number_arg(
            "cores-milli",
            "64000",
            "CPU of each worker, in thousandths of a core",
        ))
        .arg(number_arg(
            "memory-mib",
            "131072",
            "Memory of each worker, in MiB",
        ))
        .arg(number_arg(
            "accelerators",
            "4",
            "Accelerators of each accelerated worker",
        ))
        .arg(number_arg(
            "accelerated",
            "2",
            "Number of workers with accelerators",
        ))
        .arg(number_arg("rack-size", "8", "Workers per rack"))
        .arg(
            list_arg("data-centres", "Data centres to distribute the racks over")
                .default_value("dc-a"),
        )
}

fn minions_command() -> Command {
    Command::new("minions")
        .about("Minions, in one process")
        .arg(text_arg(
            "listen",
            "127.0.0.1:0",
            "IP:port of the admin endpoint",
        ))
        .arg(text_arg(
            "platform",
            "127.0.0.1:7400",
            "IP:port of the platform",
        ))
        .arg(text_arg("prefix", "m", "The prefix of the minions' names"))
        .arg(number_arg("count", "8", "Number of minions"))
        .arg(list_arg("serves", "The workload rows that the minions serve").required(true))
        .arg(
            list_arg(
                "data-centres",
                "Data centres to distribute the minions over",
            )
            .default_value("dc-a"),
        )
}

fn drive_command() -> Command {
    Command::new("drive")
        .about("Sends the requests and tasks of both deployments")
        .arg(list_arg("daemons", "IP:port of the daemons").required(true))
        .arg(number_arg(
            "seconds",
            "10",
            "How long requests are sent, in seconds",
        ))
        .arg(number_arg("rate", "50", "Requests per second"))
        .arg(number_arg("tasks", "50", "Number of tasks"))
        .arg(number_arg(
            "finish-seconds",
            "60",
            "How long each task may take to finish, in seconds",
        ))
        .arg(number_arg(
            "status-every-ms",
            "200",
            "Interval of status polls for each task, in milliseconds",
        ))
        .arg(number_arg("seed", "1", "Seed of the random numbers"))
        .arg(text_arg("run-name", "drive", "Part of every request key"))
}

async fn run(matches: &ArgMatches) -> std::io::Result<()> {
    match matches.subcommand() {
        Some(("platform", matches)) => run_platform(matches),
        Some(("workers", matches)) => run_workers(matches).await,
        Some(("minions", matches)) => run_minions(matches).await,
        Some(("drive", matches)) => run_drive(matches).await,
        Some(("judge", matches)) => run_judge(matches).await,
        Some(("make-trace", matches)) => {
            make_trace(matches);
            Ok(())
        }
        _ => Ok(()),
    }
}

fn get_strings(matches: &ArgMatches, name: &str) -> Vec<String> {
    let values = matches.get_many::<String>(name).into_iter().flatten();
    values.cloned().collect()
}

fn get_string(matches: &ArgMatches, name: &str) -> String {
    let value = matches.get_one::<String>(name);
    value.cloned().unwrap_or_default()
}

fn get_number(matches: &ArgMatches, name: &str) -> u32 {
    matches.get_one::<u32>(name).copied().unwrap_or_default()
}

fn get_names(matches: &ArgMatches, name: &str) -> std::io::Result<Vec<Name>> {
    let texts = get_strings(matches, name);
    let names = texts.iter().map(|text| Name::new(text));
    let names: Result<Vec<Name>, _> = names.collect();
    names.map_err(std::io::Error::other)
}

fn bind(addr: &str) -> std::io::Result<TcpListener> {
    let addr: SocketAddr = addr.parse().map_err(std::io::Error::other)?;
    TcpListener::bind(addr)
}

/// Prints the listener's address. Scripts read it from the first line.
fn say_addr(listener: &TcpListener) -> std::io::Result<()> {
    println!("{}", listener.local_addr()?);
    Ok(())
}

fn make_trace(matches: &ArgMatches) {
    let seed = u64::from(get_number(matches, "seed"));
    if let Some(shape) = trace_maker::shape(&get_string(matches, "shape")) {
        print!("{}", trace_maker::make(&shape, seed));
    }
}

fn run_platform(matches: &ArgMatches) -> std::io::Result<()> {
    let mut listeners = Vec::new();
    for addr in get_strings(matches, "listen") {
        let listener = bind(&addr)?;
        say_addr(&listener)?;
        listeners.push(listener);
    }
    let limits = PlatformLimits {
        writes_per_s: u64::from(get_number(matches, "writes-per-s")),
        reads_per_s: u64::from(get_number(matches, "reads-per-s")),
        box_lag_ms: u64::from(get_number(matches, "box-lag-ms")),
    };
    platform::serve(listeners, Platform::new(limits))
}

async fn run_workers(matches: &ArgMatches) -> std::io::Result<()> {
    let listener = bind(&get_string(matches, "listen"))?;
    say_addr(&listener)?;
    let host = WorkerHost {
        prefix: get_string(matches, "prefix"),
        count: get_number(matches, "count"),
        capacity: Resources::new(
            get_number(matches, "cores-milli"),
            get_number(matches, "memory-mib"),
            get_number(matches, "accelerators"),
        ),
        accelerated_count: get_number(matches, "accelerated"),
        rack_size: get_number(matches, "rack-size").max(1),
        data_centres: get_names(matches, "data-centres")?,
        platform_addr: get_string(matches, "platform"),
    };
    worker::run(host, listener).await
}

async fn run_minions(matches: &ArgMatches) -> std::io::Result<()> {
    let listener = bind(&get_string(matches, "listen"))?;
    say_addr(&listener)?;
    let host = MinionHost {
        prefix: get_string(matches, "prefix"),
        count: get_number(matches, "count"),
        serves: get_names(matches, "serves")?,
        data_centres: get_names(matches, "data-centres")?,
        platform_addr: get_string(matches, "platform"),
    };
    minion::run(host, listener).await
}

async fn run_drive(matches: &ArgMatches) -> std::io::Result<()> {
    let report = drive::run(DriveConfig {
        daemons: get_strings(matches, "daemons"),
        duration: Duration::from_secs(u64::from(get_number(matches, "seconds"))),
        rate_per_s: get_number(matches, "rate"),
        tasks_count: get_number(matches, "tasks"),
        finish_timeout: Duration::from_secs(u64::from(get_number(matches, "finish-seconds"))),
        status_interval: Duration::from_millis(u64::from(get_number(matches, "status-every-ms"))),
        seed: u64::from(get_number(matches, "seed")),
        run_name: get_string(matches, "run-name"),
    })
    .await;
    println!("{}", serde_json::to_string(&report)?);
    Ok(())
}

async fn run_judge(matches: &ArgMatches) -> std::io::Result<()> {
    let (workers, minions) = (
        get_strings(matches, "workers"),
        get_strings(matches, "minions"),
    );
    let judgement = judge::fetch(&workers, &minions).await;
    let judgement = judgement.map_err(std::io::Error::other)?;
    println!("{}", serde_json::to_string(&judgement)?);
    Ok(())
}
