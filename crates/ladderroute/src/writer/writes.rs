//! Single writes of a transaction.

use wire::store::{Value, Write};

/// Returns the write of a value without a lease, which outlives this controller.
pub(super) fn put(key: String, value: Value) -> Write {
    Write::Put {
        key,
        value,
        lease: None,
    }
}
