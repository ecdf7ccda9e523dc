//! What a transaction may hold.

/// Values are made no smaller than this many KiB, whatever the store refuses.
const MIN_VALUE_KB: f64 = 0.5;
/// Bytes of two KiB: as many KiB are half of so many bytes.
const TWO_KIB: f64 = 2048.0;

/// The limits of one transaction.
#[derive(Clone, Copy, Debug)]
pub struct TxnLimits {
    /// Most writes.
    pub max_writes: usize,
    /// Most KiB of a value.
    pub value_kb: f64,
}

impl TxnLimits {
    /// The limits to keep to once the store has called a transaction malformed that held so many writes,
    /// the largest value of so many bytes: first fewer writes, so that what is too large stands alone and
    /// the rest is written, then smaller values.
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
