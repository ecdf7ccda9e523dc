//! The client: requests to one address over a small pool of connections that are kept alive.

use crate::parse::{self, HeadError, ResponseHead};
use crate::with_timeout;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long an idle connection may be reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Capacity that is reserved for the head of a request, in bytes.
const TYPICAL_HEAD_BYTES: usize = 160;

/// Initial capacity for a response, in bytes.
const TYPICAL_RESPONSE_BYTES: usize = 1024;

/// Largest number of bytes taken from the socket by one read.
const READ_BUFFER_BYTES: usize = 8192;

/// Why a request has no response.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The request certainly did not reach the server.
    #[error(transparent)]
    NotSent(ConnectError),
    /// The response has so many bytes, more than this client accepts. The server has executed the
    /// request.
    #[error("the response of {0} bytes is too large")]
    ResponseTooLarge(usize),
    /// The server may have executed the request, or may still do so.
    #[error(transparent)]
    OutcomeUnknown(ExchangeError),
}

/// There is no connection to the server.
#[derive(Debug, thiserror::Error)]
#[error("can't connect to {addr}: {cause}")]
pub struct ConnectError {
    /// Address of the server.
    pub addr: SocketAddr,
    /// What failed.
    pub cause: ConnectFault,
}

/// Why no connection could be made.
#[derive(Debug, thiserror::Error)]
pub enum ConnectFault {
    /// It took longer than the time allowed for the request.
    #[error("connecting took too long")]
    TimedOut,
    /// The connection was refused or failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The request was sent, at least in part, and there is no whole response.
#[derive(Debug, thiserror::Error)]
#[error("no response from {addr}: {cause}")]
pub struct ExchangeError {
    /// Address of the server.
    pub addr: SocketAddr,
    /// What failed.
    pub cause: ExchangeFault,
}

/// What failed on a connection after a request may have been sent.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeFault {
    /// There was no whole response within the time allowed for the request.
    #[error("time-out")]
    TimedOut,
    /// The server closed the connection before the response was complete.
    #[error("closed")]
    Closed,
    /// The head of the response is invalid.
    #[error("malformed response")]
    Malformed(#[source] HeadError),
    /// The response is in chunked encoding, which no server of these protocols uses.
    #[error("a chunked response is not expected here")]
    Chunked,
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A response of the server.
#[derive(Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// The whole body.
    pub body: Vec<u8>,
    /// `Retry-After`, if the server gave it in seconds.
    pub retry_after_s: Option<f64>,
}

/// An idle connection in the pool.
struct IdleConnection {
    stream: TcpStream,
    idle_since: Instant,
}

/// A client of one server.
pub struct Client {
    addr: SocketAddr,
    pool: RefCell<Vec<IdleConnection>>,
    max_idle: usize,
    max_body_bytes: usize,
}

impl Client {
    /// A client that keeps at most `max_idle` idle connections alive, and accepts responses whose
    /// bodies have at most `max_body_bytes`.
    pub fn new(addr: SocketAddr, max_idle: usize, max_body_bytes: usize) -> Client {
        Client {
            addr,
            pool: RefCell::new(Vec::new()),
            max_idle,
            max_body_bytes,
        }
    }

    /// Closes all idle connections, so that the next request opens a new one.
    pub fn close_idle(&self) {
        self.pool.borrow_mut().clear();
    }

    /// Sends a request and waits for the response, for at most `timeout` in all.
    pub async fn request(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<Response, RequestError> {
        let started_at = Instant::now();
        let pooled = self.take_idle();
        let is_pooled = pooled.is_some();
        let stream = match pooled {
            Some(stream) => stream,
            None => self.connect(timeout).await?,
        };
        let remaining = timeout.saturating_sub(started_at.elapsed());
        let exchange = self.exchange(stream, method, path, body);
        match with_timeout(remaining, exchange).await {
            Some(Ok(response)) => Ok(response),
            Some(Err(error)) => {
                if is_pooled {
                    // Most likely the server has closed it; the others are at least as old.
                    self.close_idle();
                }
                Err(error)
            }
            None => {
                self.close_idle();
                Err(outcome_unknown(self.addr, ExchangeFault::TimedOut))
            }
        }
    }

    /// Takes an idle connection that the server has probably not closed yet.
    fn take_idle(&self) -> Option<TcpStream> {
        let mut pool = self.pool.borrow_mut();
        while let Some(connection) = pool.pop() {
            if connection.idle_since.elapsed() < IDLE_TIMEOUT {
                return Some(connection.stream);
            }
        }
        None
    }

    async fn connect(&self, timeout: Duration) -> Result<TcpStream, RequestError> {
        let addr = self.addr;
        let cause = match with_timeout(timeout, TcpStream::connect(addr)).await {
            Some(Ok(stream)) => {
                let _ = stream.set_nodelay(true);
                return Ok(stream);
            }
            Some(Err(error)) => ConnectFault::Io(error),
            None => ConnectFault::TimedOut,
        };
        Err(RequestError::NotSent(ConnectError { addr, cause }))
    }

    async fn exchange(
        &self,
        mut stream: TcpStream,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<Response, RequestError> {
        let request = self.encode_request(method, path, body);
        let sent = stream.write_all(&request).await;
        sent.map_err(|error| outcome_unknown(self.addr, error.into()))?;
        let mut reader = ResponseReader::new(self.addr, stream);
        let head = reader.read_head().await?;
        if head.chunked {
            return Err(outcome_unknown(self.addr, ExchangeFault::Chunked));
        }
        let ends_connection = reader.read_body(&head, self.max_body_bytes).await?;
        let ResponseReader {
            stream,
            mut received,
            ..
        } = reader;
        received.drain(..head.head_len);
        if !head.close && !ends_connection {
            self.return_to_pool(stream);
        }
        Ok(Response {
            status: head.status,
            body: received,
            retry_after_s: head.retry_after_s,
        })
    }

    fn encode_request(&self, method: &str, path: &str, body: &[u8]) -> Vec<u8> {
        let addr = self.addr;
        let body_len = body.len();
        let head =
            format!("{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Length: {body_len}\r\n");
        let mut out = Vec::with_capacity(TYPICAL_HEAD_BYTES + body_len);
        out.extend_from_slice(head.as_bytes());
        if !body.is_empty() {
            out.extend_from_slice(b"Content-Type: application/cbor\r\n");
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(body);
        out
    }

    /// Returns a connection to the pool, or closes it if the pool is full.
    fn return_to_pool(&self, stream: TcpStream) {
        let mut pool = self.pool.borrow_mut();
        if pool.len() < self.max_idle {
            let idle_since = Instant::now();
            pool.push(IdleConnection { stream, idle_since });
        }
    }
}

/// Reads one response from a connection.
struct ResponseReader {
    addr: SocketAddr,
    stream: TcpStream,
    received: Vec<u8>,
    read_buffer: [u8; READ_BUFFER_BYTES],
}

impl ResponseReader {
    fn new(addr: SocketAddr, stream: TcpStream) -> ResponseReader {
        ResponseReader {
            addr,
            stream,
            received: Vec::with_capacity(TYPICAL_RESPONSE_BYTES),
            read_buffer: [0; READ_BUFFER_BYTES],
        }
    }

    /// Reads the final response's head; interim responses (`100 Continue`) are skipped.
    async fn read_head(&mut self) -> Result<ResponseHead, RequestError> {
        loop {
            let parsed = parse::parse_response(&self.received);
            match parsed
                .map_err(|error| outcome_unknown(self.addr, ExchangeFault::Malformed(error)))?
            {
                Some(head) if head.status == 100 => {
                    self.received.drain(..head.head_len);
                }
                Some(head) => return Ok(head),
                None => self.read_more().await?,
            }
        }
    }

    /// Reads the body into `received`, behind the head. Returns whether the body's end is that of
    /// the connection, so that it can't be used again.
    async fn read_body(
        &mut self,
        head: &ResponseHead,
        max_body_bytes: usize,
    ) -> Result<bool, RequestError> {
        match head.body_len {
            Some(body_len) if body_len > max_body_bytes => {
                Err(RequestError::ResponseTooLarge(body_len))
            }
            Some(body_len) => {
                while self.received.len() < head.head_len + body_len {
                    self.read_more().await?;
                }
                Ok(false)
            }
            None if matches!(head.status, 204 | 304) => Ok(false),
            None => {
                while self.read().await? > 0 {
                    if self.received.len() > max_body_bytes {
                        return Err(RequestError::ResponseTooLarge(self.received.len()));
                    }
                }
                Ok(true)
            }
        }
    }

    /// Reads at least one byte.
    async fn read_more(&mut self) -> Result<(), RequestError> {
        match self.read().await? {
            0 => Err(outcome_unknown(self.addr, ExchangeFault::Closed)),
            _ => Ok(()),
        }
    }

    /// Reads what is available; 0 at the end of the connection.
    async fn read(&mut self) -> Result<usize, RequestError> {
        let result = self.stream.read(&mut self.read_buffer).await;
        let count = result.map_err(|error| outcome_unknown(self.addr, error.into()))?;
        self.received.extend_from_slice(&self.read_buffer[..count]);
        Ok(count)
    }
}

fn outcome_unknown(addr: SocketAddr, cause: ExchangeFault) -> RequestError {
    RequestError::OutcomeUnknown(ExchangeError { addr, cause })
}
