//! The asking side: a small pool of kept connections to one address.

use crate::parse;
use crate::within;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum Failed {
    /// The request certainly did not reach the server.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The answer is larger than this client takes.
    #[error("the answer of {0} bytes is too large")]
    TooLarge(usize),
    /// The server may have carried the request out, or may still do so.
    #[error("no answer: {0}")]
    Unknown(String),
}

/// An answer of the server.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The body, whole.
    pub body: Vec<u8>,
    /// `Retry-After`, if the server gave it in seconds.
    pub retry_after_s: Option<f64>,
}

/// A client of one server.
pub struct Client {
    addr: SocketAddr,
    idle: RefCell<Vec<(TcpStream, Instant)>>,
    keep: usize,
    most_body: usize,
    keep_for: Duration,
}

impl Client {
    /// A client that keeps so many idle connections, and takes bodies of so many bytes at most.
    pub fn new(addr: SocketAddr, keep: usize, most_body: usize) -> Client {
        Client {
            addr,
            idle: RefCell::new(Vec::new()),
            keep,
            most_body,
            keep_for: Duration::from_secs(30),
        }
    }

    /// Forgets kept connections, so that the next request makes a new one.
    pub fn forget(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Sends a request and waits for its answer, at most `limit` in all.
    pub async fn ask(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        limit: Duration,
    ) -> Result<Answer, Failed> {
        let started_at = Instant::now();
        let kept = self.take();
        let fresh = kept.is_none();
        let stream = match kept {
            Some(s) => s,
            None => match within(limit, TcpStream::connect(self.addr)).await {
                Some(Ok(s)) => {
                    let _ = s.set_nodelay(true);
                    s
                }
                Some(Err(e)) => return Err(Failed::NotSent(e.to_string())),
                None => return Err(Failed::NotSent("connecting took too long".into())),
            },
        };
        let left = limit.saturating_sub(started_at.elapsed());
        match within(left, self.exchange(stream, method, path, body)).await {
            Some(Ok(a)) => Ok(a),
            Some(Err(e)) => {
                if !fresh {
                    // A kept connection that the server had closed: the others are old as well.
                    self.forget();
                }
                Err(e)
            }
            None => {
                self.forget();
                Err(Failed::Unknown("time-out".into()))
            }
        }
    }

    fn take(&self) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        while let Some((s, at)) = idle.pop() {
            if at.elapsed() < self.keep_for {
                return Some(s);
            }
        }
        None
    }

    async fn exchange(
        &self,
        mut stream: TcpStream,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<Answer, Failed> {
        let mut out = Vec::with_capacity(160 + body.len());
        out.extend_from_slice(
            format!(
                "{method} {path} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n",
                self.addr,
                body.len()
            )
            .as_bytes(),
        );
        if !body.is_empty() {
            out.extend_from_slice(b"Content-Type: application/cbor\r\n");
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(body);
        stream.write_all(&out).await.map_err(unknown)?;
        let mut buf = Vec::with_capacity(1024);
        let mut chunk = [0u8; 8192];
        let head = loop {
            match parse::response(&buf).map_err(|_| unknown("malformed response"))? {
                Some(head) if head.status == 100 => {
                    buf.drain(..head.head_len);
                    continue;
                }
                Some(head) => break head,
                None => {}
            }
            let n = stream.read(&mut chunk).await.map_err(unknown)?;
            if n == 0 {
                return Err(unknown("closed"));
            }
            buf.extend_from_slice(&chunk[..n]);
        };
        if head.chunked {
            return Err(unknown("a chunked response is not expected here"));
        }
        let mut close = head.close;
        if let Some(length) = head.length {
            if length > self.most_body {
                return Err(Failed::TooLarge(length));
            }
            while buf.len() < head.head_len + length {
                let n = stream.read(&mut chunk).await.map_err(unknown)?;
                if n == 0 {
                    return Err(unknown("closed"));
                }
                buf.extend_from_slice(&chunk[..n]);
            }
        } else if !matches!(head.status, 204 | 304) {
            close = true;
            loop {
                let n = stream.read(&mut chunk).await.map_err(unknown)?;
                if n == 0 {
                    break;
                }
                buf.extend_from_slice(&chunk[..n]);
                if buf.len() > self.most_body {
                    return Err(Failed::TooLarge(buf.len()));
                }
            }
        }
        buf.drain(..head.head_len);
        if !close && self.idle.borrow().len() < self.keep {
            self.idle.borrow_mut().push((stream, Instant::now()));
        }
        Ok(Answer {
            status: head.status,
            body: buf,
            retry_after_s: head.retry_after_s,
        })
    }
}

fn unknown(error: impl ToString) -> Failed {
    Failed::Unknown(error.to_string())
}
