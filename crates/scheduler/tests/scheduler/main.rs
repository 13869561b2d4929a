//! Tests of the scheduler: single cases, and searches over interleavings.

mod cases;
mod search;
mod support;
