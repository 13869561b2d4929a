//! Tests of the arguments of the command `soak`.

use ospreywing_cli::command::command;
use ospreywing_cli::Seeds;
use rstest::rstest;

#[test]
fn seeds_parse_range() {
    let seeds = Seeds { first: 3, last: 50 };
    assert_eq!(Seeds::parse("3..50"), Ok(seeds));
}

#[rstest]
#[case("3", "it is not A..B")]
#[case("3..x", "x: not a number")]
#[case("5..3", "the first is above the last")]
fn seeds_parse_invalid(#[case] text: &str, #[case] reason: &str) {
    assert_eq!(Seeds::parse(text), Err(reason.to_owned()));
}

#[rstest]
#[case(&["--seeds", "5..3"], "--seeds")]
#[case(&["--boxes", "many"], "--boxes")]
#[case(&["--plan", "plan.json", "--seed", "7"], "--seed")]
fn soak_names_invalid_flag(#[case] words: &[&str], #[case] flag: &str) {
    let line = ["ospreywing", "soak"].iter().chain(words);
    let error = command()
        .try_get_matches_from(line)
        .expect_err("the arguments are invalid");
    assert!(error.to_string().contains(flag), "{error}");
}
