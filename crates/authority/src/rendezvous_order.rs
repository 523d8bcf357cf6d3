//! Rendezvous hashing, by which all hosts agree on a preferred host without messages.

use zinniahinge_types::HostId;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the host with the highest score for `key`. Every process that sees the same hosts gets
/// the same one.
pub fn preferred_host<'a>(
    key: &str,
    hosts: impl IntoIterator<Item = &'a HostId>,
) -> Option<&'a HostId> {
    hosts
        .into_iter()
        .max_by_key(|host| (score(key, host), *host))
}

/// Returns a pseudo-random weight of `host` for `key`. A cryptographic hash isn't needed, because
/// operators choose both.
pub(crate) fn score(key: &str, host: &str) -> u64 {
    let seeded = fnv_hash(FNV_OFFSET, key.as_bytes());
    mix(fnv_hash(fnv_hash(seeded, &[0xff]), host.as_bytes()))
}

fn fnv_hash(state: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(state, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Applies the final step of SplitMix64. FNV alone spreads the last bytes poorly over the high
/// bits.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
