//! A sample: a value, its encoding by this version, and the decoder of its type.

use std::fmt::Debug;
use wire::cbor::{decode, encode};
use wire::peers::{decode_frame, encode_frame, LENGTH_BYTES};

/// The decoded value's `Debug` text and its encoding, or the error.
type Decoded = Result<(String, Vec<u8>), String>;

/// A value and its encoding.
pub struct Sample {
    /// Name in the fixtures.
    pub name: String,
    /// The value's `Debug` text.
    pub debug_text: String,
    /// Its encoding by this version.
    pub bytes: Vec<u8>,
    /// Decodes a value of this type.
    pub decode: fn(&[u8]) -> Decoded,
    /// Whether the test of changed fields includes it.
    pub mutate_fields: bool,
}

/// A sample of a body or of a record.
pub fn body<T>(name: impl Into<String>, value: &T) -> Sample
where
    T: serde::Serialize + serde::de::DeserializeOwned + Debug,
{
    Sample {
        name: name.into(),
        debug_text: format!("{value:?}"),
        bytes: encode(value),
        decode: |bytes| {
            let value: T = decode(bytes).map_err(|e| e.to_string())?;
            Ok((format!("{value:?}"), encode(&value)))
        },
        mutate_fields: false,
    }
}

/// A sample that represents its type in the test of changed fields.
pub fn body_with_mutations<T>(name: impl Into<String>, value: &T) -> Sample
where
    T: serde::Serialize + serde::de::DeserializeOwned + Debug,
{
    Sample {
        mutate_fields: true,
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
        debug_text: format!("{message:?}"),
        bytes: encode_frame(message),
        decode: |bytes| {
            let message: T = decode_frame(&bytes[LENGTH_BYTES..]).ok_or("no message")?;
            Ok((format!("{message:?}"), encode_frame(&message)))
        },
        mutate_fields: false,
    }
}

/// Bytes in hexadecimal, as in the fixtures.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
