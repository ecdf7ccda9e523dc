//! Limits of a transaction, and how they are lowered after the store has refused one.

/// Size in KiB below which the maximum value size is never lowered, whatever the store refuses.
const MIN_VALUE_KB: f64 = 0.5;
/// Bytes in two KiB. A size in bytes divided by this is half of that size, in KiB.
const TWO_KIB: f64 = 2048.0;

/// Limits of one transaction.
#[derive(Clone, Copy, Debug)]
pub struct TxnLimits {
    /// Maximum number of writes.
    pub max_writes: usize,
    /// Maximum size of a value in KiB.
    pub value_kb: f64,
}

impl TxnLimits {
    /// Returns the limits to use after the store has refused a transaction as malformed, given its
    /// number of writes and the size of its largest value. The number of writes is halved first, so
    /// that a value that is too large ends up alone and the rest is written. Once it is alone, the
    /// value limit becomes half of its size.
    pub fn lowered(self, writes: usize, largest_bytes: usize) -> TxnLimits {
        if writes > 1 {
            return TxnLimits {
                max_writes: writes / 2,
                ..self
            };
        }
        let half_kb = largest_bytes as f64 / TWO_KIB;
        TxnLimits {
            value_kb: half_kb.clamp(MIN_VALUE_KB, self.value_kb.max(MIN_VALUE_KB)),
            ..self
        }
    }
}
