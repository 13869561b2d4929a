//! The operators' configuration: which one is in force, and whether requests
//! may be answered by it.

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

/// The watches that answer within the time in which a change must be in force:
/// one may fail.
const CONFIRMATIONS_COUNT: u64 = 2;
/// How long a request waits for the configuration to be confirmed: a call
/// that fails, and the next.
const CONFIRMATION_WAIT: Duration = Duration::from_ms(700);

/// A configuration that is in force.
pub struct ActiveConfiguration<P: Platform> {
    /// The product's part.
    pub configuration: Configuration,
    /// How requests find their queues.
    pub routes: P::Routes,
}

/// A configuration as it stands in the store.
pub(crate) struct StoredConfiguration {
    /// The revision of its last change.
    pub(crate) revision: Revision,
    /// Its value.
    pub(crate) value: Vec<u8>,
}

/// What a node knows of the operators' configuration.
pub struct ConfigurationView<P: Platform> {
    active: RefCell<Option<Rc<ActiveConfiguration<P>>>>,
    /// The one that is in force, as other nodes are told of it.
    stored: RefCell<Option<Rc<StoredConfiguration>>>,
    /// Told whenever another one is in force.
    replaced: Notify,
    /// The nodes that are not asked for it for a while.
    pub(crate) avoided_sources: RefCell<AvoidedNodes>,
    /// When the store last confirmed that there is no newer one.
    confirmed_at: Cell<Instant>,
    /// Told whenever it does.
    confirmed: Notify,
    /// Whether the lack of a confirmation was logged.
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
    /// Returns the configuration that is in force.
    pub fn active(&self) -> Option<Rc<ActiveConfiguration<P>>> {
        self.active.borrow().clone()
    }

    /// Returns whether there is one at all.
    pub fn is_known(&self) -> bool {
        self.active.borrow().is_some()
    }

    /// Returns the version that is in force, 0 without one.
    pub fn version(&self) -> u64 {
        let active = self.active.borrow();
        let active = active.as_ref();
        active.map_or(0, |active| active.configuration.version)
    }

    /// Returns the one that is in force as it stands in the store.
    pub(crate) fn stored(&self) -> Option<Rc<StoredConfiguration>> {
        self.stored.borrow().clone()
    }

    /// Returns the revision of the one that is in force, 0 without one.
    pub(crate) fn revision(&self) -> Revision {
        let stored = self.stored.borrow();
        stored.as_ref().map_or(0, |stored| stored.revision)
    }

    /// Returns once another one is in force.
    pub(crate) fn changed(&self) -> Notified<'_> {
        self.replaced.notified()
    }

    fn store(&self, stored: StoredConfiguration) {
        *self.stored.borrow_mut() = Some(Rc::new(stored));
        self.replaced.notify_waiters();
    }

    /// Returns the time since the store confirmed it.
    pub fn age(&self, now: Instant) -> Duration {
        now.since(self.confirmed_at.get())
    }

    /// Puts a configuration in force, unless it is no newer; returns whether
    /// it is.
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
    /// Returns whether requests may be answered by the configuration at hand.
    ///
    /// It may be outdated where the store has not confirmed it for as long as
    /// a change may take to be in force. Where the store answers this node
    /// nothing at all, it may be down for all, so that there are no changes; it
    /// may also turn this node away alone, so that is borne for a while only.
    pub fn is_current(&self) -> bool {
        let limit = if self.has_store_contact() {
            self.settings.apply_limit
        } else {
            self.settings.apply_limit + self.settings.stretch_limit
        };
        // Where the operators want it so, a key that may have been taken away is not
        // taken even while the store is down.
        let revoke_limit = self.settings.revoke_limit;
        let limit = revoke_limit.map_or(limit, |revoke_limit| limit.min(revoke_limit));
        self.configuration.age(clock::now()) <= limit
    }

    fn is_confirmed(&self) -> bool {
        self.configuration.age(clock::now()) <= self.settings.apply_limit
    }

    /// Returns the configuration by which requests may be answered; waits a
    /// while for its confirmation where that is missing.
    pub async fn current_configuration(&self) -> Option<Rc<ActiveConfiguration<P>>> {
        let confirmed = self.configuration.confirmed.notified();
        if !self.is_current() {
            // Whether it came is looked at below.
            let _ = tokio::time::timeout(CONFIRMATION_WAIT.into(), confirmed).await;
        }
        let active = self.configuration.active();
        active.filter(|_| self.is_current())
    }

    /// Tells the metrics which configuration is in force, and how old it is.
    pub(crate) fn update_configuration_metrics(&self) {
        let view = &self.configuration;
        if view.is_known() {
            let age = view.age(clock::now());
            self.metrics.set_configuration(view.version(), age);
        }
    }

    /// Notes that the store knew of no newer configuration at an instant.
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

    /// Notes that the store was asked for the configuration in vain.
    fn log_if_outdated(&self) {
        let view = &self.configuration;
        if self.is_confirmed() || view.is_outdated.replace(true) {
            return;
        }
        let age = view.age(clock::now());
        warn!(self.log, "configuration not confirmed";
            "version" => view.version(), "age_ms" => age.as_ms());
    }

    /// Takes in what the store holds.
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

    /// Takes in what the store answered, and an instant from which on it said so.
    fn handle_configuration_update(&self, update: Update, as_of: Instant) {
        let items = match update {
            Update::Snapshot(items) => items,
            Update::Changes(changes) => changes.into_iter().filter_map(written).collect(),
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

    /// Takes in what was told, and an instant at which the store knew of nothing newer.
    pub(crate) fn apply_configuration_items(&self, items: &[Item], as_of: Instant) {
        let key = self.platform.configuration_key();
        for item in items.iter().filter(|item| item.key == key) {
            if let Err(error) = self.apply_configuration_item(item) {
                // The last valid one stays in force: it is the newest there is.
                warn!(self.log, "configuration refused"; "error" => error.to_string());
            }
        }
        self.record_confirmation(as_of);
    }
}

fn written(change: WatchedChange) -> Option<Item> {
    match change {
        WatchedChange::Put(item) => Some(item),
        WatchedChange::Gone { .. } => None,
    }
}

/// Keeps the configuration current for as long as the node lives: by what another node hands
/// on, where there is one to ask, and by the store otherwise.
pub(crate) async fn follow_configuration<P: Platform>(node: Rc<Node<P>>) {
    loop {
        match configuration_sharing::choose_source(&node) {
            Some(source) if configuration_sharing::fetch(&node, &source).await => {}
            _ => follow_stored(&node).await,
        }
    }
}

/// Follows the store until another node may be asked.
async fn follow_stored<P: Platform>(node: &Rc<Node<P>>) {
    let apply_limit_ms = node.settings.apply_limit.as_ms();
    let policy = FollowPolicy {
        wait: Duration::from_ms(apply_limit_ms / CONFIRMATIONS_COUNT),
        // A watch that is answered has missed nothing.
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
        // Whether changes are the newest is asked right after them.
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
