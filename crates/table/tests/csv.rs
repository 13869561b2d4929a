//! CSV round trips, defaults, and errors that name the row and the column.

use ospreywing_table::{from_csv, to_csv, Policy, TableError};
use ospreywing_types::Name;
use rstest::rstest;

const SWARAMALA: &str = include_str!("../../../examples/swaramala.csv");
const GALLERY: &str = include_str!("../../../examples/gallery.csv");
const SHARDS_COUNT: u32 = 4;

#[rstest]
#[case::swaramala(SWARAMALA, Policy::Packing)]
#[case::gallery(GALLERY, Policy::Waiting)]
fn from_csv_round_trips_samples(#[case] text: &str, #[case] policy: Policy) {
    let table = from_csv(text).expect("the sample is valid");
    assert_eq!(table.check(SHARDS_COUNT), Ok(()));
    assert_eq!(table.policy(), policy);
    assert_eq!(from_csv(&to_csv(&table)).as_ref(), Ok(&table));
}

#[test]
fn from_csv_empty_cells_get_defaults() {
    let table = from_csv("row,kind,share\nplan,batch,\n").expect("the table is valid");
    let row = table.get(&Name::new("plan").expect("the name is valid"));
    assert_eq!(row.map(|row| row.share), Some(100));
}

#[rstest]
#[case::number("row,kind,share\na,batch,many\n", "row \"a\", column share: \"many\"")]
#[case::range("row,kind,share\na,batch,0\n", "row \"a\", column share: \"0\"")]
#[case::word(
    "row,kind,repeat\na,batch,twice\n",
    "column repeat: \"twice\" is none of"
)]
#[case::kind("row,kind\na,sometimes\n", "row \"a\", column kind: \"sometimes\"")]
#[case::not_for_kind("row,kind,share\na,team,5\n", "a row of kind team has no such column")]
#[case::name("row,kind\na b,batch\n", "column row: \"a b\" has the character ' '")]
#[case::twice("row,kind\na,batch\na,batch\n", "row \"a\" stands twice")]
#[case::column("row,kind,shar\n", "line 1: unknown column \"shar\"")]
#[case::no_kind("row\na\n", "line 1: column kind must stand exactly once")]
#[case::short_line("row,kind,share\na,batch\n", "line")]
fn from_csv_names_row_and_column(#[case] text: &str, #[case] expected: &str) {
    let faults = from_csv(text).expect_err("the text is invalid");
    let printed: Vec<String> = faults.iter().map(TableError::to_string).collect();
    assert!(printed[0].contains(expected), "{printed:?}");
}

#[rstest]
#[case::team("row,kind,team\na,batch,b\n", "column team: no row of kind team")]
#[case::cap(
    "row,kind,cap_running_count\na,batch,3\n",
    "column cap_running_count: 3"
)]
#[case::cell("row,kind\nmain,cell\n", "row \"main\": the row of kind cell")]
fn check_names_row_and_column(#[case] text: &str, #[case] expected: &str) {
    let table = from_csv(text).expect("each cell is valid");
    let faults = table.check(SHARDS_COUNT).expect_err("the table is invalid");
    assert!(faults[0].to_string().contains(expected), "{faults:?}");
}
