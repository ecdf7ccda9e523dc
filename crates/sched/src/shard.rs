//! Shards: machines are mapped to controllers by rendezvous hashing, so that a change of the
//! members moves only the machines of the member that came or went.

/// FNV-1a's 64-bit offset basis and prime.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The first multiplier of MurmurHash3's 64-bit finalizer, and the shift around it.
const MIX_MULTIPLIER: u64 = 0xff51_afd7_ed55_8ccd;
const MIX_SHIFT: u32 = 33;

/// FNV-1a of both names, with a final mix: FNV's high bits alone depend too little on the last bytes.
/// All controllers must agree on it.
fn hash(machine: &str, member: &str) -> u64 {
    let mut hash = FNV_OFFSET;
    for byte in machine.bytes().chain([0]).chain(member.bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    hash ^= hash >> MIX_SHIFT;
    hash = hash.wrapping_mul(MIX_MULTIPLIER);
    hash ^ (hash >> MIX_SHIFT)
}

/// The member that owns a machine; none without members.
pub fn owner<'a>(machine: &str, members: &'a [String]) -> Option<&'a str> {
    members
        .iter()
        .max_by_key(|member| (hash(machine, member), member.as_str()))
        .map(String::as_str)
}
