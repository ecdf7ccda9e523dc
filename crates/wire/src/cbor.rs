//! CBOR by serde, with the protocol's view of numbers: amounts are decimals, yet an integer
//! that a sender wrote instead is taken as well.

use serde::de::{Deserializer, Error as _, Visitor};
use serde::{de::DeserializeOwned, Serialize};

/// Why a body could not be read.
#[derive(Debug, thiserror::Error)]
#[error("malformed body: {0}")]
pub struct Malformed(pub String);

/// Writes a value as CBOR.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::with_capacity(128);
    // Writing to memory fails only for values that can't be represented; ours all can.
    if ciborium::into_writer(value, &mut out).is_err() {
        out.clear();
    }
    out
}

/// Reads a value from CBOR; nested bodies are limited in depth, so hostile ones cost little.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Malformed> {
    ciborium::de::from_reader_with_recursion_limit(body, 16).map_err(|e| Malformed(e.to_string()))
}

struct Amount;

impl Visitor<'_> for Amount {
    type Value = f64;

    fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("a finite number")
    }
    fn visit_f64<E: serde::de::Error>(self, v: f64) -> Result<f64, E> {
        if v.is_finite() {
            Ok(v)
        } else {
            Err(E::custom("a number must be finite"))
        }
    }
    fn visit_u64<E: serde::de::Error>(self, v: u64) -> Result<f64, E> {
        Ok(v as f64)
    }
    fn visit_i64<E: serde::de::Error>(self, v: i64) -> Result<f64, E> {
        Ok(v as f64)
    }
}

/// Reads an amount written as decimal or integer.
pub fn amount<'de, D: Deserializer<'de>>(d: D) -> Result<f64, D::Error> {
    d.deserialize_any(Amount)
}

/// Reads an amount that may be null.
pub fn amount_opt<'de, D: Deserializer<'de>>(d: D) -> Result<Option<f64>, D::Error> {
    struct Opt;
    impl<'de> Visitor<'de> for Opt {
        type Value = Option<f64>;
        fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
            f.write_str("a number or null")
        }
        fn visit_none<E: serde::de::Error>(self) -> Result<Self::Value, E> {
            Ok(None)
        }
        fn visit_unit<E: serde::de::Error>(self) -> Result<Self::Value, E> {
            Ok(None)
        }
        fn visit_some<D: Deserializer<'de>>(self, d: D) -> Result<Self::Value, D::Error> {
            amount(d).map(Some)
        }
    }
    d.deserialize_option(Opt)
        .map_err(|e| D::Error::custom(e.to_string()))
}
