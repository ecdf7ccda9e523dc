//! What a sample is: its bytes now, and how bytes of its kind are read.

use std::fmt::Debug;
use wire::cbor::{decode, encode};
use wire::peers::{frame, unframe};

/// Bytes that come before the inside of a frame.
const LENGTH_BYTES: usize = 4;

/// What was read, in words, and its bytes when it is written again; or why it can't be read.
type Read = Result<(String, Vec<u8>), String>;

/// A value, as it is written now.
pub struct Sample {
    pub name: String,
    /// The value, in words.
    pub content: String,
    pub bytes: Vec<u8>,
    /// Reads bytes as a value of this type.
    pub read: fn(&[u8]) -> Read,
    /// Whether the test of changed fields uses it.
    pub change_fields: bool,
}

/// A sample of a body or of a record.
pub fn body<T>(name: impl Into<String>, value: &T) -> Sample
where
    T: serde::Serialize + serde::de::DeserializeOwned + Debug,
{
    Sample {
        name: name.into(),
        content: format!("{value:?}"),
        bytes: encode(value),
        read: |bytes| {
            let value: T = decode(bytes).map_err(|e| e.to_string())?;
            Ok((format!("{value:?}"), encode(&value)))
        },
        change_fields: false,
    }
}

/// The sample of a type that stands for it in the test of changed fields.
pub fn fields<T>(name: impl Into<String>, value: &T) -> Sample
where
    T: serde::Serialize + serde::de::DeserializeOwned + Debug,
{
    Sample {
        change_fields: true,
        ..body(name, value)
    }
}

/// A sample of a frame between controllers.
pub fn framed<T>(name: impl Into<String>, message: &T) -> Sample
where
    T: bitcode::Encode + for<'a> bitcode::Decode<'a> + Debug,
{
    Sample {
        name: name.into(),
        content: format!("{message:?}"),
        bytes: frame(message),
        read: |bytes| {
            let message: T = unframe(&bytes[LENGTH_BYTES..]).ok_or("no message")?;
            Ok((format!("{message:?}"), frame(&message)))
        },
        change_fields: false,
    }
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

pub fn from_hex(text: &str) -> Vec<u8> {
    (0..text.len() / 2)
        .map(|i| u8::from_str_radix(&text[2 * i..2 * i + 2], 16).unwrap())
        .collect()
}
