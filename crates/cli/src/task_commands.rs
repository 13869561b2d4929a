//! The commands `submit`, `task` and `call`.

use crate::client::{parse_answer, refusal_error, Daemons};
use crate::print::{columns, print, Format};
use crate::CliError;
use clap::ArgMatches;
use http::Method;
use ospreywing_types::api::{SubmitTask, OUTCOME, REQUEST_KEY};
use ospreywing_types::peer::TaskStatus;
use ospreywing_types::{Key, Name, Resources, TaskSpec};
use std::time::Duration;

/// Interval at which `submit --wait` polls the status of the task.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(300);

fn name_of(matches: &ArgMatches) -> Result<Name, CliError> {
    let name = matches.get_one::<Name>("row").cloned();
    name.ok_or_else(|| CliError::Usage("row: missing".to_owned()))
}

fn key_of(matches: &ArgMatches) -> Result<Key, CliError> {
    let key = matches.get_one::<Key>("key").cloned();
    key.ok_or_else(|| CliError::Usage("key: missing".to_owned()))
}

fn text_of(matches: &ArgMatches, name: &str) -> String {
    let text = matches.get_one::<String>(name);
    text.cloned().unwrap_or_default()
}

fn number_of(matches: &ArgMatches, name: &str) -> u32 {
    matches.get_one::<u32>(name).copied().unwrap_or_default()
}

/// Runs `submit`: submits a task and optionally waits for its end.
pub(crate) async fn submit(
    daemons: &Daemons,
    format: Format,
    matches: &ArgMatches,
) -> Result<(), CliError> {
    let key = key_of(matches)?;
    let task = SubmitTask {
        key: key.clone(),
        row: name_of(matches)?,
        spec: TaskSpec {
            resources: Resources::new(
                number_of(matches, "cores-milli"),
                number_of(matches, "memory-mib"),
                number_of(matches, "accelerators"),
            ),
            command: text_of(matches, "command"),
        },
    };
    let answer = daemons
        .call(Method::POST, "/v1/tasks", |call| call.with_json(&task))
        .await?;
    let mut status: TaskStatus = parse_answer(&answer)?;
    while matches.get_flag("wait") && !status.phase.is_final() {
        tokio::time::sleep(STATUS_POLL_INTERVAL).await;
        status = daemons.get(&format!("/v1/tasks/{key}")).await?;
    }
    print_status(format, &status);
    Ok(())
}

/// Runs `task`: lists, shows or cancels tasks.
pub(crate) async fn run(
    daemons: &Daemons,
    format: Format,
    matches: &ArgMatches,
) -> Result<(), CliError> {
    match matches.subcommand() {
        Some(("show", matches)) => {
            let path = format!("/v1/tasks/{}", key_of(matches)?);
            let status: TaskStatus = daemons.get(&path).await?;
            print_status(format, &status);
            Ok(())
        }
        Some(("cancel", matches)) => {
            let path = format!("/v1/tasks/{}", key_of(matches)?);
            let answer = daemons.call(Method::DELETE, &path, Ok).await?;
            let status: TaskStatus = parse_answer(&answer)?;
            print_status(format, &status);
            Ok(())
        }
        _ => list(daemons, format).await,
    }
}

/// Lists the tasks of all daemons. Each daemon returns only the tasks of its own shards.
async fn list(daemons: &Daemons, format: Format) -> Result<(), CliError> {
    let parts: Vec<Vec<TaskStatus>> = daemons.get_all("/v1/tasks").await;
    let tasks: Vec<TaskStatus> = parts.into_iter().flatten().collect();
    print(format, &tasks, || {
        let lines: Vec<Vec<String>> = tasks.iter().map(cells).collect();
        columns(&HEADING, &lines)
    });
    Ok(())
}

const HEADING: [&str; 6] = ["KEY", "ROW", "PHASE", "ATTEMPTS", "WORKER", "RESULT"];

fn cells(status: &TaskStatus) -> Vec<String> {
    let worker = status.worker.as_ref().map(ToString::to_string);
    vec![
        status.key.to_string(),
        status.row.to_string(),
        status.phase.to_string(),
        status.attempts_count.to_string(),
        worker.unwrap_or_default(),
        status.result.clone().unwrap_or_default(),
    ]
}

fn print_status(format: Format, status: &TaskStatus) {
    print(format, status, || columns(&HEADING, &[cells(status)]));
}

/// Runs `call`: sends a request to a service row and prints the response.
pub(crate) async fn call(
    daemons: &Daemons,
    format: Format,
    matches: &ArgMatches,
) -> Result<(), CliError> {
    let path = format!("/v1/call/{}", name_of(matches)?);
    let body = text_of(matches, "body");
    let key = matches.get_one::<Key>("key");
    let prepare = |call: ospreywing_http::Call| {
        let call = call.with_body(body.clone());
        Ok(match key {
            Some(key) => call.with_header(REQUEST_KEY, key.as_str()),
            None => call,
        })
    };
    let answer = daemons.call(Method::POST, &path, prepare).await?;
    if answer.header(OUTCOME) != Some("done") {
        return Err(refusal_error(&answer));
    }
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    print(format, &text, || text.clone());
    Ok(())
}
