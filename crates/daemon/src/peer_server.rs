//! The RPC endpoint for other daemons.

use crate::engine::EngineHandle;
use jsonrpsee::server::{RpcModule, Server, ServerConfig, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use ospreywing_node::{Answer, Event};
use ospreywing_types::peer::{self, CloseEpoch, Ping, Query, Submit, TakeKey};
use std::net::SocketAddr;

/// Each other daemon keeps one connection open; the rest allows for reconnections.
const CONNECTIONS_LIMIT: u32 = 64;
const MESSAGE_LIMIT_BYTES: u32 = 2 * 1024 * 1024;

/// The JSON-RPC error code for a stopping daemon.
const CODE_STOPPING: i32 = -32000;

fn stopping_error() -> ErrorObjectOwned {
    ErrorObjectOwned::owned(CODE_STOPPING, "the daemon is stopping", None::<()>)
}

/// Starts the endpoint and returns its handle and the address that it listens on.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn start(
    addr: SocketAddr,
    engine: EngineHandle,
) -> Result<(ServerHandle, SocketAddr), std::io::Error> {
    let config = ServerConfig::builder()
        .max_connections(CONNECTIONS_LIMIT)
        .max_request_body_size(MESSAGE_LIMIT_BYTES)
        .max_response_body_size(MESSAGE_LIMIT_BYTES)
        .ws_only()
        .set_tcp_no_delay(true)
        .build();
    let server = Server::builder().set_config(config).build(addr).await?;
    let addr = server.local_addr()?;
    Ok((server.start(module(engine)), addr))
}

macro_rules! method {
    ($module:expr, $name:expr, $message:ty, |$token:ident, $received:ident| $event:expr,
     $answer:path) => {
        let registered = $module.register_async_method($name, |params, engine, _| async move {
            let $received: $message = params.one()?;
            let answer = engine.call(|$token| $event).await;
            match answer {
                Ok($answer(reply)) => Ok::<_, ErrorObjectOwned>(reply),
                Ok(_) | Err(_) => Err(stopping_error()),
            }
        });
        // Registration fails only for a duplicate name; each name is registered once.
        debug_assert!(registered.is_ok());
    };
}

fn module(engine: EngineHandle) -> RpcModule<EngineHandle> {
    let mut module = RpcModule::new(engine);
    method!(
        module,
        peer::PING,
        Ping,
        |token, ping| Event::Pinged { token, ping },
        Answer::Pong
    );
    method!(
        module,
        peer::SUBMIT,
        Submit,
        |token, submit| Event::Submit {
            token,
            submit,
            is_forwarded: true
        },
        Answer::Submit
    );
    method!(
        module,
        peer::CANCEL,
        Query,
        |token, query| Event::Cancel {
            token,
            query,
            is_forwarded: true
        },
        Answer::Submit
    );
    method!(
        module,
        peer::QUERY,
        Query,
        |token, query| Event::Query {
            token,
            query,
            is_forwarded: true
        },
        Answer::Query
    );
    method!(
        module,
        peer::TAKE_KEY,
        TakeKey,
        |token, claim| Event::TakeKey { token, claim },
        Answer::TakeKey
    );
    method!(
        module,
        peer::CLOSE_EPOCH,
        CloseEpoch,
        |token, message| Event::CloseEpoch {
            token,
            shard: message.shard,
            epoch: message.epoch,
            incarnation: message.incarnation,
        },
        Answer::CloseEpoch
    );
    module
}
