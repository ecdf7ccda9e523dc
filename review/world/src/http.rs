//! A small blocking HTTP/1.1 server and client.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
}

/// What a server does with a request.
pub enum Reply {
    Answer(u16, Vec<u8>),
    /// The connection is closed without an answer.
    Reset,
}

pub type Handler = Arc<dyn Fn(Request) -> Reply + Send + Sync>;

/// Serves a new loopback address and returns it.
pub fn serve(handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    addr
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let mut received = Vec::new();
    while let Some((head, body)) = read_message(&mut stream, &mut received, None) {
        let mut words = head.split_whitespace();
        let method = words.next().unwrap_or("").to_string();
        let path = words.next().unwrap_or("").to_string();
        match handler(Request { method, path, body }) {
            Reply::Answer(status, body) => {
                let mut out = format!(
                    "HTTP/1.1 {status} x\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                )
                .into_bytes();
                out.extend(body);
                if stream.write_all(&out).is_err() {
                    return;
                }
            }
            Reply::Reset => return,
        }
    }
}

/// Reads the head and the body of the next message; `None` if the connection ends or time is out.
fn read_message(
    stream: &mut TcpStream,
    received: &mut Vec<u8>,
    until: Option<Instant>,
) -> Option<(String, Vec<u8>)> {
    let mut chunk = [0u8; 16384];
    loop {
        if let Some(end) = received.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&received[..end]).to_string();
            let length = header(&head, "content-length").and_then(|v| v.parse().ok());
            let total = end + 4 + length.unwrap_or(0usize);
            if received.len() >= total {
                let body = received[end + 4..total].to_vec();
                received.drain(..total);
                return Some((head, body));
            }
        }
        if let Some(until) = until {
            let left = until.checked_duration_since(Instant::now())?;
            stream
                .set_read_timeout(Some(left.max(Duration::from_millis(1))))
                .ok()?;
        }
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => received.extend(&chunk[..count]),
            _ => return None,
        }
    }
}

fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name)
            .then(|| value.trim().to_string())
    })
}

/// A client with one connection that it keeps open.
#[derive(Default)]
pub struct Client {
    open: Option<(SocketAddr, TcpStream)>,
}

impl Client {
    pub fn close(&mut self) {
        self.open = None;
    }

    /// Returns the status and the body of the answer; `None` for a failure or no answer in time.
    pub fn call(
        &mut self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Option<(u16, Vec<u8>)> {
        let until = Instant::now() + timeout;
        let kept = self.open.take().filter(|(to, _)| *to == addr);
        let mut stream = match kept {
            Some((_, stream)) => stream,
            None => TcpStream::connect_timeout(&addr, timeout).ok()?,
        };
        let _ = stream.set_nodelay(true);
        let mut out = format!(
            "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        out.extend(body);
        stream.write_all(&out).ok()?;
        let mut received = Vec::new();
        let (head, body) = read_message(&mut stream, &mut received, Some(until))?;
        let status = head.split_whitespace().nth(1)?.parse().ok()?;
        if !header(&head, "connection").is_some_and(|v| v.eq_ignore_ascii_case("close")) {
            self.open = Some((addr, stream));
        }
        Some((status, body))
    }
}
