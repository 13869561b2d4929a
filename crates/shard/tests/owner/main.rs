//! Tests of an owner's invariants: a search of event interleavings, and traces
//! with expected outcomes.

mod search;
mod support;
mod traces;
