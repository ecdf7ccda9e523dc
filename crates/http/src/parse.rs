//! Parser for the heads of requests and responses. It does no I/O.

use httparse::Header;

/// Maximum size of a head (first line and headers), in bytes.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Maximum number of headers in a head.
pub const MAX_HEADERS: usize = 48;

/// Reason why a head is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The head is not valid HTTP/1.0 or 1.1, or its `Content-Length` is invalid or contradictory.
    #[error("malformed head")]
    Malformed,
    /// The request uses a transfer encoding, so that the size of its body is not known in advance.
    #[error("the request uses a transfer encoding, which is not supported")]
    LengthRequired,
    /// The declared size of the body exceeds the limit.
    #[error("a body of {bytes} bytes exceeds the limit of {max_bytes}")]
    BodyTooLarge {
        /// Declared size of the body, in bytes.
        bytes: usize,
        /// The limit, in bytes.
        max_bytes: usize,
    },
    /// The head exceeds [`MAX_HEAD_BYTES`] or [`MAX_HEADERS`].
    #[error("the head exceeds {MAX_HEAD_BYTES} bytes or {MAX_HEADERS} headers")]
    HeadTooLarge,
}

impl HeadError {
    /// Returns the status code with which a server rejects such a request.
    pub fn status(self) -> u16 {
        match self {
            HeadError::Malformed => 400,
            HeadError::LengthRequired => 411,
            HeadError::BodyTooLarge { .. } => 413,
            HeadError::HeadTooLarge => 431,
        }
    }
}

/// Head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method.
    pub method: String,
    /// Path, including the query.
    pub path: String,
    /// Size of the body, in bytes.
    pub body_len: usize,
    /// Whether the connection is to be closed after this request.
    pub close: bool,
    /// Whether the client waits for an interim response (`100 Continue`) before it sends the body.
    pub expects_continue: bool,
    /// Size of the head, in bytes.
    pub head_len: usize,
}

/// Head of a response.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Size of the body, in bytes, if it is declared.
    pub body_len: Option<usize>,
    /// Whether the body has chunked transfer encoding.
    pub chunked: bool,
    /// Whether the server closes the connection after this response.
    pub close: bool,
    /// Value of `Retry-After`, if it is given in seconds.
    pub retry_after_s: Option<f64>,
    /// Size of the head, in bytes.
    pub head_len: usize,
}

/// Parses the head of a request from the bytes received so far. Returns `None` if it is
/// incomplete.
pub fn parse_request(
    received: &[u8],
    max_body_bytes: usize,
) -> Result<Option<RequestHead>, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head_len = match request.parse(received) {
        Ok(httparse::Status::Complete(head_len)) => head_len,
        Ok(httparse::Status::Partial) if received.len() > MAX_HEAD_BYTES => {
            return Err(HeadError::HeadTooLarge);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HeadError::HeadTooLarge),
        Err(_) => return Err(HeadError::Malformed),
    };
    let mut head = RequestHead {
        method: request.method.unwrap_or("").to_string(),
        path: request.path.unwrap_or("").to_string(),
        body_len: 0,
        close: is_http_1_0(request.version),
        expects_continue: false,
        head_len,
    };
    read_request_headers(request.headers, &mut head)?;
    if head.body_len > max_body_bytes {
        return Err(HeadError::BodyTooLarge {
            bytes: head.body_len,
            max_bytes: max_body_bytes,
        });
    }
    Ok(Some(head))
}

fn read_request_headers(headers: &[Header], head: &mut RequestHead) -> Result<(), HeadError> {
    let mut declared_len = None;
    for header in headers {
        if header.name.eq_ignore_ascii_case("content-length") {
            let body_len = parse_length(header.value).ok_or(HeadError::Malformed)?;
            // If this server used one of two lengths and a proxy the other, they would see
            // different message boundaries (request smuggling).
            if declared_len.is_some_and(|declared| declared != body_len) {
                return Err(HeadError::Malformed);
            }
            declared_len = Some(body_len);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            // The protocol uses no transfer encoding, and a body of unknown size can't be bounded.
            return Err(HeadError::LengthRequired);
        } else if header.name.eq_ignore_ascii_case("connection") {
            head.close |= has_token(header.value, "close");
        } else if header.name.eq_ignore_ascii_case("expect") {
            head.expects_continue = has_token(header.value, "100-continue");
        }
    }
    head.body_len = declared_len.unwrap_or(0);
    Ok(())
}

/// Parses the head of a response from the bytes received so far. Returns `None` if it is
/// incomplete.
pub fn parse_response(received: &[u8]) -> Result<Option<ResponseHead>, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let head_len = match response.parse(received) {
        Ok(httparse::Status::Complete(head_len)) => head_len,
        Ok(httparse::Status::Partial) if received.len() > MAX_HEAD_BYTES => {
            return Err(HeadError::HeadTooLarge);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HeadError::HeadTooLarge),
        Err(_) => return Err(HeadError::Malformed),
    };
    let mut head = ResponseHead {
        status: response.code.unwrap_or(0),
        body_len: None,
        chunked: false,
        close: is_http_1_0(response.version),
        retry_after_s: None,
        head_len,
    };
    for header in response.headers.iter() {
        if header.name.eq_ignore_ascii_case("content-length") {
            let body_len = parse_length(header.value).ok_or(HeadError::Malformed)?;
            head.body_len = Some(body_len);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            head.chunked = has_token(header.value, "chunked");
        } else if header.name.eq_ignore_ascii_case("connection") {
            head.close |= has_token(header.value, "close");
        } else if header.name.eq_ignore_ascii_case("retry-after") {
            head.retry_after_s = parse_seconds(header.value);
        }
    }
    Ok(Some(head))
}

/// Returns whether the version is HTTP/1.0, which closes the connection after each response.
fn is_http_1_0(minor_version: Option<u8>) -> bool {
    minor_version == Some(0)
}

/// Parses the value of `Content-Length`. Checks for digits first, because `str::parse` also
/// accepts a sign.
fn parse_length(value: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(value).ok()?.trim();
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}

fn parse_seconds(value: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(value).ok()?;
    text.trim().parse().ok()
}

/// Returns whether a comma-separated header value contains a token, ignoring case.
fn has_token(value: &[u8], token: &str) -> bool {
    let Ok(text) = std::str::from_utf8(value) else {
        return false;
    };
    text.split(',')
        .any(|part| part.trim().eq_ignore_ascii_case(token))
}

/// Returns the reason phrase of a status code.
pub fn reason_phrase(status: u16) -> &'static str {
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
