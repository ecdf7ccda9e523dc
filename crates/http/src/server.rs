//! The serving side: one task for each connection, bounded in number, memory and time.

use crate::connections::{ConnectionTable, Rank};
use crate::parse::{self, Bad};
use crate::within;
use smol::future::poll_fn;
use smol::io::{AsyncRead, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::cell::RefCell;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

/// A request as the handler gets it.
#[derive(Debug)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The body, whole.
    pub body: Vec<u8>,
}

/// What is to be done once a response was written to its connection.
pub struct OnWritten(Box<dyn FnOnce()>);

impl OnWritten {
    /// Calls a function then.
    pub fn new(call: impl FnOnce() + 'static) -> OnWritten {
        OnWritten(Box::new(call))
    }
}

impl fmt::Debug for OnWritten {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("OnWritten")
    }
}

/// A response; `retry_after_s` becomes the header of that name.
#[derive(Debug)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// When to come back, in seconds.
    pub retry_after_s: Option<u32>,
    /// Whether the connection ends with this response.
    pub close: bool,
    /// What the connection is for.
    pub rank: Rank,
    /// What is to be done once it was written; nothing if it can't be.
    pub on_written: Option<OnWritten>,
}

impl Response {
    /// A response to a user that keeps the connection open.
    pub fn new(status: u16, body: Vec<u8>) -> Response {
        Response {
            status,
            body,
            retry_after_s: None,
            close: false,
            rank: Rank::User,
            on_written: None,
        }
    }

    /// The same, saying when to come back.
    pub fn retry(mut self, after_s: u32) -> Response {
        self.retry_after_s = Some(after_s);
        self
    }

    /// The same, on a connection of another rank.
    pub fn of(mut self, rank: Rank) -> Response {
        self.rank = rank;
        self
    }

    fn written(&self, close: bool) -> Vec<u8> {
        use std::io::Write;
        let mut out = Vec::with_capacity(160 + self.body.len());
        let _ = write!(
            out,
            "HTTP/1.1 {} {}\r\nContent-Length: {}\r\n",
            self.status,
            parse::reason(self.status),
            self.body.len()
        );
        if !self.body.is_empty() {
            out.extend_from_slice(b"Content-Type: application/cbor\r\n");
        }
        if let Some(s) = self.retry_after_s {
            let _ = write!(out, "Retry-After: {s}\r\n");
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
    /// Most connections.
    pub connections: usize,
    /// Most bytes of a body.
    pub body: usize,
    /// Bytes of all requests that have arrived in part.
    pub bytes: usize,
    /// Time for one whole request to arrive once its first byte has.
    pub request: Duration,
    /// Time that a connection may be idle.
    pub idle: Duration,
}

/// What one read takes at most. All connections share one buffer, so that one that waits holds
/// no memory for it.
const READ_AT_ONCE: usize = 16 << 10;

struct Server {
    limits: Limits,
    pool: ConnectionTable,
    scratch: RefCell<Vec<u8>>,
}

/// Serves connections until the listener fails for good.
pub async fn serve<H, F>(
    executor: Rc<smol::LocalExecutor<'static>>,
    listener: TcpListener,
    limits: Limits,
    handler: Rc<H>,
) where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Response> + 'static,
{
    let pool = ConnectionTable::new(limits.connections, limits.bytes);
    let server = Rc::new(Server {
        limits,
        pool,
        scratch: RefCell::new(vec![0; READ_AT_ONCE]),
    });
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::debug!("event=accept_failed error=\"{e}\"");
                smol::Timer::after(Duration::from_millis(50)).await;
                continue;
            }
        };
        // Without room it is closed at once: the load balancer and the workers go elsewhere.
        let Some(id) = server.pool.enter(stream.clone()) else {
            continue;
        };
        let (server, handler) = (server.clone(), handler.clone());
        executor
            .spawn(async move {
                let mut c = Connection {
                    server: &server,
                    stream,
                    id,
                    buf: Vec::new(),
                    taken: 0,
                };
                let _ = c.run(&*handler).await;
                server.pool.give_back(c.taken);
                server.pool.leave(id);
            })
            .detach();
    }
}

struct Connection<'a> {
    server: &'a Server,
    stream: TcpStream,
    id: u64,
    buf: Vec<u8>,
    /// Bytes of the pool's that the request under way has taken.
    taken: usize,
}

impl Connection<'_> {
    async fn run<H, F>(&mut self, handler: &H) -> std::io::Result<()>
    where
        H: Fn(Request) -> F,
        F: Future<Output = Response>,
    {
        let _ = self.stream.set_nodelay(true);
        let Limits {
            idle,
            request: limit,
            ..
        } = self.server.limits;
        loop {
            if self.buf.is_empty()
                && !matches!(within(idle, self.read()).await, Some(Ok(n)) if n > 0)
            {
                return Ok(());
            }
            if !self.server.pool.busy(self.id) {
                return Ok(());
            }
            let read = within(limit, self.read_request()).await;
            let (request, close) = match read {
                Some(Ok(Some(r))) => r,
                Some(Ok(None)) => return Ok(()),
                Some(Err(Bad(status))) => return self.refuse(status).await,
                None => return self.refuse(408).await,
            };
            let mut response = handler(request).await;
            let close = close || response.close || self.server.pool.short(response.rank);
            let out = response.written(close);
            let Some(Ok(())) = within(limit, self.stream.write_all(&out)).await else {
                return Ok(());
            };
            if let Some(OnWritten(call)) = response.on_written.take() {
                call();
            }
            if close {
                return Ok(());
            }
            self.server.pool.idle(self.id, response.rank);
        }
    }

    async fn refuse(&mut self, status: u16) -> std::io::Result<()> {
        let mut response = Response::new(status, Vec::new());
        if status == 503 {
            response = response.retry(1);
        }
        let out = response.written(true);
        let _ = within(Duration::from_secs(1), self.stream.write_all(&out)).await;
        Ok(())
    }

    /// Reads what has arrived into the buffer; 0 at the end.
    async fn read(&mut self) -> std::io::Result<usize> {
        poll_fn(|cx| {
            let mut scratch = self.server.scratch.borrow_mut();
            match Pin::new(&mut self.stream).poll_read(cx, &mut scratch) {
                Poll::Ready(Ok(n)) => {
                    self.buf.extend_from_slice(&scratch[..n]);
                    Poll::Ready(Ok(n))
                }
                other => other,
            }
        })
        .await
    }

    async fn read_request(&mut self) -> Result<Option<(Request, bool)>, Bad> {
        let head = loop {
            if let Some(head) = parse::request(&self.buf, self.server.limits.body)? {
                break head;
            }
            if !matches!(self.read().await, Ok(n) if n > 0) {
                return Ok(None);
            }
        };
        if head.expects_continue {
            let _ = self
                .stream
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .await;
        }
        let total = head.head_len + head.length;
        let missing = total.saturating_sub(self.buf.len());
        if missing > 0 {
            // Many half-sent bodies must not take the memory of all.
            if !self.server.pool.take(total) {
                return Err(Bad(503));
            }
            self.taken = total;
            self.buf.reserve_exact(missing);
        }
        while self.buf.len() < total {
            if !matches!(self.read().await, Ok(n) if n > 0) {
                return Ok(None);
            }
        }
        self.server.pool.give_back(std::mem::take(&mut self.taken));
        let body = self.buf[head.head_len..total].to_vec();
        self.buf.drain(..total);
        if self.buf.is_empty() {
            // Idle connections keep no memory.
            self.buf = Vec::new();
        }
        Ok(Some((
            Request {
                method: head.method,
                path: head.path,
                body,
            },
            head.close,
        )))
    }
}
