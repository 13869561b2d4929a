//! Clients that send long bodies and never end them.

use crate::cell::Cell;
use http::Method;
use ospreywing_http::Call;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// More bodies of the largest legal size than a daemon may hold.
const CLIENTS_COUNT: usize = 128;
const BODY_LIMIT_BYTES: usize = 1024 * 1024;
/// The memory of a box for a daemon (docs/CAPACITY.md).
const MEMORY_LIMIT_KB: u64 = 64_000;
const SEND_TIMEOUT: Duration = Duration::from_secs(5);
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Sends a body without its last byte, as far as the daemon reads it.
fn send_unfinished_body(address: &str) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_write_timeout(Some(SEND_TIMEOUT))?;
    let head = format!(
        "POST /v1/tasks HTTP/1.1\r\nhost: daemon\r\ncontent-length: {BODY_LIMIT_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    // The daemon may refuse the body.
    let _ = stream.write_all(&vec![b' '; BODY_LIMIT_BYTES - 1]);
    Ok(stream)
}

/// Returns what the connections to a port of 127.0.0.1 hold unread.
fn unread_bytes(address: &str) -> u64 {
    let (_, port) = address.rsplit_once(':').expect("an address");
    let port: u16 = port.parse().expect("a port");
    let local = format!("0100007F:{port:04X}");
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the kernel lists sockets");
    let connections = table.lines().filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let is_local = fields.next()? == local;
        let (_, unread) = fields.nth(2)?.split_once(':')?;
        is_local.then(|| u64::from_str_radix(unread, 16).ok())?
    });
    connections.sum()
}

#[test]
fn serve_beside_unfinished_bodies() {
    let cell = Cell::new(1);
    let daemon = &cell.daemons[0];
    let clients: Vec<_> = (0..CLIENTS_COUNT)
        .map(|_| {
            let address = daemon.http_addr.clone();
            std::thread::spawn(move || send_unfinished_body(&address))
        })
        .collect();
    let open: Vec<_> = clients
        .into_iter()
        .map(|client| client.join().expect("no client panics"))
        .collect();
    cell.wait_for("all that was sent is read", |_| {
        unread_bytes(&daemon.http_addr) == 0
    });
    let body = r#"{"key":"ordinary","row":"season-plan","spec":{"resources":{"cores_milli":1,"memory_mib":1},"command":"work 1 x"}}"#;
    let call = Call::new(Method::POST, &daemon.http_addr, "/v1/tasks", CALL_TIMEOUT)
        .with_header("content-type", "application/json")
        .with_body(body);
    let answer = cell.call(call).expect("an answer");
    assert_eq!(answer.status, 200, "{:?}", answer.body);
    let peak_kb = daemon.peak_resident_kb();
    println!("{peak_kb} kB at the peak");
    assert!(peak_kb <= MEMORY_LIMIT_KB, "{peak_kb} kB of memory");
    drop(open);
}
