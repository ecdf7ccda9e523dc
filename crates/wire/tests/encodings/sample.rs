//! Samples: values with their encodings by this version, and the decoders of their types.

use std::fmt::Debug;
use wire::cbor::{decode, encode};
use wire::peers::{decode_frame, encode_frame, LENGTH_BYTES};

/// `Debug` text and new encoding of a decoded value, or the error text.
type Decoded = Result<(String, Vec<u8>), String>;

/// A value, its encoding, and a decoder.
pub struct Sample {
    /// Name of the sample in the fixtures.
    pub name: String,
    /// `Debug` text of the value.
    pub debug_text: String,
    /// Encoding of the value by this version.
    pub bytes: Vec<u8>,
    /// Decodes a value of this type.
    pub decode: fn(&[u8]) -> Decoded,
    /// Whether the test of changed fields includes the sample.
    pub mutate_fields: bool,
}

/// Returns a sample of a body or a record.
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

/// Returns a sample of a body or a record that represents its type in the test of changed fields.
pub fn body_with_mutations<T>(name: impl Into<String>, value: &T) -> Sample
where
    T: serde::Serialize + serde::de::DeserializeOwned + Debug,
{
    Sample {
        mutate_fields: true,
        ..body(name, value)
    }
}

/// Returns a sample of a frame between controllers.
pub fn framed<T>(name: impl Into<String>, message: &T) -> Sample
where
    T: bitcode::Encode + for<'a> bitcode::Decode<'a> + Debug,
{
    Sample {
        name: name.into(),
        debug_text: format!("{message:?}"),
        bytes: encode_frame(message),
        decode: |bytes| {
            let message: T =
                decode_frame(&bytes[LENGTH_BYTES..]).ok_or("the frame can't be decoded")?;
            Ok((format!("{message:?}"), encode_frame(&message)))
        },
        mutate_fields: false,
    }
}

/// Encodes bytes in hexadecimal, as in the fixtures.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
