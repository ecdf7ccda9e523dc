//! The single writes of a transaction.

use wire::store::{Value, Write};

/// Puts a value that outlives this controller.
pub(super) fn put(key: String, value: Value) -> Write {
    Write::Put {
        key,
        value,
        lease: None,
    }
}
