//! Parts: machines are mapped to controllers by rendezvous hashing, so that a change of the
//! members moves only the machines of the member that came or went.

/// FNV-1a with a final mix; the same on every controller.
fn hash(a: &str, b: &str) -> u64 {
    let mut h: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in a.bytes().chain([0]).chain(b.bytes()) {
        h = (h ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    h ^= h >> 33;
    h = h.wrapping_mul(0xff51_afd7_ed55_8ccd);
    h ^ (h >> 33)
}

/// The member that owns a machine; none without members.
pub fn owner<'a>(machine: &str, members: &'a [String]) -> Option<&'a str> {
    members
        .iter()
        .max_by_key(|m| (hash(machine, m), m.as_str()))
        .map(String::as_str)
}
