//! Real daemons as processes against stand-ins, with failures brought about.
//!
//! The stand-ins keep the record that is judged. Conditions are awaited; no
//! wall time is asserted.

mod bad_input;
mod cell;
mod failures;
mod table;
