//! Tests the parser with complete, incomplete and malformed heads of requests and responses.

// Test helpers unwrap, like the tests themselves.
#![allow(clippy::unwrap_used)]

use http::parse::{
    parse_request, parse_response, HeadError, RequestHead, MAX_HEADERS, MAX_HEAD_BYTES,
};

/// Maximum body size that the requests of these tests may declare, in bytes.
const MAX_BODY_BYTES: usize = 100;

fn parse(received: &[u8]) -> Result<Option<RequestHead>, HeadError> {
    parse_request(received, MAX_BODY_BYTES)
}

/// Returns the error for a request with these headers, and its status code.
fn rejection(headers: &str) -> (HeadError, u16) {
    let request = format!("POST / HTTP/1.1\r\n{headers}\r\n\r\n");
    let error = parse(request.as_bytes()).unwrap_err();
    (error, error.status())
}

#[test]
fn a_request_head_is_parsed_only_once_complete() {
    let request =
        b"POST /v2/runs HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello";
    for cut in 0..request.len() - 6 {
        assert_eq!(parse(&request[..cut]), Ok(None), "cut at {cut}");
    }
    let head = parse(request).unwrap().unwrap();
    assert_eq!(head.method, "POST");
    assert_eq!(head.path, "/v2/runs");
    assert_eq!(head.body_len, 5);
    assert!(head.close);
    assert_eq!(&request[head.head_len..], b"hello");
}

#[test]
fn oversized_and_malformed_requests_are_rejected() {
    let malformed = (HeadError::Malformed, 400);
    let too_large = HeadError::BodyTooLarge {
        bytes: MAX_BODY_BYTES + 1,
        max_bytes: MAX_BODY_BYTES,
    };
    assert_eq!(rejection("Content-Length: 101"), (too_large, 413));
    assert_eq!(rejection("Content-Length: -1"), malformed);
    let contradictory = "Content-Length: 1\r\nContent-Length: 2";
    assert_eq!(rejection(contradictory), malformed);
    let length_required = (HeadError::LengthRequired, 411);
    assert_eq!(rejection("Transfer-Encoding: chunked"), length_required);
    let garbage = b"\x00\x01\x02garbage\r\n\r\n";
    assert_eq!(parse(garbage), Err(HeadError::Malformed));
    let endless = [b'a'; MAX_HEAD_BYTES + 1];
    assert_eq!(parse(&endless), Err(HeadError::HeadTooLarge));
    let many = "X: y\r\n".repeat(MAX_HEADERS + 1);
    assert_eq!(rejection(&many), (HeadError::HeadTooLarge, 431));
}

#[test]
fn a_response_head_gives_retry_after_in_seconds() {
    let response =
        b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n";
    let head = parse_response(response).unwrap().unwrap();
    assert_eq!(head.status, 503);
    assert_eq!(head.body_len, Some(0));
    assert_eq!(head.retry_after_s, Some(3.0));
}
