//! Declares the command line.

use crate::soak::Seeds;
use clap::{value_parser, Arg, ArgAction, Command};
use clap_complete::Shell;
use ospreywing_types::{Key, Name};
use std::path::PathBuf;

const DAEMONS_HELP: &str =
    "Comma-separated IP:port addresses of daemons; any of them can handle a request";

fn name(text: &str) -> Result<Name, String> {
    Name::new(text).map_err(|error| error.to_string())
}

fn key(text: &str) -> Result<Key, String> {
    Key::new(text).map_err(|error| error.to_string())
}

fn row() -> Arg {
    Arg::new("row")
        .required(true)
        .value_parser(name)
        .help("The row's name")
}

fn key_arg() -> Arg {
    Arg::new("key")
        .required(true)
        .value_parser(key)
        .help("The caller's key")
}

fn number(flag: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(flag)
        .long(flag)
        .default_value(default)
        .value_parser(value_parser!(u32))
        .help(help)
}

/// Returns the command-line parser with all subcommands.
pub fn command() -> Command {
    Command::new("ospreywing")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates a cell of ospreywing")
        .after_help(
            "Exit codes: 0 done, 1 failed, 2 wrong usage or input, 3 not run, \
             4 unknown, 5 changed by another",
        )
        .subcommand_required(true)
        .arg(
            Arg::new("daemons")
                .long("daemons")
                .env("OSPREYWING_DAEMONS")
                .value_delimiter(',')
                .global(true)
                .default_value("127.0.0.1:7480")
                .help(DAEMONS_HELP),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .global(true)
                .help("Print JSON"),
        )
        .subcommand(table())
        .subcommand(submit())
        .subcommand(task())
        .subcommand(call())
        .subcommand(Command::new("boxes").about("Shows the workers and which are connected"))
        .subcommand(Command::new("status").about("Shows the cell as each daemon sees it"))
        .subcommand(report())
        .subcommand(replay())
        .subcommand(explain())
        .subcommand(check_settings())
        .subcommand(soak())
        .subcommand(
            Command::new("completions")
                .about("Prints completions for a shell")
                .arg(
                    Arg::new("shell")
                        .required(true)
                        .value_parser(value_parser!(Shell)),
                ),
        )
}

fn table() -> Command {
    let file = Arg::new("file").required(true).help("The CSV file");
    let prune = Arg::new("prune")
        .long("prune")
        .action(ArgAction::SetTrue)
        .help("Remove the rows that are not in the file");
    let dry_run = Arg::new("dry-run")
        .long("dry-run")
        .action(ArgAction::SetTrue)
        .help("Show the differences without writing them");
    let column = Arg::new("column").required(true).help("The column's name");
    let value = Arg::new("value").required(true).help("The cell's new text");
    Command::new("table")
        .about("Reads and edits the table of weights and limits")
        .subcommand_required(true)
        .subcommand(Command::new("get").about("Shows a row").arg(row()))
        .subcommand(
            Command::new("set")
                .about("Sets one cell")
                .arg(row())
                .arg(column)
                .arg(value),
        )
        .subcommand(Command::new("export").about("Prints the table as CSV"))
        .subcommand(
            Command::new("apply")
                .about("Shows the differences between the table and a CSV file, then applies them")
                .arg(file)
                .arg(prune)
                .arg(dry_run),
        )
        .subcommand(Command::new("remove").about("Removes a row").arg(row()))
        .subcommand(
            Command::new("history")
                .about("Shows the last edits of a row")
                .arg(row()),
        )
        .subcommand(Command::new("columns").about("Explains the columns"))
}

fn submit() -> Command {
    Command::new("submit")
        .about("Submits a task")
        .arg(row())
        .arg(key_arg())
        .arg(
            Arg::new("command")
                .required(true)
                .help("The command for the worker to run"),
        )
        .arg(number(
            "cores-milli",
            "1000",
            "Processors needed, in thousandths of a core",
        ))
        .arg(number("memory-mib", "1024", "Memory needed, in mebibytes"))
        .arg(number("accelerators", "0", "Accelerators needed"))
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .help("Wait until the task has ended"),
        )
}

fn task() -> Command {
    Command::new("task")
        .about("Shows and cancels tasks")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Lists tasks"))
        .subcommand(Command::new("show").about("Shows a task").arg(key_arg()))
        .subcommand(
            Command::new("cancel")
                .about("Cancels a task")
                .arg(key_arg()),
        )
}

fn call() -> Command {
    Command::new("call")
        .about("Sends a request")
        .arg(row())
        .arg(Arg::new("body").required(true).help("The request's body"))
        .arg(
            Arg::new("key")
                .long("key")
                .value_parser(key)
                .help("The request's key; rows that are unsafe to repeat need one"),
        )
}

fn report() -> Command {
    Command::new("report")
        .about("Prints reports")
        .subcommand_required(true)
        .subcommand(
            Command::new("burn").about("Shows how fast each service row uses its error budget"),
        )
        .subcommand(
            Command::new("delays")
                .about("Shows the mean delays of jobs by queue, from the logs of the nodes")
                .arg(logs()),
        )
}

fn logs() -> Arg {
    Arg::new("log")
        .required(true)
        .num_args(1..)
        .help("Log files of the nodes, in JSON lines")
}

fn explain() -> Command {
    Command::new("explain")
        .about("Shows the timeline of one request from the logs of the nodes")
        .arg(Arg::new("id").required(true).help("The job's id"))
        .arg(logs())
}

fn replay() -> Command {
    let table = |name: &'static str, help: &'static str| Arg::new(name).long(name).help(help);
    Command::new("replay")
        .about(
            "Replays a recorded trace through the daemon's placement code, under one or two tables",
        )
        .arg(Arg::new("trace").required(true).help("The trace file"))
        .arg(table("table", "The table's CSV file").required(true))
        .arg(table(
            "other-table",
            "A second table to compare with the first",
        ))
        .arg(
            Arg::new("baseline")
                .long("baseline")
                .action(ArgAction::SetTrue)
                .help("Also replay with first fit in arrival order, for comparison"),
        )
}

fn check_settings() -> Command {
    Command::new("check-settings")
        .about("Checks a daemon's settings, given as its flags or in the environment")
        .args(ospreywing_settings::arguments())
}

fn soak() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    let path = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name(value)
            .value_parser(value_parser!(PathBuf))
            .help(help)
    };
    Command::new("soak")
        .about("Starts nodes on this machine, injects faults, and checks the invariants")
        .arg(number("seed", "1", "The seed of the run"))
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("A..B")
                .value_parser(Seeds::parse)
                .conflicts_with("seed")
                .help("Run the seeds A to B in turn, both included"),
        )
        .arg(number(
            "seconds",
            "20",
            "Duration of the fault phase of each run, in seconds",
        ))
        .arg(number("boxes", "4", "Number of nodes, each a process"))
        .arg(number("workers", "8", "Number of fake workers"))
        .arg(
            Arg::new("crashes")
                .long("crashes")
                .action(ArgAction::SetTrue)
                .help("Also run tasks that crash their workers, and change worker capacities")
                .conflicts_with("plan"),
        )
        .arg(
            Arg::new("restarts")
                .long("restarts")
                .action(ArgAction::SetTrue)
                .help("Also restart workers under the same ids")
                .conflicts_with("plan"),
        )
        .arg(
            Arg::new("lost-histories")
                .long("lost-histories")
                .action(ArgAction::SetTrue)
                .help("Also have the store lose its history, and cancel jobs right after they were accepted")
                .conflicts_with("plan"),
        )
        .arg(
            path("plan", "FILE", "Run this plan instead of generating one")
                .conflicts_with_all(["seed", "seeds"]),
        )
        .arg(
            path(
                "report",
                "DIR",
                "Output directory for logs, plans and violation reports",
            )
            .default_value("target/soak"),
        )
        .arg(path(
            "binary",
            "FILE",
            "The node program [default: ospreywing-platformd in the directory of this program]",
        ))
}
