//! RPC calls to other daemons, over one WebSocket to each.

use crate::clock;
use crate::engine::EngineHandle;
use jsonrpsee::core::client::{ClientT, Error as RpcError};
use jsonrpsee::core::traits::ToRpcParams;
use jsonrpsee::rpc_params;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use ospreywing_node::{Answer, Event};
use ospreywing_routing::Request;
use ospreywing_types::peer::{
    self, CloseEpoch, CloseEpochReply, Ping, Pong, Query, QueryReply, Submit, SubmitReply, TakeKey,
    TakeKeyReply,
};
use ospreywing_types::DaemonIdentity;
use serde::de::DeserializeOwned;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
const PING_TIMEOUT: Duration = Duration::from_millis(1500);
const CALL_TIMEOUT: Duration = Duration::from_millis(4000);
/// The retry delay returned to callers if the owner of a shard can't be reached.
const OWNER_UNREACHABLE_RETRY_AFTER_MS: u64 = 1000;
/// Number of consecutive refused connections that proves that a process has ended.
const REFUSALS_TO_PROVE_EXIT: u32 = 2;

/// The reason why a call to a peer failed.
#[derive(Debug)]
enum CallError {
    /// The connection was refused: no process listens on the address.
    Refused,
    /// The call had no effect: it was not sent, or the peer returned an error.
    NotSent,
    /// The peer may have received the call.
    Unconfirmed,
}

/// The connection to one incarnation of a daemon.
#[derive(Default)]
struct Link {
    client: Option<Arc<WsClient>>,
    refusals_count: u32,
}

/// Sends calls to other daemons.
#[derive(Clone)]
pub struct PeerClients {
    own_identity: DaemonIdentity,
    engine: EngineHandle,
    links: Arc<Mutex<HashMap<u64, Link>>>,
}

impl PeerClients {
    /// Creates the client; results are sent to `engine`.
    pub fn new(own_identity: DaemonIdentity, engine: EngineHandle) -> Self {
        Self {
            own_identity,
            engine,
            links: Arc::new(Mutex::new(HashMap::new())),
        }
    }

    /// Pings a daemon.
    pub fn ping(&self, to: DaemonIdentity, table_digest: u64) {
        let this = self.clone();
        let ping = Ping {
            from: self.own_identity.clone(),
            table_digest,
        };
        tokio::spawn(async move {
            let asked_at = clock::now();
            let pong: Result<Pong, CallError> = this
                .call(&to, peer::PING, rpc_params![ping], PING_TIMEOUT)
                .await;
            match pong {
                Ok(pong) if pong.from.incarnation == to.incarnation => {
                    this.engine
                        .send_event(Event::Ponged { asked_at, pong })
                        .await;
                }
                // Another process listens on the address.
                Ok(_) => this.on_process_gone(&to).await,
                Err(CallError::Refused) => this.on_refused(&to).await,
                Err(CallError::NotSent | CallError::Unconfirmed) => {}
            }
        });
    }

    async fn on_refused(&self, to: &DaemonIdentity) {
        if self.record_refusal(to) {
            self.on_process_gone(to).await;
        } else {
            let incarnation = to.incarnation;
            self.engine
                .send_event(Event::PeerConnectionRefused { incarnation })
                .await;
        }
    }

    async fn on_process_gone(&self, to: &DaemonIdentity) {
        let incarnation = to.incarnation;
        self.drop_client(incarnation);
        self.engine
            .send_event(Event::ProcessGone { incarnation })
            .await;
    }

    /// Requests that the former owner of a shard closes its epoch.
    pub fn close_epoch(&self, shard: u32, epoch: u64, owner: DaemonIdentity) {
        let this = self.clone();
        tokio::spawn(async move {
            let message = CloseEpoch {
                shard,
                epoch,
                incarnation: owner.incarnation,
            };
            let params = rpc_params![message];
            let reply: Result<CloseEpochReply, CallError> = this
                .call(&owner, peer::CLOSE_EPOCH, params, PING_TIMEOUT)
                .await;
            let reply = match reply {
                Ok(reply) => reply,
                Err(CallError::Refused) if this.record_refusal(&owner) => {
                    CloseEpochReply::OtherIncarnation
                }
                Err(_) => return,
            };
            this.engine
                .send_event(Event::CloseEpochAnswered {
                    shard,
                    epoch,
                    reply,
                })
                .await;
        });
    }

    /// Records a refused connection and returns whether the refusals prove that the process has
    /// ended.
    fn record_refusal(&self, owner: &DaemonIdentity) -> bool {
        let mut links = self.links.lock().unwrap_or_else(|e| e.into_inner());
        let link = links.entry(owner.incarnation).or_default();
        link.refusals_count += 1;
        link.refusals_count >= REFUSALS_TO_PROVE_EXIT
    }

    /// Forwards a task to the owner of its shard.
    pub fn submit(&self, to: DaemonIdentity, token: u64, submit: Submit) {
        let this = self.clone();
        tokio::spawn(async move {
            let params = rpc_params![submit];
            let reply = this.call(&to, peer::SUBMIT, params, CALL_TIMEOUT).await;
            let reply = submit_reply_from(reply);
            this.engine
                .send_event(Event::ForwardAnswered { token, reply })
                .await;
        });
    }

    /// Forwards a cancellation to the owner of the task's shard.
    pub fn cancel(&self, to: DaemonIdentity, token: u64, query: Query) {
        let this = self.clone();
        tokio::spawn(async move {
            let params = rpc_params![query];
            let reply = this.call(&to, peer::CANCEL, params, CALL_TIMEOUT).await;
            let reply = submit_reply_from(reply);
            this.engine
                .send_event(Event::ForwardAnswered { token, reply })
                .await;
        });
    }

    /// Forwards a query to the owner of the task's shard.
    pub fn query(&self, to: DaemonIdentity, query: Query, reply: oneshot::Sender<Answer>) {
        let this = self.clone();
        tokio::spawn(async move {
            let params = rpc_params![query];
            let answer = this.call(&to, peer::QUERY, params, CALL_TIMEOUT).await;
            let answer = answer.unwrap_or(QueryReply::NotOwner);
            let _ = reply.send(Answer::Query(answer));
        });
    }

    /// Claims a request's key from the owner of its shard.
    ///
    /// A claim without a reply counts as refused. The owner may have marked the key as used,
    /// but only this daemon could have used it, and it sends no request.
    pub fn take_key(&self, to: DaemonIdentity, request: Request, claim: TakeKey) {
        let this = self.clone();
        tokio::spawn(async move {
            let params = rpc_params![claim];
            let reply = this.call(&to, peer::TAKE_KEY, params, CALL_TIMEOUT).await;
            let reply = reply.unwrap_or(TakeKeyReply::Refused {
                retry_after_ms: OWNER_UNREACHABLE_RETRY_AFTER_MS,
            });
            this.engine
                .send_event(Event::KeyAnswered { request, reply })
                .await;
        });
    }

    async fn call<T: DeserializeOwned>(
        &self,
        to: &DaemonIdentity,
        method: &str,
        params: impl ToRpcParams + Send,
        limit: Duration,
    ) -> Result<T, CallError> {
        let client = self.client(to).await?;
        let reply = tokio::time::timeout(limit, client.request(method, params)).await;
        match reply {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(RpcError::Call(_))) => Err(CallError::NotSent),
            Ok(Err(_)) | Err(_) => {
                self.drop_client(to.incarnation);
                Err(CallError::Unconfirmed)
            }
        }
    }

    async fn client(&self, to: &DaemonIdentity) -> Result<Arc<WsClient>, CallError> {
        if let Some(client) = self.open_client(to.incarnation) {
            return Ok(client);
        }
        let client = connect(&to.rpc_addr).await?;
        let client = Arc::new(client);
        let mut links = self.links.lock().unwrap_or_else(|e| e.into_inner());
        let link = links.entry(to.incarnation).or_default();
        link.refusals_count = 0;
        link.client = Some(Arc::clone(&client));
        Ok(client)
    }

    fn open_client(&self, incarnation: u64) -> Option<Arc<WsClient>> {
        let links = self.links.lock().unwrap_or_else(|e| e.into_inner());
        let client = links.get(&incarnation)?.client.as_ref()?;
        client.is_connected().then(|| Arc::clone(client))
    }

    fn drop_client(&self, incarnation: u64) {
        let mut links = self.links.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(link) = links.get_mut(&incarnation) {
            link.client = None;
        }
    }
}

async fn connect(addr: &str) -> Result<WsClient, CallError> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    let stream = match stream {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return Err(CallError::Refused);
        }
        Ok(Err(_)) | Err(_) => return Err(CallError::NotSent),
    };
    let _ = stream.set_nodelay(true);
    let built = WsClientBuilder::new().build_with_stream(format!("ws://{addr}"), stream);
    match tokio::time::timeout(CONNECT_TIMEOUT, built).await {
        Ok(Ok(client)) => Ok(client),
        Ok(Err(_)) | Err(_) => Err(CallError::NotSent),
    }
}

fn submit_reply_from(reply: Result<SubmitReply, CallError>) -> SubmitReply {
    match reply {
        Ok(reply) => reply,
        Err(CallError::Unconfirmed) => SubmitReply::Unknown,
        Err(CallError::Refused | CallError::NotSent) => SubmitReply::Refused {
            reason: "the owner of the key's shard can't be reached".to_owned(),
            retry_after_ms: Some(OWNER_UNREACHABLE_RETRY_AFTER_MS),
        },
    }
}
