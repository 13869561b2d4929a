//! Tests of the scheduler: single cases, and searches over interleavings.

mod advice_calls;
mod awaiting;
mod cases;
mod cordons;
mod crash_figures;
mod crashes;
mod customers;
mod customers_load;
mod departures;
mod gang_load;
mod lapses;
mod packing;
mod packing_load;
mod pending;
mod repeats;
mod restarts;
mod rooms;
mod scale;
mod search;
mod stored;
mod support;
mod takeover;
mod waiting;
