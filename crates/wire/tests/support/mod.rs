//! Helpers for fixtures, which hold bytes in hexadecimal.

// Test helpers unwrap, like the tests themselves.
#![allow(clippy::unwrap_used)]

/// Decodes hexadecimal digits to bytes.
pub fn from_hex(text: &str) -> Vec<u8> {
    let bytes = text.len() / 2;
    (0..bytes)
        .map(|i| u8::from_str_radix(&text[2 * i..2 * i + 2], 16).unwrap())
        .collect()
}
