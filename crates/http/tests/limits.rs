//! The serving side holds its limits whatever the other sides do.

// The helpers of these tests unwrap as the tests do.
#![allow(clippy::unwrap_used)]

use http::connections::Rank;
use http::server::{serve, Limits, Request, Response};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{SocketAddr, TcpListener, TcpStream};
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// Long enough that no verdict hangs on it.
const NEVER: Duration = Duration::from_secs(600);

/// A server with so many connections and bytes; what is asked of `/work` counts as a worker's.
fn with_server<F: Future<Output = ()>>(
    connections: usize,
    bytes: usize,
    test: impl FnOnce(SocketAddr, Rc<Cell<u32>>) -> F,
) {
    let executor = Rc::new(smol::LocalExecutor::new());
    let served = Rc::new(Cell::new(0));
    let count = served.clone();
    smol::block_on(executor.run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let limits = Limits {
            connections,
            body: 65_536,
            bytes,
            request: NEVER,
            idle: NEVER,
        };
        let handler = Rc::new(move |r: Request| {
            count.set(count.get() + 1);
            async move {
                Response::new(200, r.body).of(if r.path == "/work" {
                    Rank::Worker
                } else {
                    Rank::User
                })
            }
        });
        let server = executor.spawn(serve(executor.clone(), listener, limits, handler));
        test(addr, served).await;
        drop(server);
    }));
}

async fn ask(stream: &mut TcpStream, path: &str) -> Option<String> {
    stream
        .write_all(format!("GET {path} HTTP/1.1\r\n\r\n").as_bytes())
        .await
        .ok()?;
    let mut buf = [0u8; 1024];
    match stream.read(&mut buf).await {
        Ok(n) if n > 0 => Some(String::from_utf8_lossy(&buf[..n]).into_owned()),
        _ => None,
    }
}

async fn is_closed(stream: &mut TcpStream) -> bool {
    !matches!(stream.read(&mut [0u8; 64]).await, Ok(n) if n > 0)
}

/// A rack that lost power comes back: its old connections look idle for ever, and a server that
/// refuses the newest keeps out the very machines that it waits for.
#[test]
fn a_full_server_ends_the_longest_idle_user_then_unasked_then_workers() {
    with_server(20, 1 << 20, |addr, _| async move {
        let mut open = Vec::new();
        for path in [["/work"; 3], ["/"; 3]].concat() {
            let mut s = TcpStream::connect(addr).await.unwrap();
            assert!(ask(&mut s, path).await.unwrap().starts_with("HTTP/1.1 200"));
            open.push(s);
        }
        // Connections that never say anything fill it up.
        for _ in 0..14 {
            open.push(TcpStream::connect(addr).await.unwrap());
        }
        for victim in [3, 4, 5, 6] {
            open.push(TcpStream::connect(addr).await.unwrap());
            assert!(is_closed(&mut open[victim]).await);
        }
        let newest = open.len() - 1;
        assert!(
            ask(&mut open[newest], "/work").await.is_some(),
            "the newest is served"
        );
        assert!(
            ask(&mut open[0], "/work").await.is_some(),
            "a worker's connection was kept"
        );
    });
}

#[test]
fn when_sockets_run_short_answers_end_users_connections_before_workers() {
    with_server(20, 1 << 20, |addr, _| async move {
        let mut open = Vec::new();
        for _ in 0..18 {
            let mut s = TcpStream::connect(addr).await.unwrap();
            assert!(!ask(&mut s, "/work")
                .await
                .unwrap()
                .contains("Connection: close"));
            open.push(s);
        }
        let mut user = TcpStream::connect(addr).await.unwrap();
        assert!(ask(&mut user, "/")
            .await
            .unwrap()
            .contains("Connection: close"));
        assert!(is_closed(&mut user).await);
        assert!(!ask(&mut open[0], "/work")
            .await
            .unwrap()
            .contains("Connection: close"));
        // Above that, workers share what is left.
        let mut all = Vec::new();
        for _ in 0..2 {
            all.push(TcpStream::connect(addr).await.unwrap());
        }
        assert!(ask(&mut all[1], "/work")
            .await
            .unwrap()
            .contains("Connection: close"));
        assert!(is_closed(&mut all[1]).await);
    });
}

/// Bodies that arrive in part take memory, whatever they announce together.
#[test]
fn half_sent_bodies_share_a_bounded_room() {
    with_server(20, 100_000, |addr, served| async move {
        let half = |n: usize| {
            format!("POST / HTTP/1.1\r\nContent-Length: {n}\r\n\r\nbeginning").into_bytes()
        };
        let mut slow = TcpStream::connect(addr).await.unwrap();
        slow.write_all(&half(60_000)).await.unwrap();
        let mut whole = TcpStream::connect(addr).await.unwrap();
        assert!(ask(&mut whole, "/").await.is_some());
        let mut second = TcpStream::connect(addr).await.unwrap();
        second.write_all(&half(60_000)).await.unwrap();
        let mut answer = [0u8; 256];
        let n = second.read(&mut answer).await.unwrap();
        let text = String::from_utf8_lossy(&answer[..n]).into_owned();
        assert!(
            text.starts_with("HTTP/1.1 503") && text.contains("Retry-After"),
            "{text}"
        );
        // The room is free again once the first one is whole.
        slow.write_all(&vec![b'x'; 60_000 - 9]).await.unwrap();
        assert!(slow.read(&mut answer).await.unwrap() > 0);
        let mut third = TcpStream::connect(addr).await.unwrap();
        third.write_all(&half(60_000)).await.unwrap();
        third.write_all(&vec![b'x'; 60_000 - 9]).await.unwrap();
        let n = third.read(&mut answer).await.unwrap();
        assert!(answer[..n].starts_with(b"HTTP/1.1 200"));
        assert_eq!(served.get(), 3);
    });
}
