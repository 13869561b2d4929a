//! Tests of the defaults of settings, and of errors that name the invalid setting.

use clap::Command;
use ospreywing_settings::{arguments, Settings, SettingsError};
use ospreywing_types::Duration;
use rstest::rstest;

const VALID_SETTINGS: [(&str, &str); 7] = [
    ("--name", "d1"),
    ("--data-centre", "dc-a"),
    ("--cell", "test"),
    ("--http-addr", "127.0.0.1:0"),
    ("--rpc-addr", "127.0.0.1:0"),
    ("--store-addr", "127.0.0.1:2379"),
    ("--boxes-addr", "127.0.0.1:80"),
];

/// Parses valid settings with `changes` applied. Returns an error as its text.
fn parse(changes: &[(&str, &str)]) -> Result<Settings, String> {
    let kept = VALID_SETTINGS
        .iter()
        .filter(|(flag, _)| !changes.iter().any(|(changed, _)| changed == flag));
    let pairs = kept
        .chain(changes)
        .flat_map(|(flag, value)| [*flag, *value]);
    let line = ["test"].into_iter().chain(pairs);
    let command = Command::new("test").args(arguments());
    let matches = command
        .try_get_matches_from(line)
        .map_err(|error| error.to_string())?;
    Settings::new(&matches).map_err(|error| error.to_string())
}

#[test]
fn new_uses_defaults() {
    let settings = parse(&[]).expect("the settings are valid");
    assert_eq!(settings.shards_count, 2);
    assert_eq!(settings.task_lease, Duration::from_s(30));
    assert_eq!(settings.box_name, settings.name);
    assert_eq!(settings.statsd_addr, None);
}

#[rstest]
#[case::name("--name", "a b", "--name")]
#[case::addr("--store-addr", "localhost:1", "must be IP:port")]
#[case::no_port("--rpc-addr", "10.0.0.1", "--rpc-addr")]
#[case::shards("--shards", "0", "--shards")]
#[case::many_shards("--shards", "65", "--shards")]
#[case::duration("--poll-every", "soon", "--poll-every")]
#[case::zero("--boxes-every", "0s", "at least 1ms")]
#[case::short_lease("--task-lease", "5s", "--task-lease: 5000ms is not allowed")]
#[case::slow_poll("--poll-every", "3s", "--poll-every: 3000ms is not allowed")]
#[case::format("--log-format", "xml", "--log-format")]
#[case::rate("--commit-rate", "0", "--commit-rate")]
fn new_names_invalid_setting(#[case] flag: &str, #[case] value: &str, #[case] expected: &str) {
    let error = parse(&[(flag, value)]).expect_err("the setting is invalid");
    assert!(error.contains(expected), "{error}");
}

#[test]
fn new_same_address_is_rejected() {
    let changes = [
        ("--http-addr", "127.0.0.1:5"),
        ("--rpc-addr", "127.0.0.1:5"),
    ];
    let error = parse(&changes).expect_err("the addresses are the same");
    assert!(error.contains("--rpc-addr"), "{error}");
}

#[test]
fn check_variables_names_unknown_variable() {
    let names = ["PATH", "OSPREYWINGD_NAME", "OSPREYWINGD_NAEM"];
    let error = Settings::check_variables(names.into_iter().map(str::to_owned));
    let Err(SettingsError::UnknownVariable { name, .. }) = error else {
        panic!("the variable is unknown: {error:?}");
    };
    assert_eq!(name, "OSPREYWINGD_NAEM");
}
