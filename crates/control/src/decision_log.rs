//! Log lines for the scheduler's decisions and status.

use ospreywing_scheduler::{Decision, DecisionKind, SchedulerStatus};
use slog::{debug, info, Logger};
use std::sync::Arc;

/// Logs the scheduler's status: numbers of jobs, runs and workers, and capacity.
pub(crate) fn log_status(log: &Logger, status: &SchedulerStatus) {
    info!(log, "status";
        "active_jobs" => status.active_jobs_count,
        "jobs_bytes" => status.jobs_bytes,
        "jobs" => status.jobs_count,
        "runs" => status.runs_count,
        "workers" => status.listed_workers_count,
        "placeable_workers" => status.placeable_workers_count,
        "capacity_milli" => status.capacity_milli,
        "used_milli" => status.used_milli,
        "waiting_gangs" => status.waiting_gangs_count,
        "awaited_workers" => status.reserved_workers_count,
        "beyond_share" => status.over_share_count,
        "largest_share_lag_ms" => status.largest_share_lag.as_ms());
}

/// Logs a decision of the scheduler.
pub(crate) fn log_decision(log: &Logger, fence: u64, decision: &Decision) {
    let kind = decision.kind.as_str();
    let worker: &str = decision
        .worker
        .as_ref()
        .map_or("", |worker: &Arc<str>| worker);
    if let Some(customer) = &decision.customer {
        return info!(log, "{}", kind;
            "job" => decision.job.map(|job| job.to_string()),
            "customer" => &*customer.name,
            "used" => customer.used.to_string(), "limit" => customer.limit.to_string(),
            "reserved_for" => decision.reserved.map(|reserved| reserved.step.to_string()),
            "due_in_ms" => decision.reserved.and_then(|reserved| reserved.due_in)
                .map(|due_in| due_in.as_ms()),
            "reason" => decision.reason, "figure" => decision.figure);
    }
    if let Some(attempts) = decision.attempts {
        return info!(log, "{}", kind;
            "task" => decision.task.map(|task| task.to_string()), "run" => decision.run,
            "worker" => worker, "reason" => decision.reason,
            "failed" => attempts.failed_count, "limit" => attempts.limit_count,
            "limit_source" => attempts.limit_source.as_str(), "fence" => fence);
    }
    match (decision.task, decision.job) {
        (None, Some(job)) if decision.kind == DecisionKind::AdviceAnswered => {
            info!(log, "{}", kind;
            "job" => %job, "reason" => decision.reason, "good" => decision.suitable_count,
            "figure" => decision.figure)
        }
        (Some(task), _) => info!(log, "{}", kind;
            "task" => %task, "run" => decision.run, "worker" => worker,
            "reason" => decision.reason, "figure" => decision.figure, "fence" => fence),
        (None, Some(job)) => info!(log, "{}", kind;
            "job" => %job, "queue" => decision.queue.as_deref().unwrap_or(""), "worker" => worker,
            "reason" => decision.reason, "figure" => decision.figure),
        (None, None) if decision.kind == DecisionKind::WorkerListed => {
            debug!(log, "{}", kind; "worker" => worker, "reason" => decision.reason);
        }
        (None, None) if decision.kind == DecisionKind::CordonChanged => {
            let data_centre = decision.data_centre.as_deref().unwrap_or_default();
            info!(log, "{}", kind; "data_centre" => data_centre, "reason" => decision.reason);
        }
        (None, None) if decision.kind == DecisionKind::Overload => {
            let service = decision.service.as_deref().unwrap_or_default();
            info!(log, "{}", kind; "service" => service, "reason" => decision.reason,
                "load_percent" => decision.figure);
        }
        (None, None) => info!(log, "{}", kind;
            "worker" => worker, "reason" => decision.reason, "figure" => decision.figure),
    }
}
