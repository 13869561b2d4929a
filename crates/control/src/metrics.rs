//! A node's counters, gauges and histograms, exported in the OpenMetrics text format.

use crate::client_connections::ClientConnections;
use crate::clock;
use crate::platform::{CordonFault, Reply, WorkerEntryFault};
use crate::refusal_log::Refusal;
use ospreywing_scheduler::{Decision, Forecast, SchedulerStatus, ServiceFragmentation, WaitReason};
use ospreywing_types::{Duration, Instant};
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicI64;

/// The content type of the OpenMetrics text format.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// The first bucket's bound in histograms; each further bound is twice as high.
const FIRST_BUCKET_S: f64 = 0.002;
const BUCKETS_COUNT: u16 = 13;
/// A page of memory, in bytes.
const PAGE_BYTES: i64 = 4096;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReplyLabels {
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DecisionLabels {
    kind: &'static str,
    reason: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EntryLabels {
    reason: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    reason: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WaitLabels {
    reason: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct QueueLabels {
    queue: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StoreLabels {
    call: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

type IntGauge = Gauge<i64, AtomicI64>;

/// The metrics of a node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    replies: Family<ReplyLabels, Counter>,
    reply_s: Histogram,
    refusals: Family<RefusalLabels, Counter>,
    client_connections: IntGauge,
    client_long_bodies_bytes: IntGauge,
    decisions: Family<DecisionLabels, Counter>,
    unreadable_entries: Family<EntryLabels, Counter>,
    unusable_cordons: Family<EntryLabels, Counter>,
    cordons: IntGauge,
    unanswered_refusals: IntGauge,
    early_cancels: IntGauge,
    overdue_rounds: IntGauge,
    worker_entries: Counter,
    worker_list_age_ms: IntGauge,
    waiting_steps: Family<WaitLabels, IntGauge>,
    oldest_wait_ms: Family<WaitLabels, IntGauge>,
    refused_by_forecast: Counter,
    forecast_ms: Family<QueueLabels, IntGauge>,
    fitting_cores: Family<ServiceLabels, IntGauge>,
    fitting_accelerators: Family<ServiceLabels, IntGauge>,
    fitting_tasks: Family<ServiceLabels, IntGauge>,
    usable_capacity_percent: Family<ServiceLabels, IntGauge>,
    store_calls: Family<StoreLabels, Counter>,
    store_call_s: Histogram,
    terms: Counter,
    relays: IntGauge,
    relayed_orders: Counter,
    relays_lost: Counter,
    loop_lateness_ms: IntGauge,
    is_leader: IntGauge,
    active_jobs: IntGauge,
    jobs_bytes: IntGauge,
    runs: IntGauge,
    workers: IntGauge,
    placeable_workers: IntGauge,
    capacity_millicores: IntGauge,
    used_millicores: IntGauge,
    overloaded_services: IntGauge,
    waiting_gangs: IntGauge,
    limit_reservations: IntGauge,
    awaited_workers: IntGauge,
    slow_workers: IntGauge,
    ejected_workers: IntGauge,
    learned_sizes: IntGauge,
    forecast_error_percent: IntGauge,
    estimate_error_percent: IntGauge,
    beyond_share_customers: IntGauge,
    largest_share_lag_ms: IntGauge,
    configuration_version: IntGauge,
    configuration_age_ms: IntGauge,
    resident_bytes: IntGauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates metrics that are all zero.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("ospreywing"),
            replies: Family::default(),
            reply_s: new_histogram(),
            refusals: Family::default(),
            client_connections: IntGauge::default(),
            client_long_bodies_bytes: IntGauge::default(),
            decisions: Family::default(),
            unreadable_entries: Family::default(),
            unusable_cordons: Family::default(),
            cordons: IntGauge::default(),
            unanswered_refusals: IntGauge::default(),
            early_cancels: IntGauge::default(),
            overdue_rounds: IntGauge::default(),
            worker_entries: Counter::default(),
            worker_list_age_ms: IntGauge::default(),
            waiting_steps: Family::default(),
            oldest_wait_ms: Family::default(),
            refused_by_forecast: Counter::default(),
            forecast_ms: Family::default(),
            fitting_cores: Family::default(),
            fitting_accelerators: Family::default(),
            fitting_tasks: Family::default(),
            usable_capacity_percent: Family::default(),
            store_calls: Family::default(),
            store_call_s: new_histogram(),
            terms: Counter::default(),
            relays: IntGauge::default(),
            relayed_orders: Counter::default(),
            relays_lost: Counter::default(),
            loop_lateness_ms: IntGauge::default(),
            is_leader: IntGauge::default(),
            active_jobs: IntGauge::default(),
            jobs_bytes: IntGauge::default(),
            runs: IntGauge::default(),
            workers: IntGauge::default(),
            placeable_workers: IntGauge::default(),
            capacity_millicores: IntGauge::default(),
            used_millicores: IntGauge::default(),
            overloaded_services: IntGauge::default(),
            waiting_gangs: IntGauge::default(),
            limit_reservations: IntGauge::default(),
            awaited_workers: IntGauge::default(),
            slow_workers: IntGauge::default(),
            ejected_workers: IntGauge::default(),
            learned_sizes: IntGauge::default(),
            forecast_error_percent: IntGauge::default(),
            estimate_error_percent: IntGauge::default(),
            beyond_share_customers: IntGauge::default(),
            largest_share_lag_ms: IntGauge::default(),
            configuration_version: IntGauge::default(),
            configuration_age_ms: IntGauge::default(),
            resident_bytes: IntGauge::default(),
        };
        metrics.register_counters();
        metrics.register_gauges();
        metrics.register_fragmentation();
        metrics
    }

    fn register_counters(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "replies",
            "Replies to clients, by outcome",
            self.replies.clone(),
        );
        registry.register(
            "reply_seconds",
            "Time from a whole request to its reply",
            self.reply_s.clone(),
        );
        registry.register(
            "client_refusals",
            "Connections and requests of clients that were refused for lack of resources, by reason",
            self.refusals.clone(),
        );
        registry.register(
            "decisions",
            "The scheduler's decisions, by kind and reason",
            self.decisions.clone(),
        );
        registry.register(
            "unreadable_entries",
            "Workers' entries that name no worker to use, by reason",
            self.unreadable_entries.clone(),
        );
        registry.register(
            "worker_entries",
            "Entries of workers that the store told as written or gone",
            self.worker_entries.clone(),
        );
        registry.register(
            "unusable_cordons",
            "Cordons that are not followed, by reason",
            self.unusable_cordons.clone(),
        );
        registry.register(
            "refused_by_forecast",
            "Jobs that were refused since they would be worth nothing when they are done",
            self.refused_by_forecast.clone(),
        );
        registry.register(
            "forecast_milliseconds",
            "When a job would be done at the best that is handed in now, by queue",
            self.forecast_ms.clone(),
        );
        registry.register(
            "waiting_steps",
            "Steps that wait to start, by reason",
            self.waiting_steps.clone(),
        );
        registry.register(
            "oldest_wait_milliseconds",
            "How long the first of them has waited",
            self.oldest_wait_ms.clone(),
        );
        registry.register(
            "store_calls",
            "Calls of the platform's store",
            self.store_calls.clone(),
        );
        registry.register(
            "store_call_seconds",
            "Time of the store's calls, but for watches",
            self.store_call_s.clone(),
        );
        registry.register("terms", "Terms that this node has led", self.terms.clone());
        registry.register(
            "relayed_orders",
            "Orders that were handed to relays",
            self.relayed_orders.clone(),
        );
        registry.register(
            "relays_lost",
            "Relays that did not answer",
            self.relays_lost.clone(),
        );
    }

    fn register_gauges(&mut self) {
        let amounts = [
            ("is_leader", "1 while this node leads", &self.is_leader),
            ("active_jobs", "Jobs with work left", &self.active_jobs),
            (
                "jobs_bytes",
                "Memory that jobs take up, by estimate",
                &self.jobs_bytes,
            ),
            ("runs", "Runs that occupy workers", &self.runs),
            ("workers", "Workers that are listed", &self.workers),
            ("cordons", "Data centres that are cordoned", &self.cordons),
            (
                "early_cancels",
                "Cancels of jobs that are not known yet",
                &self.early_cancels,
            ),
            (
                "overdue_rounds",
                "Due rounds of scheduled jobs that have not begun",
                &self.overdue_rounds,
            ),
            (
                "unanswered_refusals",
                "Stops of starts meant for an earlier life of a worker, not answered yet",
                &self.unanswered_refusals,
            ),
            (
                "worker_list_age_milliseconds",
                "Time since the list of workers was known to be the newest",
                &self.worker_list_age_ms,
            ),
            (
                "placeable_workers",
                "Workers that may take a run",
                &self.placeable_workers,
            ),
            (
                "capacity_millicores",
                "What these hold, in thousandths of a core",
                &self.capacity_millicores,
            ),
            (
                "used_millicores",
                "What of it runs occupy",
                &self.used_millicores,
            ),
            (
                "overloaded_services",
                "Services that are short of room",
                &self.overloaded_services,
            ),
            (
                "waiting_gangs",
                "Gangs that workers are kept free for",
                &self.waiting_gangs,
            ),
            (
                "limit_reservations",
                "Steps for which a part of their customer's limit is reserved",
                &self.limit_reservations,
            ),
            (
                "awaited_workers",
                "Workers that are kept free",
                &self.awaited_workers,
            ),
            (
                "slow_workers",
                "Workers that are known to be slower than others of their service",
                &self.slow_workers,
            ),
            (
                "ejected_workers",
                "Workers that come last since they are slow of late",
                &self.ejected_workers,
            ),
            (
                "learned_sizes",
                "Sizes of steps whose lengths are learned",
                &self.learned_sizes,
            ),
            (
                "forecast_error_percent",
                "How far off learned lengths were, as a mean factor less 1",
                &self.forecast_error_percent,
            ),
            (
                "estimate_error_percent",
                "How far off clients' estimates of the same tasks were",
                &self.estimate_error_percent,
            ),
            (
                "beyond_share_customers",
                "Customers whose further work comes later, by service",
                &self.beyond_share_customers,
            ),
            (
                "largest_share_lag_milliseconds",
                "How far a customer is ahead of its share at most",
                &self.largest_share_lag_ms,
            ),
            (
                "configuration_version",
                "The version of the operators' configuration that is in force",
                &self.configuration_version,
            ),
            (
                "configuration_age_milliseconds",
                "Time since the store last confirmed it",
                &self.configuration_age_ms,
            ),
            (
                "relays",
                "Nodes that carry this leader's orders",
                &self.relays,
            ),
            (
                "loop_lateness_milliseconds",
                "How late the leader's own loop was lately",
                &self.loop_lateness_ms,
            ),
            (
                "client_connections",
                "Open connections of clients",
                &self.client_connections,
            ),
            (
                "client_long_bodies_bytes",
                "Bodies of more than 16 KiB that arrive or are handled, without their first 16 KiB",
                &self.client_long_bodies_bytes,
            ),
            (
                "resident_bytes",
                "The process's resident memory",
                &self.resident_bytes,
            ),
        ];
        for (name, help, amount) in amounts {
            self.registry.register(name, help, amount.clone());
        }
    }

    fn register_fragmentation(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "fitting_millicores",
            "Thousandths of a core of the largest recent task that fits now, by service",
            self.fitting_cores.clone(),
        );
        registry.register(
            "fitting_accelerators",
            "Accelerators of the largest recent task that fits now, by service",
            self.fitting_accelerators.clone(),
        );
        registry.register(
            "fitting_tasks",
            "How many such tasks fit now, by service",
            self.fitting_tasks.clone(),
        );
        registry.register(
            "whole_room_percent",
            "The part of the free room in which the largest recent task fits, by service",
            self.usable_capacity_percent.clone(),
        );
    }

    /// Sets how fragmented each service's free capacity is; removes services without any.
    fn set_fragmentation(&self, fragmentations: &[ServiceFragmentation]) {
        self.fitting_cores.clear();
        self.fitting_accelerators.clear();
        self.fitting_tasks.clear();
        self.usable_capacity_percent.clear();
        for fragmentation in fragmentations {
            let service = fragmentation.service.to_string();
            let labels = ServiceLabels { service };
            let set = |family: &Family<ServiceLabels, IntGauge>, value: i64| {
                family.get_or_create(&labels).set(value);
            };
            let fit = &fragmentation.largest_fit;
            set(&self.fitting_cores, i64::from(fit.cores_milli));
            set(
                &self.fitting_accelerators,
                i64::from(fit.accelerators_count),
            );
            set(
                &self.fitting_tasks,
                fragmentation.fit_count.min(i64::MAX as u64) as i64,
            );
            set(
                &self.usable_capacity_percent,
                i64::from(fragmentation.usable_percent),
            );
        }
    }

    /// Counts a reply to a request whose head was read at `started_at`.
    pub fn count_reply(&self, reply: &Reply, started_at: Instant) {
        let outcome = outcome_of(reply);
        self.replies.get_or_create(&ReplyLabels { outcome }).inc();
        self.reply_s.observe(seconds_since(started_at));
    }

    /// Counts a decision.
    pub fn count_decision(&self, decision: &Decision) {
        let labels = DecisionLabels {
            kind: decision.kind.as_str(),
            reason: decision.reason,
        };
        self.decisions.get_or_create(&labels).inc();
    }

    /// Counts an unusable worker entry.
    pub fn count_unreadable_entry(&self, fault: WorkerEntryFault) {
        let reason = fault.as_str();
        let labels = EntryLabels { reason };
        self.unreadable_entries.get_or_create(&labels).inc();
    }

    /// Counts changes of worker entries that the store reported.
    pub fn count_worker_entries(&self, count: usize) {
        self.worker_entries.inc_by(count as u64);
    }

    /// Sets the age of the worker list.
    pub fn set_worker_list_age(&self, age: Duration) {
        self.worker_list_age_ms.set(age.as_ms() as i64);
    }

    /// Counts an unusable cordon.
    pub fn count_unusable_cordon(&self, fault: CordonFault) {
        let reason = fault.as_str();
        let labels = EntryLabels { reason };
        self.unusable_cordons.get_or_create(&labels).inc();
    }

    /// Counts a store call that began at `started_at`.
    pub fn count_store_call(&self, call: &'static str, outcome: &'static str, started_at: Instant) {
        self.store_calls
            .get_or_create(&StoreLabels { call, outcome })
            .inc();
        self.store_call_s.observe(seconds_since(started_at));
    }

    /// Counts a job that was rejected by a forecast.
    pub fn count_rejected_by_forecast(&self) {
        self.refused_by_forecast.inc();
    }

    /// Sets the forecasts by queue; removes queues without one.
    pub fn set_forecast(&self, forecast: Option<&Forecast>) {
        self.forecast_ms.clear();
        for queue in forecast.iter().flat_map(|forecast| &forecast.queues) {
            let labels = QueueLabels {
                queue: queue.queue.clone(),
            };
            let amount = self.forecast_ms.get_or_create(&labels);
            amount.set(queue.done_ms as i64);
        }
    }

    /// Sets the number of relays that the leader uses.
    pub fn set_relays_count(&self, count: usize) {
        self.relays.set(count as i64);
    }

    /// Counts orders that are sent to a relay.
    pub fn count_relayed_orders(&self, count: usize) {
        self.relayed_orders.inc_by(count as u64);
    }

    /// Counts a relay that did not answer.
    pub fn count_lost_relay(&self) {
        self.relays_lost.inc();
    }

    /// Sets the recent lateness of the leader's event loop.
    pub fn set_lateness(&self, lateness: Duration) {
        self.loop_lateness_ms.set(lateness.as_ms() as i64);
    }

    /// Counts a client that was refused for lack of resources.
    pub fn count_refusal(&self, refusal: Refusal) {
        let labels = RefusalLabels {
            reason: refusal.as_str(),
        };
        self.refusals.get_or_create(&labels).inc();
    }

    /// Sets the gauges of clients' connections.
    pub(crate) fn set_clients(&self, clients: &ClientConnections) {
        self.client_connections.set(clients.open_count() as i64);
        let bytes = clients.long_bodies_bytes();
        self.client_long_bodies_bytes.set(bytes as i64);
    }

    /// Sets whether this node leads; counts a new term, and clears the leader's gauges after one.
    pub fn set_leading(&self, is_leader: bool) {
        self.is_leader.set(i64::from(is_leader));
        if is_leader {
            self.terms.inc();
        } else {
            self.set_status(&SchedulerStatus::default());
            self.set_forecast(None);
            self.set_relays_count(0);
            self.set_lateness(Duration::ZERO);
        }
    }

    /// Sets the gauges of the scheduler's status.
    pub fn set_status(&self, status: &SchedulerStatus) {
        let set = |amount: &IntGauge, count: usize| {
            amount.set(count as i64);
        };
        set(&self.active_jobs, status.active_jobs_count);
        set(&self.jobs_bytes, status.jobs_bytes);
        set(&self.runs, status.runs_count);
        set(&self.workers, status.listed_workers_count);
        set(&self.cordons, status.cordons_count);
        set(&self.unanswered_refusals, status.unanswered_stops_count);
        set(&self.early_cancels, status.early_cancels_count);
        set(&self.overdue_rounds, status.overdue_rounds_count);
        set(&self.placeable_workers, status.placeable_workers_count);
        set(&self.overloaded_services, status.overloaded_services_count);
        set(&self.waiting_gangs, status.waiting_gangs_count);
        set(&self.limit_reservations, status.limit_reservations_count);
        set(&self.awaited_workers, status.reserved_workers_count);
        set(&self.slow_workers, status.slow_workers_count);
        set(&self.ejected_workers, status.ejected_workers_count);
        set(&self.learned_sizes, status.learned_sizes_count);
        let error = status.forecast_error;
        self.forecast_error_percent
            .set(error.forecast_percent as i64);
        self.estimate_error_percent
            .set(error.estimate_percent as i64);
        set(&self.beyond_share_customers, status.over_share_count);
        let lag_ms = status.largest_share_lag.as_ms();
        self.largest_share_lag_ms.set(lag_ms as i64);
        self.capacity_millicores.set(status.capacity_milli as i64);
        self.used_millicores.set(status.used_milli as i64);
        self.set_fragmentation(&status.fragmentation);
        for (reason, wait) in WaitReason::ALL.iter().zip(&status.waits) {
            let labels = WaitLabels {
                reason: reason.as_str(),
            };
            let steps = self.waiting_steps.get_or_create(&labels);
            steps.set(wait.steps_count as i64);
            let oldest_wait = self.oldest_wait_ms.get_or_create(&labels);
            oldest_wait.set(wait.oldest_wait.as_ms() as i64);
        }
    }

    /// Sets the version of the active configuration, and how long ago the store confirmed that
    /// there is no newer one.
    pub fn set_configuration(&self, version: u64, age: Duration) {
        self.configuration_version.set(version as i64);
        self.configuration_age_ms.set(age.as_ms() as i64);
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn to_text(&self) -> String {
        if let Some(bytes) = resident_bytes() {
            self.resident_bytes.set(bytes);
        }
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

fn new_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS_COUNT))
}

fn seconds_since(started_at: Instant) -> f64 {
    let took: Duration = clock::now().since(started_at);
    took.as_ms() as f64 / 1000.0
}

const fn outcome_of(reply: &Reply) -> &'static str {
    match reply {
        Reply::Accepted => "accepted",
        Reply::Cancelled => "cancelled",
        Reply::Status { .. } => "status",
        Reply::Pending(_) => "pending",
        Reply::NoQueue => "no_queue",
        Reply::NoJob => "no_job",
        Reply::NoCustomer => "no_customer",
        Reply::IdTaken => "id_taken",
        Reply::BeyondLimit { .. } => "beyond_limit",
        Reply::Invalid { .. } => "invalid",
        Reply::TooLarge { .. } => "too_large",
        Reply::NoMethod => "no_method",
        Reply::TooSlow => "too_slow",
        Reply::Unavailable(_) => "unavailable",
        Reply::Unknown => "unknown",
    }
}

/// Returns the process's resident memory in bytes, if the system reports it.
fn resident_bytes() -> Option<i64> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: i64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}
