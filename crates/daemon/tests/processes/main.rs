//! Runs real daemon processes against simulated platform components and injects failures.
//!
//! The checks use the records that the simulated components keep. The tests wait for
//! conditions and assert no wall-clock times.

mod bad_input;
mod box_list;
mod cell;
mod clients;
mod failures;
mod table;
