//! Handles requests for the owner of a shard, which may be this or another daemon.

use crate::action::{Action, Answer, Forward};
use crate::event::Event;
use crate::node::{Node, Waiter};
use crate::shards::NO_OWNER_RETRY_AFTER;
use ospreywing_routing as routing;
use ospreywing_shard as shard;
use ospreywing_types::peer::{Query, QueryReply, Submit, TakeKey, TakeKeyReply};
use ospreywing_types::{stable_hash, DaemonIdentity, Instant, Key};

/// Where a request is handled.
enum Route {
    Local,
    Remote(DaemonIdentity),
    NoOwner,
}

impl Node {
    pub(crate) fn on_request(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Submit {
                token,
                submit,
                is_forwarded,
            } => self.on_submit(now, token, submit, is_forwarded, actions),
            Event::Cancel {
                token,
                query,
                is_forwarded,
            } => self.on_cancel(now, token, query, is_forwarded, actions),
            Event::Query {
                token,
                query,
                is_forwarded,
            } => self.on_query(token, query, is_forwarded, actions),
            Event::TakeKey { token, claim } => self.on_take_key(now, token, claim, actions),
            Event::ForwardAnswered { token, reply } => {
                let answer = Answer::Submit(reply);
                actions.push(Action::Answer { token, answer });
            }
            Event::KeyAnswered { request, reply } => {
                self.on_key_answered(now, request, &reply, actions);
            }
            _ => {}
        }
    }

    fn route_of(&self, shard: u32, is_forwarded: bool) -> Route {
        if self.shards[shard as usize].owner().is_some() {
            return Route::Local;
        }
        let me = self.membership.me().incarnation;
        match self.owner_of(shard) {
            Some(owner) if owner.incarnation != me && !is_forwarded => Route::Remote(owner),
            _ => Route::NoOwner,
        }
    }

    fn on_submit(
        &mut self,
        now: Instant,
        token: u64,
        submit: Submit,
        is_forwarded: bool,
        actions: &mut Vec<Action>,
    ) {
        let shard = self.shard_of_key(&submit.key);
        match self.route_of(shard, is_forwarded) {
            Route::Local => {
                let event = shard::Event::Submit {
                    token: self.register_waiter(Waiter::External(token)),
                    key: submit.key,
                    row: submit.row,
                    spec: submit.spec,
                };
                self.dispatch_to_owner(now, shard, event, actions);
            }
            Route::Remote(to) => {
                let message = Forward::Submit { token, submit };
                actions.push(Action::Forward { to, message });
            }
            Route::NoOwner => {
                let answer = Answer::Submit(Self::no_owner(shard));
                actions.push(Action::Answer { token, answer });
            }
        }
    }

    fn on_cancel(
        &mut self,
        now: Instant,
        token: u64,
        query: Query,
        is_forwarded: bool,
        actions: &mut Vec<Action>,
    ) {
        let shard = self.shard_of_key(&query.key);
        match self.route_of(shard, is_forwarded) {
            Route::Local => {
                let event = shard::Event::Cancel {
                    token: self.register_waiter(Waiter::External(token)),
                    key: query.key,
                };
                self.dispatch_to_owner(now, shard, event, actions);
            }
            Route::Remote(to) => {
                let message = Forward::Cancel { token, query };
                actions.push(Action::Forward { to, message });
            }
            Route::NoOwner => {
                let answer = Answer::Submit(Self::no_owner(shard));
                actions.push(Action::Answer { token, answer });
            }
        }
    }

    fn on_query(
        &mut self,
        token: u64,
        query: Query,
        is_forwarded: bool,
        actions: &mut Vec<Action>,
    ) {
        let shard = self.shard_of_key(&query.key);
        let reply = match self.route_of(shard, is_forwarded) {
            Route::Local => {
                let owner = self.shards[shard as usize].owner();
                let status = owner.and_then(|owner| owner.status(&query.key));
                status.map_or(QueryReply::Absent, QueryReply::Found)
            }
            Route::Remote(to) => {
                let message = Forward::Query { token, query };
                actions.push(Action::Forward { to, message });
                return;
            }
            Route::NoOwner => QueryReply::NotOwner,
        };
        let answer = Answer::Query(reply);
        actions.push(Action::Answer { token, answer });
    }

    /// Handles a peer's claim on a key of a shard owned by this node.
    fn on_take_key(&mut self, now: Instant, token: u64, claim: TakeKey, actions: &mut Vec<Action>) {
        let shard = self.shard_of_key(&claim.key);
        if self.shards[shard as usize].owner().is_none() {
            let answer = Answer::TakeKey(no_owner_of_key());
            actions.push(Action::Answer { token, answer });
            return;
        }
        let event = shard::Event::TakeKey {
            token: self.register_waiter(Waiter::External(token)),
            key: claim.key,
            nonce: claim.nonce,
        };
        self.dispatch_to_owner(now, shard, event, actions);
    }

    /// Claims a key for this node's router.
    pub(crate) fn take_key(
        &mut self,
        now: Instant,
        request: routing::Request,
        key: Key,
        actions: &mut Vec<Action>,
    ) {
        let shard = self.shard_of_key(&key);
        let nonce = self.nonce();
        match self.route_of(shard, false) {
            Route::Local => {
                let event = shard::Event::TakeKey {
                    token: self.register_waiter(Waiter::Router(request)),
                    key,
                    nonce,
                };
                self.dispatch_to_owner(now, shard, event, actions);
            }
            Route::Remote(to) => {
                let claim = TakeKey { key, nonce };
                let message = Forward::TakeKey { request, claim };
                actions.push(Action::Forward { to, message });
            }
            Route::NoOwner => self.on_key_answered(now, request, &no_owner_of_key(), actions),
        }
    }

    /// Returns a number to tell this claim from all other claims of any daemon.
    fn nonce(&mut self) -> u64 {
        self.next_nonce += 1;
        let incarnation = self.membership.me().incarnation;
        stable_hash(&format!("{incarnation}/{}", self.next_nonce))
    }

    fn register_waiter(&mut self, waiter: Waiter) -> shard::Token {
        self.next_token += 1;
        self.waiters.insert(self.next_token, waiter);
        shard::Token(self.next_token)
    }
}

fn no_owner_of_key() -> TakeKeyReply {
    TakeKeyReply::Refused {
        retry_after_ms: NO_OWNER_RETRY_AFTER.as_ms(),
    }
}
