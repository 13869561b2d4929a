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
mod adviser_load;
mod advisers;
mod asking;
mod awaiting;
mod backfill;
mod candidate;
mod commits;
mod config;
mod cordons;
mod crashes;
mod customers;
mod cycle;
pub mod deadline_selection;
mod decision;
mod departures;
mod durations;
mod ends;
mod estimates;
mod event;
mod evidence;
mod features;
mod forecast;
mod fragmentation;
mod gang_search;
mod gangs;
mod handover;
mod interference;
mod job;
mod jobs;
mod learning;
mod leases;
mod life;
mod limits;
mod lives;
mod names;
mod open_starts;
mod order;
mod orders;
mod overloads;
mod packing;
mod placed_lives;
mod placing;
mod preemption;
mod recovery;
mod resource_totals;
mod retries;
mod runs;
mod scheduler;
mod shapes;
mod share_accounts;
mod shares;
mod speed_wish;
mod speeds;
mod state;
mod step_durations;
mod token_bucket;
mod verifier;
mod waiting;
mod whole_rooms;
mod worker;
mod worker_list;

pub use admission::{Forecast, QueueForecast, Rejection, FORECAST_AGE_LIMIT};
pub use config::{
    AdvicePolicy, Configuration, CrashPolicy, Queue, SchedulerConfig, ServicePolicy, TrialRule,
    LANES_COUNT,
};
pub use customers::{Customer, CustomerUsage};
pub use decision::{Decision, DecisionKind, ReservedLimit};
pub use durations::{DurationForecast, Durations, ForecastError, StepClass};
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
pub use speeds::{Ejection, Speeds, TYPICAL_SPEED};
pub use state::{
    JobOutcome, JobState, Phase, RoundState, StateError, StepState, StoredJob, TaskState,
    TaskStatus,
};
pub use verifier::Violation;
pub use waiting::{WaitReason, WaitSummary};
pub use worker::{WorkerFacts, WorkerKey};
