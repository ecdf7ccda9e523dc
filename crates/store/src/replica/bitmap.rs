//! Sets of task numbers as bitmaps, which the store's records hold as hexadecimal text.

const BITS_PER_BYTE: usize = 8;
const HEX_DIGITS_PER_BYTE: usize = 2;
const HEX_RADIX: u32 = 16;

/// Set of task numbers of one job, one bit each. The lowest bit of the first byte is task 0.
///
/// Invariant: bits are only ever added.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bitmap(Vec<u8>);

impl Bitmap {
    /// Adds the tasks in a bitmap whose first bit is `first_task`, which is a multiple of eight.
    pub fn merge(&mut self, first_task: u32, section: &[u8]) {
        let start = first_task as usize / BITS_PER_BYTE;
        let end = start + section.len();
        if self.0.len() < end {
            self.0.resize(end, 0);
        }
        for (byte, added) in self.0[start..].iter_mut().zip(section) {
            *byte |= added;
        }
    }

    /// Returns the number of tasks in the set.
    pub fn count(&self) -> u32 {
        self.0.iter().map(|byte| byte.count_ones()).sum()
    }

    /// Returns the bits from task 0 on.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

/// Decodes a bitmap from hexadecimal text. Pairs of characters that are not hexadecimal are
/// skipped.
pub fn decode_hex_bitmap(text: &str) -> Vec<u8> {
    let byte = |pair: &[u8]| {
        let digits = std::str::from_utf8(pair).ok()?;
        u8::from_str_radix(digits, HEX_RADIX).ok()
    };
    text.as_bytes()
        .chunks(HEX_DIGITS_PER_BYTE)
        .filter_map(byte)
        .collect()
}
