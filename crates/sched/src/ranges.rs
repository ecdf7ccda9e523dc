//! Sets of task indexes as sorted ranges, so that a job of 100,000 tasks costs a few words.

const BITS_PER_BYTE: usize = 8;

/// A set of numbers, kept as sorted ranges `[from, to)` that don't touch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeSet(Vec<(u32, u32)>);

impl RangeSet {
    /// The numbers below `n`.
    pub fn full(n: u32) -> RangeSet {
        RangeSet(if n == 0 { Vec::new() } else { vec![(0, n)] })
    }

    /// Whether it has no member.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// How many members it has.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|(from, to)| to - from).sum()
    }

    /// Whether `number` is a member.
    pub fn contains(&self, number: u32) -> bool {
        self.holds_before(self.position_after(number), number)
    }

    /// The position of the first range that begins after `number`.
    fn position_after(&self, number: u32) -> usize {
        self.0.partition_point(|&(from, _)| from <= number)
    }

    /// Whether the range before position `at`, which begins no later than `number`, has it.
    fn holds_before(&self, at: usize, number: u32) -> bool {
        at > 0 && number < self.0[at - 1].1
    }

    /// Adds a number; says whether it is new.
    pub fn insert(&mut self, number: u32) -> bool {
        let at = self.position_after(number);
        if self.holds_before(at, number) {
            return false;
        }
        let joins_left = at > 0 && self.0[at - 1].1 == number;
        let joins_right = at < self.0.len() && self.0[at].0 == number + 1;
        match (joins_left, joins_right) {
            (true, true) => {
                self.0[at - 1].1 = self.0[at].1;
                self.0.remove(at);
            }
            (true, false) => self.0[at - 1].1 = number + 1,
            (false, true) => self.0[at].0 = number,
            (false, false) => self.0.insert(at, (number, number + 1)),
        }
        true
    }

    /// Takes a number out; says whether it was a member.
    pub fn remove(&mut self, number: u32) -> bool {
        let after = self.position_after(number);
        if !self.holds_before(after, number) {
            return false;
        }
        let at = after - 1;
        let (from, to) = self.0[at];
        match (from == number, to == number + 1) {
            (true, true) => {
                self.0.remove(at);
            }
            (true, false) => self.0[at].0 = number + 1,
            (false, true) => self.0[at].1 = number,
            (false, false) => {
                self.0[at].1 = number;
                self.0.insert(after, (number + 1, to));
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

    /// The members in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|&(from, to)| from..to)
    }

    /// The set as a bitmap in hexadecimal for the numbers `[from, to)`: in each byte the lowest bit
    /// stands for the lowest number.
    pub fn to_hex_bitmap(&self, from: u32, to: u32) -> String {
        let mut bytes = vec![0u8; ((to - from) as usize).div_ceil(BITS_PER_BYTE)];
        for number in self.iter().filter(|number| (from..to).contains(number)) {
            let at = (number - from) as usize;
            bytes[at / BITS_PER_BYTE] |= 1 << (at % BITS_PER_BYTE);
        }
        bytes.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Adds the numbers of a bitmap that begins at `from`, except those from `below` on.
    pub fn insert_bitmap(&mut self, from: u32, bits: &[u8], below: u32) {
        for (at, byte) in bits.iter().enumerate() {
            for bit in 0..BITS_PER_BYTE {
                let number = from + (at * BITS_PER_BYTE + bit) as u32;
                if byte >> bit & 1 == 1 && number < below {
                    self.insert(number);
                }
            }
        }
    }
}

/// The indexes of (first, count) runs, in their order.
pub fn expand_runs(runs: &[(u32, u32)]) -> impl Iterator<Item = u32> + '_ {
    runs.iter()
        .flat_map(|&(first, count)| first..first.saturating_add(count))
}

/// Joins sorted indexes into (first, count) runs.
pub fn to_runs(indexes: impl IntoIterator<Item = u32>) -> Vec<(u32, u32)> {
    let mut joined: Vec<(u32, u32)> = Vec::new();
    for index in indexes {
        match joined.last_mut() {
            Some((first, count)) if *first + *count == index => *count += 1,
            _ => joined.push((index, 1)),
        }
    }
    joined
}
