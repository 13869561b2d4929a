//! The table in which operators set shares, priorities and limits.
//!
//! The table has one row per workload, one per team with its quota, and one for
//! the cell's policy. It is edited as CSV in a spreadsheet and stored as one JSON
//! value per row. The crate parses, checks, compares and formats tables; it does
//! no I/O.

mod cap_parts;
mod column;
mod csv_form;
mod difference;
mod error;
mod row;
mod table;

pub use cap_parts::{part_of, part_of_resources};
pub use column::{Column, COLUMNS};
pub use csv_form::{from_csv, to_csv};
pub use difference::{differences, CellChange};
pub use error::{CellError, TableError};
pub use row::{Caps, Policy, Repeat, Row, RowKind};
pub use table::{Table, CELL_ROW};
