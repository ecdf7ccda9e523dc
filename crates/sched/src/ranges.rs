//! Sets of task indexes as sorted ranges, so that a job of 100,000 tasks costs a few words.

/// A set of numbers, kept as sorted ranges `[from, to)` that don't touch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ranges(Vec<(u32, u32)>);

impl Ranges {
    pub fn full(n: u32) -> Ranges {
        Ranges(if n == 0 { Vec::new() } else { vec![(0, n)] })
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn len(&self) -> u32 {
        self.0.iter().map(|(a, b)| b - a).sum()
    }

    pub fn contains(&self, i: u32) -> bool {
        let at = self.0.partition_point(|&(a, _)| a <= i);
        at > 0 && i < self.0[at - 1].1
    }

    pub fn insert(&mut self, i: u32) -> bool {
        let at = self.0.partition_point(|&(a, _)| a <= i);
        if at > 0 && i < self.0[at - 1].1 {
            return false;
        }
        let joins_left = at > 0 && self.0[at - 1].1 == i;
        let joins_right = at < self.0.len() && self.0[at].0 == i + 1;
        match (joins_left, joins_right) {
            (true, true) => {
                self.0[at - 1].1 = self.0[at].1;
                self.0.remove(at);
            }
            (true, false) => self.0[at - 1].1 = i + 1,
            (false, true) => self.0[at].0 = i,
            (false, false) => self.0.insert(at, (i, i + 1)),
        }
        true
    }

    pub fn remove(&mut self, i: u32) -> bool {
        let at = self.0.partition_point(|&(a, _)| a <= i);
        if at == 0 || i >= self.0[at - 1].1 {
            return false;
        }
        let (a, b) = self.0[at - 1];
        match (a == i, b == i + 1) {
            (true, true) => {
                self.0.remove(at - 1);
            }
            (true, false) => self.0[at - 1].0 = i + 1,
            (false, true) => self.0[at - 1].1 = i,
            (false, false) => {
                self.0[at - 1].1 = i;
                self.0.insert(at, (i + 1, b));
            }
        }
        true
    }

    /// Takes the lowest member out.
    pub fn pop_first(&mut self) -> Option<u32> {
        let first = self.0.first()?.0;
        self.remove(first);
        Some(first)
    }

    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|&(a, b)| a..b)
    }

    /// The set as a bitmap in hexadecimal for numbers `[from, to)`.
    pub fn hex(&self, from: u32, to: u32) -> String {
        let mut bytes = vec![0u8; ((to - from) as usize).div_ceil(8)];
        for i in self.iter().filter(|i| (from..to).contains(i)) {
            let at = (i - from) as usize;
            bytes[at / 8] |= 1 << (at % 8);
        }
        bytes.iter().map(|b| format!("{b:02x}")).collect()
    }

    /// Adds the numbers of a bitmap that begins at `from`.
    pub fn add_bits(&mut self, from: u32, bits: &[u8], below: u32) {
        for (at, byte) in bits.iter().enumerate() {
            for bit in 0..8 {
                let i = from + (at * 8 + bit) as u32;
                if byte >> bit & 1 == 1 && i < below {
                    self.insert(i);
                }
            }
        }
    }
}

/// The indexes of (first, count) runs, in their order.
pub fn indexes_of(runs: &[(u32, u32)]) -> impl Iterator<Item = u32> + '_ {
    runs.iter()
        .flat_map(|&(first, count)| first..first.saturating_add(count))
}

/// Joins sorted indexes into (first, count) runs.
pub fn runs(indexes: impl IntoIterator<Item = u32>) -> Vec<(u32, u32)> {
    let mut out: Vec<(u32, u32)> = Vec::new();
    for i in indexes {
        match out.last_mut() {
            Some((a, n)) if *a + *n == i => *n += 1,
            _ => out.push((i, 1)),
        }
    }
    out
}
