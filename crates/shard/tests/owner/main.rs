//! Proofs of what an owner promises: searched interleavings and stated traces.

mod search;
mod support;
mod traces;
