//! The scheduling decisions of a cell's leader.
//!
//! One node holds the leader's lease. Its [`Scheduler`] handles typed events (accepted
//! jobs, lists of workers, answers to orders) and appends typed actions (commits, starts,
//! stops, polls, advice requests). It performs no I/O, reads no clock and uses no
//! randomness: every event comes with its instant.
//!
//! Its guarantees rest on three rules:
//!
//! - a start is recorded in the store before it is sent;
//! - an end is recorded before the worker may discard it;
//! - a task is started again only after its last run has ended, can no longer start, or
//!   has outlasted every lease granted to its worker.

mod admission;
mod advice;
mod advice_requests;
mod adviser_load;
mod adviser_nodes;
mod backfill;
mod candidate;
mod commits;
mod config;
mod cordons;
mod crash_records;
mod crashes;
mod customers;
mod cycle;
pub mod deadline_selection;
mod decision;
mod departures;
mod durations;
mod early_cancels;
mod early_stops;
mod ends;
mod estimates;
mod event;
mod expected_capacity;
mod features;
mod forecast;
mod fragmentation;
mod gang_search;
mod gangs;
mod handover;
mod headroom;
mod incarnation;
mod incarnations;
mod interference;
mod job;
mod job_size;
mod jobs;
mod learning;
mod leases;
mod limits;
mod name_interner;
mod open_starts;
mod orders;
mod overloads;
mod packing;
mod placed_incarnations;
mod placement;
mod policies;
mod preemption;
mod recovery;
mod resource_totals;
mod retries;
mod rounds;
mod runs;
mod scheduler;
mod scheduling_order;
mod shapes;
mod share_accounts;
mod shares;
mod speed_preference;
mod speeds;
mod state;
mod step_durations;
mod token_bucket;
mod trailing;
mod verifier;
mod wait_reasons;
mod worker;
mod worker_failures;
mod worker_list;

pub use admission::{Forecast, QueueForecast, Rejection, FORECAST_AGE_LIMIT};
pub use config::{
    AdvicePolicy, Configuration, CrashPolicy, ProbationRule, Queue, SchedulerConfig, ServicePolicy,
    LANES_COUNT,
};
pub use crash_records::{CrashRecord, Suspicion};
pub use customers::{Customer, CustomerUsage};
pub use decision::{AttemptsUsed, Decision, DecisionKind, ReservedLimit};
pub use durations::{DurationForecast, Durations, ForecastError, StepClass};
pub use event::{
    Action, AdviceReply, Change, ChangeKind, EndKind, EndedRun, Endpoint, Event, HoldReply,
    RefusedStart, RunningRun, StartOrder, StartReply, StopReply, Ticket, WorkerChange,
};
pub use features::{Feature, Features, UnknownFeature};
pub use fragmentation::ServiceFragmentation;
pub use handover::{Learned, LearnedQuantiles, LearnedSize, LearnedSpeed};
pub use incarnation::Incarnation;
pub use job::{JobId, JobIdError, JobRecord, JobSpec, Schedule, StepKey, StepSpec, TaskKey};
pub use leases::poll_timeout;
pub use policies::{JobPolicy, PolicySource};
pub use recovery::Recovered;
pub use scheduler::{JobView, Scheduler, SchedulerStatus};
pub use shares::ShareView;
pub use speeds::{Ejection, Speeds, TYPICAL_SPEED};
pub use state::{
    JobOutcome, JobState, Phase, RoundState, StateError, StepState, StoredJob, TaskState,
    TaskStatus,
};
pub use trailing::Trailing;
pub use verifier::Violation;
pub use wait_reasons::{WaitReason, WaitSummary};
pub use worker::{WorkerFacts, WorkerKey};
