//! Service rows: limits, queues and request counts.

use crate::burn::Burn;
use crate::entity::{Request, Service};
use crate::rate::Rate;
use cranelift_entity::PrimaryMap;
use ospreywing_membership::{SeatSet, SEATS_COUNT};
use ospreywing_table::{part_of, Caps, Repeat, Row, RowKind, Table};
use ospreywing_types::{Duration, Name, RetryBudget};
use std::collections::{HashMap, VecDeque};

/// One service row.
#[derive(Clone, Debug)]
pub(crate) struct ServiceData {
    pub(crate) name: Name,
    /// Whether the current table contains the row.
    pub(crate) is_listed: bool,
    pub(crate) priority: u32,
    pub(crate) share: u32,
    pub(crate) caps: Caps,
    /// This daemon's share of the cap on requests in flight; `None` means no cap.
    pub(crate) inflight_limit_count: Option<u32>,
    pub(crate) rate: Rate,
    pub(crate) deadline: Option<Duration>,
    pub(crate) repeat: Repeat,
    pub(crate) retry_limit_count: u32,
    pub(crate) objective_permille: u32,
    pub(crate) inflight_count: u32,
    pub(crate) queue: VecDeque<Request>,
    pub(crate) retry_budget: RetryBudget,
    /// Moving average of the service time, in milliseconds.
    pub(crate) service_time_ms: f64,
    pub(crate) burn: Burn,
}

/// The initial value of the moving average.
const SERVICE_TIME_START_MS: f64 = 20.0;
/// The share of each difference that is added to the moving average.
const SERVICE_TIME_GAIN: f64 = 0.1;
/// The number of retries in a full budget.
const RETRY_BUDGET_COUNT: u32 = 10;

impl ServiceData {
    fn new(name: &Name) -> Self {
        Self {
            name: name.clone(),
            is_listed: false,
            priority: 0,
            share: 1,
            caps: Caps::default(),
            inflight_limit_count: None,
            rate: Rate::default(),
            deadline: None,
            repeat: Repeat::AtMostOnce,
            retry_limit_count: 0,
            objective_permille: 0,
            inflight_count: 0,
            queue: VecDeque::new(),
            retry_budget: RetryBudget::new(RETRY_BUDGET_COUNT),
            service_time_ms: SERVICE_TIME_START_MS,
            burn: Burn::default(),
        }
    }

    fn set_row(&mut self, row: &Row) {
        self.is_listed = true;
        self.priority = row.priority;
        self.share = row.share;
        self.caps = row.caps;
        self.deadline = row.deadline();
        self.repeat = row.repeat;
        self.retry_limit_count = row.retry_limit_count;
        self.objective_permille = row.objective_permille;
    }

    /// Sets this daemon's share of the row's caps; the shares of all seats add
    /// up to the caps.
    fn set_seats(&mut self, seats: SeatSet) {
        let part = |whole: u32| -> u32 {
            let parts = seats.iter().map(|seat| part_of(whole, seat, SEATS_COUNT));
            parts.sum()
        };
        let caps = &self.caps;
        self.inflight_limit_count = (caps.inflight_count > 0).then(|| part(caps.inflight_count));
        let rate_per_s = part(caps.rate_per_s);
        self.rate.set(if caps.rate_per_s > 0 {
            rate_per_s.max(1)
        } else {
            0
        });
    }

    /// Returns whether the cap allows one more request in flight.
    pub(crate) fn has_inflight_capacity(&self) -> bool {
        self.inflight_limit_count
            .is_none_or(|limit| self.inflight_count < limit)
    }

    /// Adds a service time to the moving average.
    pub(crate) fn record_service_time(&mut self, length: Duration) {
        let difference_ms = length.as_ms() as f64 - self.service_time_ms;
        self.service_time_ms += SERVICE_TIME_GAIN * difference_ms;
    }
}

/// All service rows that any table version has contained.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceTable {
    services: PrimaryMap<Service, ServiceData>,
    by_name: HashMap<Name, Service>,
}

impl ServiceTable {
    /// Replaces the rows with those of the current table.
    pub(crate) fn set_table(&mut self, table: &Table, seats: SeatSet) {
        for data in self.services.values_mut() {
            data.is_listed = false;
        }
        for row in table.rows().filter(|row| row.kind == RowKind::Service) {
            let service = self.intern(&row.name);
            self.services[service].set_row(row);
        }
        self.set_seats(seats);
    }

    /// Updates the share of the caps for the seats that this daemon holds.
    pub(crate) fn set_seats(&mut self, seats: SeatSet) {
        for data in self.services.values_mut() {
            data.set_seats(seats);
        }
    }

    fn intern(&mut self, name: &Name) -> Service {
        if let Some(service) = self.by_name.get(name) {
            return *service;
        }
        let service = self.services.push(ServiceData::new(name));
        self.by_name.insert(name.clone(), service);
        service
    }

    /// Returns the row named `name` if the current table contains it.
    pub(crate) fn listed(&self, name: &Name) -> Option<Service> {
        let service = self.by_name.get(name).copied()?;
        self.services[service].is_listed.then_some(service)
    }

    /// Returns a row's data.
    pub(crate) fn get(&self, service: Service) -> &ServiceData {
        &self.services[service]
    }

    /// Returns a row's data for modification.
    pub(crate) fn get_mut(&mut self, service: Service) -> &mut ServiceData {
        &mut self.services[service]
    }

    /// Iterates over the rows.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Service, &ServiceData)> {
        self.services.iter()
    }

    /// Returns every row's key.
    pub(crate) fn keys(&self) -> impl Iterator<Item = Service> {
        self.services.keys()
    }
}
