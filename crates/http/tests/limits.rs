//! Tests that the server enforces its limits, whatever its clients do.

// Test helpers unwrap, like the tests themselves.
#![allow(clippy::unwrap_used)]

use http::connections::ConnectionPriority;
use http::server::{serve, Limits, Request, Response};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{SocketAddr, TcpListener, TcpStream};
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// Timeout that never expires during a test.
const LONG_TIMEOUT: Duration = Duration::from_secs(600);

/// Path whose responses have the priority of workers.
const WORKER_PATH: &str = "/work";

/// Path whose responses have the priority of users.
const USER_PATH: &str = "/";

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 65_536;

/// Memory limit for partially received requests, in bytes. No test reaches it.
const AMPLE_BYTES: usize = 1 << 20;

/// Runs a test against a server with these limits. The test gets the server's address and the
/// number of requests that were passed to the handler.
fn with_server<F: Future<Output = ()>>(
    max_connections: usize,
    max_buffered_bytes: usize,
    test: impl FnOnce(SocketAddr, Rc<Cell<u32>>) -> F,
) {
    let executor = Rc::new(smol::LocalExecutor::new());
    let served = Rc::new(Cell::new(0));
    let count = served.clone();
    smol::block_on(executor.run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let limits = Limits {
            max_connections,
            max_body_bytes: MAX_BODY_BYTES,
            max_buffered_bytes,
            request_timeout: LONG_TIMEOUT,
            idle_timeout: LONG_TIMEOUT,
        };
        let handler = Rc::new(move |request: Request| {
            count.set(count.get() + 1);
            async move {
                let priority = match request.path.as_str() {
                    WORKER_PATH => ConnectionPriority::Worker,
                    _ => ConnectionPriority::User,
                };
                Response::new(200, request.body).with_priority(priority)
            }
        });
        let server = executor.spawn(serve(executor.clone(), listener, limits, handler));
        test(addr, served).await;
        drop(server);
    }));
}

async fn connect(addr: SocketAddr) -> TcpStream {
    TcpStream::connect(addr).await.unwrap()
}

/// Sends a request and returns the response, or `None` if the connection ends instead.
async fn get(stream: &mut TcpStream, path: &str) -> Option<String> {
    let request = format!("GET {path} HTTP/1.1\r\n\r\n");
    stream.write_all(request.as_bytes()).await.ok()?;
    read_response(stream).await
}

async fn read_response(stream: &mut TcpStream) -> Option<String> {
    let mut buffer = [0u8; 1024];
    match stream.read(&mut buffer).await {
        Ok(count) if count > 0 => Some(String::from_utf8_lossy(&buffer[..count]).into_owned()),
        _ => None,
    }
}

/// Returns whether the response to a request announces that the connection is closed.
async fn response_closes(stream: &mut TcpStream, path: &str) -> bool {
    let response = get(stream, path).await.unwrap();
    response.contains("Connection: close")
}

async fn is_closed(stream: &mut TcpStream) -> bool {
    !matches!(stream.read(&mut [0u8; 64]).await, Ok(count) if count > 0)
}

/// When a rack is back after a power failure, its old connections look idle forever. A full server
/// that rejects new connections would lock out these very machines. It has to close idle
/// connections instead: those of users first, then unclassified ones, then those of workers.
#[test]
fn a_full_server_evicts_idle_connections_by_priority() {
    with_server(20, AMPLE_BYTES, |addr, _| async move {
        let mut connections = Vec::new();
        for path in [[WORKER_PATH; 3], [USER_PATH; 3]].concat() {
            let mut stream = connect(addr).await;
            let response = get(&mut stream, path).await.unwrap();
            assert!(response.starts_with("HTTP/1.1 200"));
            connections.push(stream);
        }
        // Fills the table with connections that have sent no request.
        for _ in 0..14 {
            connections.push(connect(addr).await);
        }
        for victim in [3, 4, 5, 6] {
            connections.push(connect(addr).await);
            assert!(is_closed(&mut connections[victim]).await);
        }
        let newest = connections.len() - 1;
        assert!(
            get(&mut connections[newest], WORKER_PATH).await.is_some(),
            "the newest connection is served"
        );
        assert!(
            get(&mut connections[0], WORKER_PATH).await.is_some(),
            "a worker's connection was kept"
        );
    });
}

#[test]
fn connections_close_by_priority_near_the_limit() {
    with_server(20, AMPLE_BYTES, |addr, _| async move {
        let mut connections = Vec::new();
        for _ in 0..18 {
            let mut stream = connect(addr).await;
            assert!(!response_closes(&mut stream, WORKER_PATH).await);
            connections.push(stream);
        }
        let mut user = connect(addr).await;
        assert!(response_closes(&mut user, USER_PATH).await);
        assert!(is_closed(&mut user).await);
        assert!(!response_closes(&mut connections[0], WORKER_PATH).await);
        // Above their own threshold, connections of workers are closed as well.
        let mut last = Vec::new();
        for _ in 0..2 {
            last.push(connect(addr).await);
        }
        assert!(response_closes(&mut last[1], WORKER_PATH).await);
        assert!(is_closed(&mut last[1]).await);
    });
}

/// Together, partially received bodies never take more memory than the limit, whatever lengths they
/// declare.
#[test]
fn partial_bodies_share_bounded_memory() {
    const BODY_BYTES: usize = 60_000;
    const BEGINNING: &str = "beginning";
    with_server(20, 100_000, |addr, served| async move {
        let partial = format!("POST / HTTP/1.1\r\nContent-Length: {BODY_BYTES}\r\n\r\n{BEGINNING}");
        let rest = vec![b'x'; BODY_BYTES - BEGINNING.len()];
        let mut first = connect(addr).await;
        first.write_all(partial.as_bytes()).await.unwrap();
        let mut without_body = connect(addr).await;
        assert!(get(&mut without_body, USER_PATH).await.is_some());
        let mut second = connect(addr).await;
        second.write_all(partial.as_bytes()).await.unwrap();
        let rejection = read_response(&mut second).await.unwrap();
        assert!(
            rejection.starts_with("HTTP/1.1 503") && rejection.contains("Retry-After"),
            "{rejection}"
        );
        // The memory is released once the first body is complete.
        first.write_all(&rest).await.unwrap();
        assert!(read_response(&mut first).await.is_some());
        let mut third = connect(addr).await;
        third.write_all(partial.as_bytes()).await.unwrap();
        third.write_all(&rest).await.unwrap();
        let response = read_response(&mut third).await.unwrap();
        assert!(response.starts_with("HTTP/1.1 200"));
        assert_eq!(served.get(), 3);
    });
}
