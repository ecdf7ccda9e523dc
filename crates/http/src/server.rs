//! The serving side: one task for each connection, bounded in number, memory and time.

use crate::parse::{self, Bad};
use crate::within;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// A request as the handler gets it.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
}

/// A response; `retry_after_s` becomes the header of that name.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after_s: Option<u32>,
    pub close: bool,
}

impl Response {
    pub fn new(status: u16, body: Vec<u8>) -> Response {
        Response { status, body, retry_after_s: None, close: false }
    }

    pub fn retry(mut self, after_s: u32) -> Response {
        self.retry_after_s = Some(after_s);
        self
    }

    fn write_to(&self, out: &mut Vec<u8>, close: bool) {
        use std::io::Write;
        out.clear();
        let _ = write!(out, "HTTP/1.1 {} {}\r\nContent-Length: {}\r\n", self.status, parse::reason(self.status), self.body.len());
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
    }
}

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub connections: usize,
    pub body: usize,
    /// Time for one whole request to arrive once its first byte has.
    pub request: Duration,
    /// Time that a connection may be idle.
    pub idle: Duration,
}

/// Serves connections until the listener fails for good.
pub async fn serve<H, F>(ex: Rc<smol::LocalExecutor<'static>>, listener: TcpListener, limits: Limits, handler: Rc<H>)
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Response> + 'static,
{
    let open = Rc::new(Cell::new(0usize));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::debug!("event=accept_failed error=\"{e}\"");
                smol::Timer::after(Duration::from_millis(50)).await;
                continue;
            }
        };
        if open.get() >= limits.connections {
            // Closing at once lets the load balancer and the workers go elsewhere.
            drop(stream);
            continue;
        }
        open.set(open.get() + 1);
        let (open, handler) = (open.clone(), handler.clone());
        ex.spawn(async move {
            let _ = connection(stream, limits, &*handler).await;
            open.set(open.get() - 1);
        })
        .detach();
    }
}

async fn connection<H, F>(mut stream: TcpStream, limits: Limits, handler: &H) -> std::io::Result<()>
where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    let _ = stream.set_nodelay(true);
    let mut buf: Vec<u8> = Vec::new();
    let mut out = Vec::new();
    loop {
        if buf.is_empty() {
            let mut first = [0u8; 2048];
            match within(limits.idle, stream.read(&mut first)).await {
                Some(Ok(n)) if n > 0 => buf.extend_from_slice(&first[..n]),
                _ => return Ok(()),
            }
        }
        let read = within(limits.request, read_request(&mut stream, &mut buf, limits.body)).await;
        let (request, close) = match read {
            Some(Ok(Some(r))) => r,
            Some(Ok(None)) => return Ok(()),
            Some(Err(Bad(status))) => return refuse(&mut stream, &mut out, status).await,
            None => return refuse(&mut stream, &mut out, 408).await,
        };
        let response = handler(request).await;
        let close = close || response.close;
        response.write_to(&mut out, close);
        match within(limits.request, stream.write_all(&out)).await {
            Some(Ok(())) if !close => {}
            _ => return Ok(()),
        }
    }
}

async fn refuse(stream: &mut TcpStream, out: &mut Vec<u8>, status: u16) -> std::io::Result<()> {
    Response::new(status, Vec::new()).write_to(out, true);
    let _ = within(Duration::from_secs(1), stream.write_all(out)).await;
    Ok(())
}

async fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>, body_limit: usize) -> Result<Option<(Request, bool)>, Bad> {
    let mut chunk = [0u8; 4096];
    let head = loop {
        if let Some(head) = parse::request(buf, body_limit)? {
            break head;
        }
        match stream.read(&mut chunk).await {
            Ok(n) if n > 0 => buf.extend_from_slice(&chunk[..n]),
            _ => return Ok(None),
        }
    };
    if head.expects_continue {
        let _ = stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
    }
    let total = head.head_len + head.length;
    while buf.len() < total {
        match stream.read(&mut chunk).await {
            Ok(n) if n > 0 => buf.extend_from_slice(&chunk[..n]),
            _ => return Ok(None),
        }
    }
    let body = buf[head.head_len..total].to_vec();
    buf.drain(..total);
    if buf.is_empty() {
        // Idle connections keep no memory.
        *buf = Vec::new();
    }
    Ok(Some((Request { method: head.method, path: head.path, body }, head.close)))
}
