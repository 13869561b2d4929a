//! The operators' configuration: keeps the active one up to date, and decides whether it
//! is recent enough to answer requests.

use crate::clock;
use crate::configuration_sharing::{self, AvoidedNodes};
use crate::follow::{follow, Flow, FollowPolicy, Update};
use crate::node::Node;
use crate::platform::{CallError, Platform};
use crate::store::{Item, Revision, WatchedChange};
use ospreywing_scheduler::Configuration;
use ospreywing_types::{Duration, Instant};
use slog::{info, warn};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::futures::Notified;
use tokio::sync::Notify;

/// The watches that fit into the time within which a change must be in force, so that
/// one may fail.
const CONFIRMATIONS_COUNT: u64 = 2;
/// How long a request waits for the configuration to be confirmed: long enough for one
/// failed call and its retry.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_ms(700);

/// The configuration that is in force.
pub struct ActiveConfiguration<P: Platform> {
    /// The scheduler's part.
    pub configuration: Configuration,
    /// The platform's part, which maps requests to queues.
    pub routes: P::Routes,
}

/// A configuration as stored.
pub(crate) struct StoredConfiguration {
    /// The revision of its last change.
    pub(crate) revision: Revision,
    /// Its value.
    pub(crate) value: Vec<u8>,
}

/// A node's view of the operators' configuration.
pub struct ConfigurationView<P: Platform> {
    active: RefCell<Option<Rc<ActiveConfiguration<P>>>>,
    /// The active one as stored, for other nodes.
    stored: RefCell<Option<Rc<StoredConfiguration>>>,
    /// Notified when another one becomes active.
    replaced: Notify,
    /// The nodes from which it is not fetched for a while.
    pub(crate) avoided_sources: RefCell<AvoidedNodes>,
    /// When the store last confirmed that there is no newer one.
    confirmed_at: Cell<Instant>,
    /// Notified when the store confirms that.
    confirmed: Notify,
    /// Whether it was logged that the confirmation is overdue.
    is_outdated: Cell<bool>,
}

impl<P: Platform> Default for ConfigurationView<P> {
    fn default() -> Self {
        Self {
            active: RefCell::new(None),
            stored: RefCell::new(None),
            replaced: Notify::new(),
            avoided_sources: RefCell::default(),
            confirmed_at: Cell::new(Instant::default()),
            confirmed: Notify::new(),
            is_outdated: Cell::new(false),
        }
    }
}

impl<P: Platform> ConfigurationView<P> {
    /// Returns the active configuration.
    pub fn active(&self) -> Option<Rc<ActiveConfiguration<P>>> {
        self.active.borrow().clone()
    }

    /// Returns whether there is an active configuration.
    pub fn is_known(&self) -> bool {
        self.active.borrow().is_some()
    }

    /// Returns the active version; 0 without one.
    pub fn version(&self) -> u64 {
        let active = self.active.borrow();
        let active = active.as_ref();
        active.map_or(0, |active| active.configuration.version)
    }

    /// Returns the active configuration as stored.
    pub(crate) fn stored(&self) -> Option<Rc<StoredConfiguration>> {
        self.stored.borrow().clone()
    }

    /// Returns the revision of the active configuration; 0 without one.
    pub(crate) fn revision(&self) -> Revision {
        let stored = self.stored.borrow();
        stored.as_ref().map_or(0, |stored| stored.revision)
    }

    /// Returns a future that completes when another configuration becomes active.
    pub(crate) fn changed(&self) -> Notified<'_> {
        self.replaced.notified()
    }

    fn store(&self, stored: StoredConfiguration) {
        *self.stored.borrow_mut() = Some(Rc::new(stored));
        self.replaced.notify_waiters();
    }

    /// Returns the time since the store last confirmed the configuration.
    pub fn age(&self, now: Instant) -> Duration {
        now.since(self.confirmed_at.get())
    }

    /// Activates a configuration if it is newer than the active one; returns whether it is.
    fn activate(&self, configuration: Configuration, routes: P::Routes) -> bool {
        if self.is_known() && self.version() >= configuration.version {
            return false;
        }
        let active = ActiveConfiguration {
            configuration,
            routes,
        };
        *self.active.borrow_mut() = Some(Rc::new(active));
        true
    }
}

impl<P: Platform> Node<P> {
    /// Returns whether the active configuration is recent enough to answer requests.
    ///
    /// It may be outdated if the store has not confirmed it within the time that a change
    /// may take to be in force. If the store does not answer this node at all, it may be
    /// down for all nodes, so that there are no changes; but it may also be unreachable
    /// from this node only, so the time is extended by a limited amount.
    pub fn is_current(&self) -> bool {
        let limit = if self.has_store_contact() {
            self.settings.apply_limit
        } else {
            self.settings.apply_limit + self.settings.stretch_limit
        };
        // With a separate revocation limit, a key that may have been revoked is not
        // accepted for longer, even while the store is down.
        let revoke_limit = self.settings.revoke_limit;
        let limit = revoke_limit.map_or(limit, |revoke_limit| limit.min(revoke_limit));
        self.configuration.age(clock::now()) <= limit
    }

    fn is_confirmed(&self) -> bool {
        self.configuration.age(clock::now()) <= self.settings.apply_limit
    }

    /// Returns the configuration with which requests may be answered; waits a short time
    /// for a confirmation if that is overdue.
    pub async fn current_configuration(&self) -> Option<Rc<ActiveConfiguration<P>>> {
        let confirmed = self.configuration.confirmed.notified();
        if !self.is_current() {
            // Whether it was confirmed is checked below.
            let _ = tokio::time::timeout(CONFIRMATION_TIMEOUT.into(), confirmed).await;
        }
        let active = self.configuration.active();
        active.filter(|_| self.is_current())
    }

    /// Updates the metrics of the active configuration's version and age.
    pub(crate) fn update_configuration_metrics(&self) {
        let view = &self.configuration;
        if view.is_known() {
            let age = view.age(clock::now());
            self.metrics.set_configuration(view.version(), age);
        }
    }

    /// Records that the store had no newer configuration at `as_of`.
    fn record_confirmation(&self, as_of: Instant) {
        let view = &self.configuration;
        view.confirmed_at.set(view.confirmed_at.get().max(as_of));
        if !self.is_confirmed() {
            return;
        }
        if view.is_outdated.replace(false) {
            info!(self.log, "configuration confirmed again"; "version" => view.version());
        }
        view.confirmed.notify_waiters();
    }

    /// Logs that the confirmation is overdue, unless that was logged already.
    fn log_if_outdated(&self) {
        let view = &self.configuration;
        if self.is_confirmed() || view.is_outdated.replace(true) {
            return;
        }
        let age = view.age(clock::now());
        warn!(self.log, "configuration not confirmed";
            "version" => view.version(), "age_ms" => age.as_ms());
    }

    /// Parses a stored configuration and activates it if it is newer.
    fn apply_configuration_item(&self, item: &Item) -> Result<(), CallError> {
        let value = item.bytes().map_err(|error| CallError::Malformed {
            field: item.key.clone(),
            reason: error.to_string(),
        })?;
        let (configuration, routes) = self.platform.parse_configuration(value)?;
        let before = self.configuration.version();
        let version = configuration.version;
        if !self.configuration.activate(configuration.clone(), routes) {
            return Ok(());
        }
        self.configuration.store(StoredConfiguration {
            revision: item.revision,
            value: value.to_vec(),
        });
        info!(self.log, "configuration in force"; "version" => version, "before" => before);
        if let Some(term) = self.term() {
            term.configure(configuration);
        }
        self.cell_changed.notify_waiters();
        Ok(())
    }

    /// Handles an update of the followed configuration, current as of `as_of`.
    fn handle_configuration_update(&self, update: Update, as_of: Instant) {
        let items = match update {
            Update::Snapshot(items) => items,
            Update::Changes(changes) => changes.into_iter().filter_map(put_item).collect(),
            Update::Unchanged => Vec::new(),
            Update::Failed(error) => {
                warn!(self.log, "store call failed";
                    "what" => "configuration", "error" => error.to_string());
                return self.log_if_outdated();
            }
        };
        self.record_store_contact();
        self.apply_configuration_items(&items, as_of);
    }

    /// Applies the configuration among `items`, if any, and records that the store had no
    /// newer one at `as_of`.
    pub(crate) fn apply_configuration_items(&self, items: &[Item], as_of: Instant) {
        let key = self.platform.configuration_key();
        for item in items.iter().filter(|item| item.key == key) {
            if let Err(error) = self.apply_configuration_item(item) {
                // The last valid configuration stays active.
                warn!(self.log, "configuration refused"; "error" => error.to_string());
            }
        }
        self.record_confirmation(as_of);
    }
}

fn put_item(change: WatchedChange) -> Option<Item> {
    match change {
        WatchedChange::Put(item) => Some(item),
        WatchedChange::Gone { .. } => None,
    }
}

/// Keeps the configuration up to date while the node runs: from another node if there is one
/// to fetch it from, otherwise from the store.
pub(crate) async fn follow_configuration<P: Platform>(node: Rc<Node<P>>) {
    loop {
        match configuration_sharing::choose_source(&node) {
            Some(source) if configuration_sharing::fetch(&node, &source).await => {}
            _ => follow_stored(&node).await,
        }
    }
}

/// Follows the configuration in the store until it can be fetched from another node.
async fn follow_stored<P: Platform>(node: &Rc<Node<P>>) {
    let apply_limit_ms = node.settings.apply_limit.as_ms();
    let policy = FollowPolicy {
        wait: Duration::from_ms(apply_limit_ms / CONFIRMATIONS_COUNT),
        // An answered watch misses no change.
        reread_after: None,
        max_pause: Duration::ZERO,
        confirms_changes: true,
        rereads_after_failure: true,
    };
    let key = node.platform.configuration_key();
    let store = node.store.clone();
    let from = node.configuration.revision();
    let from = (from > 0).then_some(from);
    follow(store, key, policy, from, |update, as_of| {
        // After changes the store must first confirm that they are the newest.
        let is_answered = !matches!(update, Update::Changes(_));
        node.handle_configuration_update(update, as_of);
        if is_answered && configuration_sharing::choose_source(node).is_some() {
            Flow::Stop
        } else {
            Flow::Continue
        }
    })
    .await;
}
