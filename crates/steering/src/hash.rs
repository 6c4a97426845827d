//! The rendezvous hash, which is the same on every node.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Keys of the hash. They are fixed, as all nodes must compute the same scores. They need not be
/// secret, since the agent for a new flow is selected by load.
const SCORE_KEYS: (u64, u64) = (0x6c6f_6674_6472_6966, 0x7473_636f_7265_0001);

/// A back end's rendezvous hashing score in a bucket. Back ends with higher scores are asked first.
pub(crate) fn rendezvous_score(bucket: usize, backend: u16) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(SCORE_KEYS.0, SCORE_KEYS.1);
    hasher.write_u64(bucket as u64);
    hasher.write_u16(backend);
    hasher.finish()
}
