//! HTTP client for one address, with a small pool of keep-alive connections.

use crate::parse::{self, HeadError, ResponseHead};
use crate::with_timeout;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time after which an idle connection is no longer reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Initial capacity of the buffer for the head of a request, in bytes.
const TYPICAL_HEAD_BYTES: usize = 160;

/// Initial capacity of the buffer for a response, in bytes.
const TYPICAL_RESPONSE_BYTES: usize = 1024;

/// Maximum number of bytes taken from the socket by one read.
const READ_BUFFER_BYTES: usize = 8192;

/// Reason why a request has no usable response.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The request certainly did not reach the server.
    #[error(transparent)]
    NotSent(ConnectError),
    /// The response is larger than the client accepts. Holds the declared size of the body, or the
    /// number of bytes received so far if none was declared. The server has executed the request.
    #[error("the response is too large: {0} bytes declared or received so far")]
    ResponseTooLarge(usize),
    /// The server may have executed the request, or may still do so.
    #[error(transparent)]
    OutcomeUnknown(ExchangeError),
}

/// Error for a connection that could not be made.
#[derive(Debug, thiserror::Error)]
#[error("can't connect to {addr}: {cause}")]
pub struct ConnectError {
    /// Address of the server.
    pub addr: SocketAddr,
    /// What failed.
    pub cause: ConnectFault,
}

/// Reason why no connection could be made.
#[derive(Debug, thiserror::Error)]
pub enum ConnectFault {
    /// Connecting took longer than the timeout of the request.
    #[error("connecting took too long")]
    TimedOut,
    /// The connection was refused or failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Error for a request that may have been sent, at least in part, but got no usable response.
#[derive(Debug, thiserror::Error)]
#[error("no usable response from {addr}: {cause}")]
pub struct ExchangeError {
    /// Address of the server.
    pub addr: SocketAddr,
    /// What failed.
    pub cause: ExchangeFault,
}

/// What failed on a connection after a request may have been sent.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeFault {
    /// There was no complete response within the timeout of the request.
    #[error("the request timed out")]
    TimedOut,
    /// The server closed the connection before the response was complete.
    #[error("the server closed the connection before the response was complete")]
    Closed,
    /// The head of the response is invalid.
    #[error("malformed response")]
    Malformed(#[source] HeadError),
    /// The response has a chunked body, which no server of these protocols sends.
    #[error("the response has a chunked body, which is not supported")]
    Chunked,
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Response of the server.
#[derive(Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// The whole body.
    pub body: Vec<u8>,
    /// Value of `Retry-After`, if the server sent it in seconds.
    pub retry_after_s: Option<f64>,
}

/// Idle connection in the pool.
struct IdleConnection {
    stream: TcpStream,
    idle_since: Instant,
}

/// Client of one server.
pub struct Client {
    addr: SocketAddr,
    pool: RefCell<Vec<IdleConnection>>,
    max_idle: usize,
    max_body_bytes: usize,
}

impl Client {
    /// Returns a client that keeps at most `max_idle` idle connections alive, and accepts responses
    /// with bodies of at most `max_body_bytes`.
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

    /// Sends a request and waits for the response. The timeout covers all of this, including the
    /// time to connect.
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
                    // Most likely the server had closed this connection, and therefore also the
                    // others in the pool, which have been idle at least as long.
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

    /// Takes from the pool an idle connection that the server has probably not closed yet.
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

/// Reader of one response from a connection.
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

    /// Reads the head of the final response, skipping interim responses (`100 Continue`).
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

    /// Reads the body into `received`, after the head. Returns whether the server marked the end of
    /// the body by closing the connection, which then can't be reused.
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

    /// Reads the available bytes and returns their number, or 0 if the server has closed the
    /// connection.
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
