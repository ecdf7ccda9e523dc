//! Sets of task indexes as sorted ranges, so that the set of a job of 100,000 tasks takes only a
//! few machine words.

const BITS_PER_BYTE: usize = 8;

/// A set of numbers, stored as sorted ranges `[from, to)` that neither overlap nor adjoin.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeSet(Vec<(u32, u32)>);

impl RangeSet {
    /// Returns the set of the numbers below `n`.
    pub fn full(n: u32) -> RangeSet {
        RangeSet(if n == 0 { Vec::new() } else { vec![(0, n)] })
    }

    /// Returns whether the set has no members.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the number of members.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|(from, to)| to - from).sum()
    }

    /// Returns whether `number` is a member.
    pub fn contains(&self, number: u32) -> bool {
        self.preceding_range_contains(self.first_range_after(number), number)
    }

    /// Returns the position of the first range that begins after `number`.
    fn first_range_after(&self, number: u32) -> usize {
        self.0.partition_point(|&(from, _)| from <= number)
    }

    /// Returns whether the range before `position` contains `number`. That range must begin no
    /// later than `number`.
    fn preceding_range_contains(&self, position: usize, number: u32) -> bool {
        position > 0 && number < self.0[position - 1].1
    }

    /// Adds a number. Returns whether it was not a member before.
    pub fn insert(&mut self, number: u32) -> bool {
        let position = self.first_range_after(number);
        if self.preceding_range_contains(position, number) {
            return false;
        }
        let joins_left = position > 0 && self.0[position - 1].1 == number;
        let joins_right = position < self.0.len() && self.0[position].0 == number + 1;
        match (joins_left, joins_right) {
            (true, true) => {
                self.0[position - 1].1 = self.0[position].1;
                self.0.remove(position);
            }
            (true, false) => self.0[position - 1].1 = number + 1,
            (false, true) => self.0[position].0 = number,
            (false, false) => self.0.insert(position, (number, number + 1)),
        }
        true
    }

    /// Removes a number. Returns whether it was a member.
    pub fn remove(&mut self, number: u32) -> bool {
        let after = self.first_range_after(number);
        if !self.preceding_range_contains(after, number) {
            return false;
        }
        let position = after - 1;
        let (from, to) = self.0[position];
        match (from == number, to == number + 1) {
            (true, true) => {
                self.0.remove(position);
            }
            (true, false) => self.0[position].0 = number + 1,
            (false, true) => self.0[position].1 = number,
            (false, false) => {
                self.0[position].1 = number;
                self.0.insert(after, (number + 1, to));
            }
        }
        true
    }

    /// Removes and returns the lowest member.
    pub fn pop_first(&mut self) -> Option<u32> {
        let first = self.0.first()?.0;
        self.remove(first);
        Some(first)
    }

    /// Iterates over the members in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|&(from, to)| from..to)
    }

    /// Encodes the members in `[from, to)` as a hexadecimal bitmap. In each byte, the least
    /// significant bit stands for the lowest number.
    pub fn to_hex_bitmap(&self, from: u32, to: u32) -> String {
        let mut bytes = vec![0u8; ((to - from) as usize).div_ceil(BITS_PER_BYTE)];
        for number in self.iter().filter(|number| (from..to).contains(number)) {
            let bit = (number - from) as usize;
            bytes[bit / BITS_PER_BYTE] |= 1 << (bit % BITS_PER_BYTE);
        }
        bytes.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Adds the numbers of a bitmap whose first bit stands for `from`, except those from `end` on.
    pub fn insert_bitmap(&mut self, from: u32, bits: &[u8], end: u32) {
        for (byte_index, byte) in bits.iter().enumerate() {
            for bit in 0..BITS_PER_BYTE {
                let number = from + (byte_index * BITS_PER_BYTE + bit) as u32;
                if byte >> bit & 1 == 1 && number < end {
                    self.insert(number);
                }
            }
        }
    }
}

/// Iterates over the indexes in (first, count) runs, in the order of the runs.
pub fn expand_runs(runs: &[(u32, u32)]) -> impl Iterator<Item = u32> + '_ {
    runs.iter()
        .flat_map(|&(first, count)| first..first.saturating_add(count))
}

/// Combines sorted indexes into (first, count) runs.
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
