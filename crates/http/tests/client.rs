//! The client against a server of a few lines.

use http::Method;
use ospreywing_http::{Call, HttpClient, HttpError};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::sync::oneshot;

const LIMIT: Duration = Duration::from_millis(200);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Listens at a free port.
fn listen() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    (listener, address)
}

/// Reads a request up to the end of its head.
fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a whole head");
        head.push(byte[0]);
    }
}

#[test]
fn call_answered_while_process_is_late() {
    let (listener, address) = listen();
    let (received, request_received) = oneshot::channel();
    let (late, process_is_late) = mpsc::channel();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        read_head(&mut stream);
        received.send(()).expect("a waiting client");
        process_is_late.recv().expect("a late client");
        stream.write_all(ANSWER).expect("an open connection");
        stream
    });
    let runtime = Builder::new_current_thread().enable_all().build();
    let answer = runtime.expect("a runtime").block_on(async move {
        let client = HttpClient::new(1);
        let call = client.call(Call::new(Method::GET, &address, "/", LIMIT));
        let be_late = async {
            request_received.await.expect("a request");
            late.send(()).expect("a waiting server");
            // Nothing is read meanwhile, and the time limit passes.
            thread::sleep(LIMIT * 2);
        };
        tokio::join!(call, be_late).0
    });
    server.join().expect("a server that ends");
    assert_eq!(answer.expect("the answer that has come").body, "ok");
}

#[test]
fn call_not_answered() {
    let (listener, address) = listen();
    let runtime = Builder::new_current_thread().enable_all().build();
    let answer = runtime.expect("a runtime").block_on(async move {
        let client = HttpClient::new(1);
        let call = Call::new(Method::GET, &address, "/", LIMIT);
        client.call(call).await
    });
    drop(listener);
    assert!(
        matches!(answer, Err(HttpError::TimedOut { .. })),
        "{answer:?}"
    );
}
