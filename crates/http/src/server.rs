//! HTTP server with one task per connection, and limits on connections, memory and time.

use crate::connections::{ConnectionPriority, ConnectionTable};
use crate::parse::{self, HeadError, RequestHead};
use crate::with_timeout;
use smol::future::poll_fn;
use smol::io::{AsyncRead, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::cell::RefCell;
use std::fmt;
use std::future::Future;
use std::io::{self, Write};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

/// Maximum number of bytes taken from a socket by one read.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Initial capacity of the buffer for the head of a response, in bytes.
const TYPICAL_HEAD_BYTES: usize = 160;

/// Delay before `accept` is retried after a failure. Without the delay it would fail again at once,
/// for example while no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Timeout for writing the response to a rejected request.
const REJECT_TIMEOUT: Duration = Duration::from_secs(1);

/// `Retry-After` in the response to a request rejected for lack of memory, in seconds.
const OVERLOADED_RETRY_S: u32 = 1;

/// Request, as the handler receives it.
#[derive(Debug)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Path, including the query.
    pub path: String,
    /// The whole body.
    pub body: Vec<u8>,
}

/// Callback that runs after a response has been written to its connection.
pub struct OnWritten(Box<dyn FnOnce()>);

impl OnWritten {
    /// Wraps a function as a callback.
    pub fn new(call: impl FnOnce() + 'static) -> OnWritten {
        OnWritten(Box::new(call))
    }
}

impl fmt::Debug for OnWritten {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OnWritten")
    }
}

/// Response to a request.
#[derive(Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// The whole body.
    pub body: Vec<u8>,
    /// Value of `Retry-After`, in seconds.
    pub retry_after_s: Option<u32>,
    /// Whether the connection is closed after this response.
    pub close: bool,
    /// Priority of the connection after this response.
    pub priority: ConnectionPriority,
    /// Callback that runs after the response has been written, and never if writing fails.
    pub on_written: Option<OnWritten>,
}

impl Response {
    /// Returns a response with [`ConnectionPriority::User`] that keeps the connection alive.
    pub fn new(status: u16, body: Vec<u8>) -> Response {
        Response {
            status,
            body,
            retry_after_s: None,
            close: false,
            priority: ConnectionPriority::User,
            on_written: None,
        }
    }

    /// Sets `Retry-After`, in seconds.
    pub fn with_retry_after(mut self, after_s: u32) -> Response {
        self.retry_after_s = Some(after_s);
        self
    }

    /// Sets the priority of the connection.
    pub fn with_priority(mut self, priority: ConnectionPriority) -> Response {
        self.priority = priority;
        self
    }

    fn encode(&self, close: bool) -> Vec<u8> {
        let mut out = Vec::with_capacity(TYPICAL_HEAD_BYTES + self.body.len());
        // Writing to memory can't fail.
        let _ = write!(
            out,
            "HTTP/1.1 {} {}\r\nContent-Length: {}\r\n",
            self.status,
            parse::reason_phrase(self.status),
            self.body.len()
        );
        if !self.body.is_empty() {
            out.extend_from_slice(b"Content-Type: application/cbor\r\n");
        }
        if let Some(after_s) = self.retry_after_s {
            let _ = write!(out, "Retry-After: {after_s}\r\n");
        }
        if close {
            out.extend_from_slice(b"Connection: close\r\n");
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&self.body);
        out
    }
}

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum total size of the requests that have been received in part, in bytes.
    pub max_buffered_bytes: usize,
    /// Timeout for receiving a whole request after its first byte, and for writing a response.
    pub request_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// Reason why a request can't be passed to the handler.
#[derive(Debug, thiserror::Error)]
enum ReceiveError {
    #[error("the connection ended before the request was complete")]
    Closed,
    #[error("the request did not arrive in time")]
    TimedOut,
    #[error("no memory is left for a request of {bytes} bytes")]
    Overloaded { bytes: usize },
    #[error(transparent)]
    Head(#[from] HeadError),
}

impl ReceiveError {
    /// Returns the response that reports the error to the client, or `None` if the connection has
    /// ended.
    fn response(&self) -> Option<Response> {
        let status = match self {
            ReceiveError::Closed => return None,
            ReceiveError::TimedOut => 408,
            ReceiveError::Overloaded { .. } => 503,
            ReceiveError::Head(error) => error.status(),
        };
        let response = Response::new(status, Vec::new());
        match self {
            ReceiveError::Overloaded { .. } => Some(response.with_retry_after(OVERLOADED_RETRY_S)),
            _ => Some(response),
        }
    }
}

/// State that all connections of a server share.
struct Server {
    limits: Limits,
    connections: ConnectionTable,
    /// Buffer for reads. All connections share it, so that a waiting connection needs no buffer of
    /// its own.
    read_buffer: RefCell<Vec<u8>>,
}

/// Accepts and serves connections. Never returns.
pub async fn serve<H, F>(
    executor: Rc<smol::LocalExecutor<'static>>,
    listener: TcpListener,
    limits: Limits,
    handler: Rc<H>,
) where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Response> + 'static,
{
    let server = Rc::new(Server {
        limits,
        connections: ConnectionTable::new(limits.max_connections, limits.max_buffered_bytes),
        read_buffer: RefCell::new(vec![0; READ_BUFFER_BYTES]),
    });
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::debug!("event=accept_failed error=\"{error}\"");
                smol::Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        // If the table can't take the connection, it is closed at once, and the load balancer or
        // the worker tries another server.
        let Some(id) = server.connections.admit(stream.clone()) else {
            continue;
        };
        let connection = Connection::new(server.clone(), stream, id);
        let handler = handler.clone();
        executor
            .spawn(async move { connection.serve(&*handler).await })
            .detach();
    }
}

/// Connection of a server.
struct Connection {
    server: Rc<Server>,
    stream: TcpStream,
    /// Id in the server's connection table.
    id: u64,
    /// Bytes that have been received but not processed yet.
    received: Vec<u8>,
    /// Memory reserved in the server's connection table for the request being received, in bytes.
    reserved_bytes: usize,
}

impl Connection {
    fn new(server: Rc<Server>, stream: TcpStream, id: u64) -> Connection {
        Connection {
            server,
            stream,
            id,
            received: Vec::new(),
            reserved_bytes: 0,
        }
    }

    /// Serves requests until the connection ends, then removes it from the server's connection
    /// table.
    async fn serve<H, F>(mut self, handler: &H)
    where
        H: Fn(Request) -> F,
        F: Future<Output = Response>,
    {
        let _ = self.stream.set_nodelay(true);
        while self.wait_for_request().await {
            if !self.serve_request(handler).await {
                break;
            }
        }
        self.server.connections.release_bytes(self.reserved_bytes);
        self.server.connections.remove(self.id);
    }

    /// Waits until a request begins to arrive. Returns false if the connection has ended or was
    /// idle too long.
    async fn wait_for_request(&mut self) -> bool {
        if self.received.is_empty() {
            let idle_timeout = self.server.limits.idle_timeout;
            match with_timeout(idle_timeout, self.read()).await {
                Some(Ok(count)) if count > 0 => {}
                _ => return false,
            }
        }
        self.server.connections.begin_request(self.id)
    }

    /// Receives a request and responds to it. Returns false if the connection has to be closed.
    async fn serve_request<H, F>(&mut self, handler: &H) -> bool
    where
        H: Fn(Request) -> F,
        F: Future<Output = Response>,
    {
        let timeout = self.server.limits.request_timeout;
        let received = with_timeout(timeout, self.receive()).await;
        let (request, close_requested) = match received.unwrap_or(Err(ReceiveError::TimedOut)) {
            Ok(received) => received,
            Err(error) => {
                self.reject(&error).await;
                return false;
            }
        };
        let mut response = handler(request).await;
        let should_close = self.server.connections.should_close(response.priority);
        let close = close_requested || response.close || should_close;
        let out = response.encode(close);
        let Some(Ok(())) = with_timeout(timeout, self.stream.write_all(&out)).await else {
            return false;
        };
        if let Some(OnWritten(call)) = response.on_written.take() {
            call();
        }
        if close {
            return false;
        }
        let connections = &self.server.connections;
        connections.finish_request(self.id, response.priority);
        true
    }

    /// Sends the client the response for a request that can't be served.
    async fn reject(&mut self, error: &ReceiveError) {
        if let Some(response) = error.response() {
            let out = response.encode(true);
            let _ = with_timeout(REJECT_TIMEOUT, self.stream.write_all(&out)).await;
        }
    }

    /// Reads the available bytes into `received` and returns their number, or 0 if the client has
    /// closed the connection.
    async fn read(&mut self) -> io::Result<usize> {
        let Connection {
            server,
            stream,
            received,
            ..
        } = self;
        poll_fn(|context| {
            let mut buffer = server.read_buffer.borrow_mut();
            let poll = Pin::new(&mut *stream).poll_read(context, &mut buffer);
            if let Poll::Ready(Ok(count)) = poll {
                received.extend_from_slice(&buffer[..count]);
            }
            poll
        })
        .await
    }

    /// Reads at least one byte.
    async fn read_more(&mut self) -> Result<(), ReceiveError> {
        match self.read().await {
            Ok(count) if count > 0 => Ok(()),
            _ => Err(ReceiveError::Closed),
        }
    }

    /// Receives a whole request. Also returns whether the client asks to close the connection.
    async fn receive(&mut self) -> Result<(Request, bool), ReceiveError> {
        let head = self.receive_head().await?;
        if head.expects_continue {
            let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
            let _ = self.stream.write_all(interim).await;
        }
        let body = self.receive_body(&head).await?;
        let request = Request {
            method: head.method,
            path: head.path,
            body,
        };
        Ok((request, head.close))
    }

    async fn receive_head(&mut self) -> Result<RequestHead, ReceiveError> {
        loop {
            let max_body_bytes = self.server.limits.max_body_bytes;
            if let Some(head) = parse::parse_request(&self.received, max_body_bytes)? {
                return Ok(head);
            }
            self.read_more().await?;
        }
    }

    /// Receives the body and removes the request from `received`.
    async fn receive_body(&mut self, head: &RequestHead) -> Result<Vec<u8>, ReceiveError> {
        let request_len = head.head_len + head.body_len;
        let missing = request_len.saturating_sub(self.received.len());
        if missing > 0 {
            // Many bodies that arrive slowly must not exhaust the memory together.
            if !self.server.connections.reserve_bytes(request_len) {
                return Err(ReceiveError::Overloaded { bytes: request_len });
            }
            self.reserved_bytes = request_len;
            self.received.reserve_exact(missing);
        }
        while self.received.len() < request_len {
            self.read_more().await?;
        }
        let reserved_bytes = std::mem::take(&mut self.reserved_bytes);
        self.server.connections.release_bytes(reserved_bytes);
        let body = self.received[head.head_len..request_len].to_vec();
        self.received.drain(..request_len);
        if self.received.is_empty() {
            // Frees the buffer, so that an idle connection holds no memory for requests.
            self.received = Vec::new();
        }
        Ok(body)
    }
}
