//! HTTP/1.1 for the stand-ins: a thread for each connection, and requests on connections of their own.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What a handler returns.
pub enum Answer {
    /// A status and a body.
    Now(u16, Vec<u8>),
    /// No answer: the connection stays open without one.
    Never,
}

pub type Handler = dyn Fn(&str, &str, &[u8]) -> Answer + Send + Sync;

/// Serves at a new loopback address and returns the address.
pub fn serve(handler: Arc<Handler>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = listener.local_addr().expect("address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
    addr
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut received = Vec::new();
    loop {
        let Some((head_len, head)) = read_head(&mut stream, &mut received)? else {
            return Ok(());
        };
        let length = content_length(&head);
        while received.len() < head_len + length {
            if !read_some(&mut stream, &mut received)? {
                return Ok(());
            }
        }
        let body = received[head_len..head_len + length].to_vec();
        received.drain(..head_len + length);
        let mut words = head.split_whitespace();
        let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        match handler(method, path, &body) {
            Answer::Now(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} S\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                stream.write_all(&[head.as_bytes(), &body].concat())?;
            }
            Answer::Never => {
                // Until the client gives up.
                while read_some(&mut stream, &mut received)? {}
                return Ok(());
            }
        }
    }
}

fn read_some(stream: &mut TcpStream, received: &mut Vec<u8>) -> std::io::Result<bool> {
    let mut buffer = [0u8; 16384];
    let count = stream.read(&mut buffer)?;
    received.extend_from_slice(&buffer[..count]);
    Ok(count > 0)
}

fn read_head(
    stream: &mut TcpStream,
    received: &mut Vec<u8>,
) -> std::io::Result<Option<(usize, String)>> {
    loop {
        if let Some(end) = received.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&received[..end]).into_owned();
            return Ok(Some((end + 4, head)));
        }
        if !read_some(stream, received)? {
            return Ok(None);
        }
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

fn content_length(head: &str) -> usize {
    header(head, "content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0)
}

/// Sends a request. `None` if there is no response within the timeout.
pub fn request(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    timeout: Duration,
) -> Option<(u16, Vec<u8>)> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat()).ok()?;
    let mut received = Vec::new();
    let step = |stream: &mut TcpStream, received: &mut Vec<u8>| -> Option<()> {
        let left = deadline.checked_duration_since(Instant::now())?;
        stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))
            .ok()?;
        read_some(stream, received).ok()?.then_some(())
    };
    let end = loop {
        if let Some(end) = received.windows(4).position(|w| w == b"\r\n\r\n") {
            break end;
        }
        step(&mut stream, &mut received)?;
    };
    let head = String::from_utf8_lossy(&received[..end]).into_owned();
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    let length = content_length(&head);
    while received.len() < end + 4 + length {
        step(&mut stream, &mut received)?;
    }
    Some((status, received[end + 4..end + 4 + length].to_vec()))
}
