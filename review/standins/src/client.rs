//! A client: one request on a connection of its own.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The host of all routes.
pub const HOST: &str = "jobs.example";
/// How long a client waits for an answer.
const TIMEOUT: Duration = Duration::from_millis(3000);

/// Sends a request; returns the status and the body, or `None` without a complete answer.
pub async fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    tokio::time::timeout(TIMEOUT, exchange(to, method, path, body))
        .await
        .ok()?
}

async fn exchange(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(to).await.ok()?;
    let _ = stream.set_nodelay(true);
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\n\
         Ospreywing-Deadline-Ms: 3000\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.ok()?;
    let text = String::from_utf8_lossy(&answer).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, body.to_owned()))
}
