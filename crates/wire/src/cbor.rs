//! CBOR encoding and decoding through serde.
//!
//! The protocol defines amounts (CPUs, gigabytes, seconds) as floats, but senders may encode a
//! whole number as an integer; [`amount`] and [`optional_amount`] accept both.

use serde::de::{Deserializer, Error, Visitor};
use serde::{de::DeserializeOwned, Serialize};
use std::fmt;

/// Maximum nesting depth of arrays and maps that is decoded.
const RECURSION_LIMIT: usize = 16;

/// Initial capacity of the buffer for an encoded value, in bytes. Most bodies fit.
const TYPICAL_BODY_BYTES: usize = 128;

/// Error for a body that can't be decoded, with the decoder's message.
#[derive(Debug, thiserror::Error)]
#[error("malformed body: {0}")]
pub struct DecodeError(pub String);

/// Returns a value encoded as CBOR.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::with_capacity(TYPICAL_BODY_BYTES);
    // Writing to memory fails only for values that CBOR can't represent, which no type here has.
    if ciborium::into_writer(value, &mut out).is_err() {
        out.clear();
    }
    out
}

/// Decodes a value from CBOR.
///
/// The nesting depth is limited, so that a hostile body can't exhaust the stack.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, DecodeError> {
    ciborium::de::from_reader_with_recursion_limit(body, RECURSION_LIMIT)
        .map_err(|error| DecodeError(error.to_string()))
}

/// Visitor that accepts a finite float or an integer.
struct AmountVisitor;

impl Visitor<'_> for AmountVisitor {
    type Value = f64;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a finite number")
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<f64, E> {
        if value.is_finite() {
            Ok(value)
        } else {
            Err(E::custom("a number must be finite"))
        }
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<f64, E> {
        Ok(value as f64)
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<f64, E> {
        Ok(value as f64)
    }
}

/// Visitor that accepts null and everything that [`AmountVisitor`] accepts.
struct OptionalAmountVisitor;

impl<'de> Visitor<'de> for OptionalAmountVisitor {
    type Value = Option<f64>;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a number or null")
    }

    fn visit_none<E: Error>(self) -> Result<Self::Value, E> {
        Ok(None)
    }

    fn visit_unit<E: Error>(self) -> Result<Self::Value, E> {
        Ok(None)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Self::Value, D::Error> {
        amount(deserializer).map(Some)
    }
}

/// Deserializes an amount, which is a finite float or an integer. For use in `deserialize_with`.
pub fn amount<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    deserializer.deserialize_any(AmountVisitor)
}

/// Deserializes an amount that may be null. For use in `deserialize_with`.
pub fn optional_amount<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<f64>, D::Error> {
    deserializer
        .deserialize_option(OptionalAmountVisitor)
        .map_err(|error| D::Error::custom(error.to_string()))
}
