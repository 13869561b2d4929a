//! The decisions of the cell's leader.
//!
//! One node holds the leader's lease. Its [`Scheduler`] takes typed events
//! (accepted jobs, lists of workers, answers to orders) and appends typed
//! actions (commits, starts, stops, renewals, calls for advice). It does no
//! I/O, reads no clock and draws no random number: every event brings its
//! instant.
//!
//! Three rules carry its promises:
//!
//! - a start is recorded in the store before it is sent;
//! - an end is recorded before the worker is told to forget it;
//! - a task is started again only after its last run has ended, can't start
//!   any more, or has outlived every lease that was granted to its worker.

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
mod crashes;
mod customers;
mod cycle;
mod decision;
mod departures;
mod dominant;
mod durations;
mod ends;
mod estimates;
mod event;
mod evidence;
mod expected_capacity;
mod features;
mod forecast;
mod fragmentation;
mod gang_search;
mod gangs;
mod handover;
mod headroom;
mod job;
mod job_rate;
mod jobs;
mod learning;
mod leases;
mod life;
mod limits;
mod lives;
mod names;
mod open_starts;
mod orders;
pub mod overload;
mod overloads;
mod packing;
mod placed_lives;
mod placement;
mod preemption;
mod recovery;
mod retries;
mod runs;
mod scheduler;
mod scheduling_order;
mod shapes;
mod share_accounts;
mod shares;
mod sharing;
mod speed_preference;
mod speeds;
mod state;
mod step_pace;
mod verifier;
mod wait_reasons;
mod worker;
mod worker_list;

pub use admission::{Forecast, QueueForecast, Refusal, FORECAST_AGE_LIMIT};
pub use config::{
    AdvicePolicy, Configuration, CrashPolicy, Queue, SchedulerConfig, ServicePolicy, TrialRule,
    LANES_COUNT,
};
pub use customers::{Customer, CustomerUse};
pub use decision::{Decision, DecisionKind, ReservedLimit};
pub use durations::{Durations, ForecastError, LengthForecast, LengthKind};
pub use event::{
    Action, AdviceReply, Change, ChangeKind, EndKind, EndedRun, Endpoint, Event, HoldReply,
    RefusedStart, RunningRun, StartOrder, StartReply, StopReply, Ticket, WorkerChange,
};
pub use evidence::{CrashRecord, Suspicion};
pub use features::{Feature, Features, UnknownFeature};
pub use fragmentation::ServiceFragmentation;
pub use handover::{Learned, LearnedQuantiles, LearnedSize, LearnedSpeed};
pub use job::{JobId, JobIdError, JobRecord, JobSpec, Schedule, StepKey, StepSpec, TaskKey};
pub use leases::look_patience;
pub use life::LifeStart;
pub use recovery::Recovered;
pub use scheduler::{JobView, Scheduler, SchedulerStatus};
pub use shares::ShareView;
pub use speeds::{Ejection, Speeds, USUAL_SPEED};
pub use state::{
    JobOutcome, JobState, Phase, RoundState, StateError, StepState, StoredJob, TaskState,
    TaskStatus,
};
pub use verifier::Violation;
pub use wait_reasons::{WaitReason, WaitSummary};
pub use worker::{WorkerFacts, WorkerKey};
