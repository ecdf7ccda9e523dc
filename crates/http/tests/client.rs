//! Tests the client against every kind of server response that it distinguishes.

// Test helpers unwrap, like the tests themselves.
#![allow(clippy::unwrap_used)]

use http::client::{Client, ConnectFault, ExchangeFault, RequestError, Response};
use http::parse::HeadError;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpListener;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Timeout that never expires during a test.
const LONG_TIMEOUT: Duration = Duration::from_secs(600);

/// Maximum size of a body that the clients of these tests accept, in bytes.
const MAX_BODY_BYTES: usize = 100;

/// Maximum number of idle connections that the clients of these tests keep alive.
const MAX_IDLE: usize = 2;

/// Response that the server sends to each request.
#[derive(Clone, Copy)]
struct ScriptedResponse {
    response: &'static str,
    /// Whether the server closes the connection after the response.
    close: bool,
}

/// Serves connections one after the other with the scripted response, and counts them.
async fn serve(listener: TcpListener, script: ScriptedResponse, connections: Rc<Cell<u32>>) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        connections.set(connections.get() + 1);
        let mut buffer = [0u8; 1024];
        while stream.read(&mut buffer).await.unwrap() > 0 {
            let response = script.response.as_bytes();
            stream.write_all(response).await.unwrap();
            if script.close {
                break;
            }
        }
    }
}

/// Returns the results of two requests to a server, and the number of connections that they used.
fn request_twice(script: ScriptedResponse) -> ([Result<Response, RequestError>; 2], u32) {
    let executor = smol::LocalExecutor::new();
    let connections = Rc::new(Cell::new(0));
    let results = smol::block_on(executor.run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client = Client::new(listener.local_addr().unwrap(), MAX_IDLE, MAX_BODY_BYTES);
        let server = executor.spawn(serve(listener, script, connections.clone()));
        let first = client.request("GET", "/", &[], LONG_TIMEOUT).await;
        let second = client.request("GET", "/", &[], LONG_TIMEOUT).await;
        drop(server);
        [first, second]
    }));
    (results, connections.get())
}

/// Returns the fault that leaves a request without a usable response.
fn exchange_fault(script: ScriptedResponse) -> ExchangeFault {
    let ([first, _], _) = request_twice(script);
    match first {
        Err(RequestError::OutcomeUnknown(error)) => error.cause,
        other => panic!("{other:?}"),
    }
}

#[test]
fn connections_are_kept_alive_unless_closed() {
    let kept = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    let closed = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello";
    let until_end = "HTTP/1.1 200 OK\r\n\r\nhello";
    for (response, close, expected_connections) in
        [(kept, false, 1), (closed, true, 2), (until_end, true, 2)]
    {
        let (results, connections) = request_twice(ScriptedResponse { response, close });
        for result in results {
            let received = result.unwrap();
            assert_eq!(received.status, 200);
            assert_eq!(received.body, b"hello");
        }
        assert_eq!(connections, expected_connections, "{response}");
    }
}

#[test]
fn incomplete_response_has_an_unknown_outcome() {
    let script = |response, close| ScriptedResponse { response, close };
    let partial = script("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel", true);
    assert!(matches!(exchange_fault(partial), ExchangeFault::Closed));
    let garbage = script("\x00\x01garbage\r\n\r\n", false);
    let malformed = exchange_fault(garbage);
    assert!(matches!(malformed, ExchangeFault::Malformed(_)));
    let chunked = script(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        false,
    );
    assert!(matches!(exchange_fault(chunked), ExchangeFault::Chunked));
}

/// The logged errors of requests to the store contain these texts.
#[test]
fn fault_texts_stay_as_logged() {
    let malformed = ExchangeFault::Malformed(HeadError::Malformed);
    let closed = "the server closed the connection before the response was complete";
    let chunked = "the response has a chunked body, which is not supported";
    let timed_out = "the request timed out";
    assert_eq!(ExchangeFault::TimedOut.to_string(), timed_out);
    assert_eq!(ExchangeFault::Closed.to_string(), closed);
    assert_eq!(malformed.to_string(), "malformed response");
    assert_eq!(ExchangeFault::Chunked.to_string(), chunked);
    let connecting = "connecting took too long";
    assert_eq!(ConnectFault::TimedOut.to_string(), connecting);
}

#[test]
fn a_response_beyond_the_limit_is_too_large() {
    let response = "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n";
    let close = false;
    let ([first, _], _) = request_twice(ScriptedResponse { response, close });
    assert!(matches!(first, Err(RequestError::ResponseTooLarge(101))));
}

#[test]
fn refused_connection_means_request_not_sent() {
    let addr: SocketAddr = smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        listener.local_addr().unwrap()
    });
    let client = Client::new(addr, MAX_IDLE, MAX_BODY_BYTES);
    let result = smol::block_on(client.request("GET", "/", &[], LONG_TIMEOUT));
    let Err(RequestError::NotSent(error)) = result else {
        panic!("{result:?}")
    };
    assert_eq!(error.addr, addr);
    assert!(matches!(error.cause, ConnectFault::Io(_)));
}
