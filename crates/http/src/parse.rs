//! Parsing of message heads, without I/O.

/// Largest head (request line and headers) that is accepted, in bytes.
pub const HEAD_LIMIT: usize = 8 * 1024;
/// Most headers that are accepted.
pub const HEADERS: usize = 48;

/// Why a message can't be taken; the number is the status to answer with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bad(pub u16);

/// A request's head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// Bytes of the body.
    pub length: usize,
    /// Whether the connection ends with this request.
    pub close: bool,
    /// Whether the body comes only after an interim response.
    pub expects_continue: bool,
    /// Bytes of the head.
    pub head_len: usize,
}

/// A response's head.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseHead {
    /// The status.
    pub status: u16,
    /// Bytes of the body, if they are given.
    pub length: Option<usize>,
    /// Whether the body comes in chunks.
    pub chunked: bool,
    /// Whether the connection ends with this response.
    pub close: bool,
    /// `Retry-After` in seconds, if it is given so.
    pub retry_after_s: Option<f64>,
    /// Bytes of the head.
    pub head_len: usize,
}

fn length_of(value: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(value).ok()?.trim();
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}

fn has(value: &[u8], word: &str) -> bool {
    std::str::from_utf8(value)
        .is_ok_and(|v| v.split(',').any(|w| w.trim().eq_ignore_ascii_case(word)))
}

/// Reads a request's head from the bytes so far; none if it isn't complete yet.
pub fn request(bytes: &[u8], body_limit: usize) -> Result<Option<RequestHead>, Bad> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut req = httparse::Request::new(&mut headers);
    let head_len = match req.parse(bytes) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if bytes.len() > HEAD_LIMIT => return Err(Bad(431)),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(Bad(431)),
        Err(_) => return Err(Bad(400)),
    };
    let mut length = None;
    let mut close = req.version == Some(0);
    let mut expects_continue = false;
    for h in req.headers.iter() {
        if h.name.eq_ignore_ascii_case("content-length") {
            let n = length_of(h.value).ok_or(Bad(400))?;
            if length.is_some_and(|l| l != n) {
                return Err(Bad(400));
            }
            length = Some(n);
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            // Nothing in the protocol needs it; a body of unknown length is not taken.
            return Err(Bad(411));
        } else if h.name.eq_ignore_ascii_case("connection") {
            close |= has(h.value, "close");
        } else if h.name.eq_ignore_ascii_case("expect") {
            expects_continue = has(h.value, "100-continue");
        }
    }
    let length = length.unwrap_or(0);
    if length > body_limit {
        return Err(Bad(413));
    }
    Ok(Some(RequestHead {
        method: req.method.unwrap_or("").to_string(),
        path: req.path.unwrap_or("").to_string(),
        length,
        close,
        expects_continue,
        head_len,
    }))
}

/// Reads a response's head; none if it isn't complete yet.
pub fn response(bytes: &[u8]) -> Result<Option<ResponseHead>, Bad> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut res = httparse::Response::new(&mut headers);
    let head_len = match res.parse(bytes) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if bytes.len() <= HEAD_LIMIT => return Ok(None),
        _ => return Err(Bad(502)),
    };
    let mut head = ResponseHead {
        status: res.code.unwrap_or(0),
        length: None,
        chunked: false,
        close: res.version == Some(0),
        retry_after_s: None,
        head_len,
    };
    for h in res.headers.iter() {
        if h.name.eq_ignore_ascii_case("content-length") {
            head.length = Some(length_of(h.value).ok_or(Bad(502))?);
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            head.chunked = has(h.value, "chunked");
        } else if h.name.eq_ignore_ascii_case("connection") {
            head.close |= has(h.value, "close");
        } else if h.name.eq_ignore_ascii_case("retry-after") {
            head.retry_after_s = std::str::from_utf8(h.value)
                .ok()
                .and_then(|v| v.trim().parse().ok());
        }
    }
    Ok(Some(head))
}

/// The text that goes with a status.
pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        411 => "Length Required",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Error",
    }
}
