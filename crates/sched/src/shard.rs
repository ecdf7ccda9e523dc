//! Shards: rendezvous hashing assigns machines to controllers, so that a change of the membership
//! moves only machines of the controller that joined or left.

/// FNV-1a's 64-bit offset basis and prime.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The first multiplier of MurmurHash3's 64-bit finalizer, and the shift around it.
const MIX_MULTIPLIER: u64 = 0xff51_afd7_ed55_8ccd;
const MIX_SHIFT: u32 = 33;

/// Returns the FNV-1a hash of both names with a finalizer, as the high bits of plain FNV depend too
/// little on the last bytes. All controllers must compute the same values.
fn hash(machine: &str, member: &str) -> u64 {
    let mut hash = FNV_OFFSET;
    for byte in machine.bytes().chain([0]).chain(member.bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    hash ^= hash >> MIX_SHIFT;
    hash = hash.wrapping_mul(MIX_MULTIPLIER);
    hash ^ (hash >> MIX_SHIFT)
}

/// Returns the member that owns a machine, or `None` if there are no members.
pub fn owner<'a>(machine: &str, members: &'a [String]) -> Option<&'a str> {
    members
        .iter()
        .max_by_key(|member| (hash(machine, member), member.as_str()))
        .map(String::as_str)
}
