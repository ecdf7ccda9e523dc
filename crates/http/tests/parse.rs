//! Heads of requests and responses: complete, cut short, and malformed ones.

use http::parse::*;

#[test]
fn a_head_is_taken_only_when_complete() {
    let whole =
        b"POST /v2/runs HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello";
    for cut in 0..whole.len() - 6 {
        assert_eq!(request(&whole[..cut], 100), Ok(None), "cut at {cut}");
    }
    let head = request(whole, 100).unwrap().unwrap();
    assert_eq!(
        (
            head.method.as_str(),
            head.path.as_str(),
            head.length,
            head.close
        ),
        ("POST", "/v2/runs", 5, true)
    );
    assert_eq!(&whole[head.head_len..], b"hello");
}

#[test]
fn limits_and_garbage_are_refused() {
    let with =
        |h: &str| request(format!("POST / HTTP/1.1\r\n{h}\r\n\r\n").as_bytes(), 100).unwrap_err();
    assert_eq!(with("Content-Length: 101"), Bad(413));
    assert_eq!(with("Content-Length: -1"), Bad(400));
    assert_eq!(with("Content-Length: 1\r\nContent-Length: 2"), Bad(400));
    assert_eq!(with("Transfer-Encoding: chunked"), Bad(411));
    assert_eq!(request(b"\x00\x01\x02garbage\r\n\r\n", 100), Err(Bad(400)));
    assert_eq!(request(&[b'a'; HEAD_LIMIT + 1], 100), Err(Bad(431)));
    let many = "X: y\r\n".repeat(HEADERS + 1);
    assert_eq!(
        request(format!("GET / HTTP/1.1\r\n{many}\r\n").as_bytes(), 100),
        Err(Bad(431))
    );
}

#[test]
fn a_response_says_when_to_come_back() {
    let head = response(
        b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n",
    )
    .unwrap()
    .unwrap();
    assert_eq!(
        (head.status, head.length, head.retry_after_s),
        (503, Some(0), Some(3.0))
    );
}
