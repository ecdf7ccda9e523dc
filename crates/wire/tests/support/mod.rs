//! Fixtures hold bytes in hexadecimal.

// The helpers of these tests unwrap as the tests do.
#![allow(clippy::unwrap_used)]

/// Parses bytes in hexadecimal.
pub fn from_hex(text: &str) -> Vec<u8> {
    let bytes = text.len() / 2;
    (0..bytes)
        .map(|i| u8::from_str_radix(&text[2 * i..2 * i + 2], 16).unwrap())
        .collect()
}
