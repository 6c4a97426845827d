//! Hashes that every node computes alike.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Keys of the hash: fixed, as all nodes must agree; balance does not rest on their secrecy, since
/// tours choose by load.
const SCORE_KEYS: (u64, u64) = (0x6c6f_6674_6472_6966, 0x7473_636f_7265_0001);

/// A back end's rendezvous score in a bucket; the highest come first.
pub(crate) fn rendezvous_score(bucket: usize, backend: u16) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(SCORE_KEYS.0, SCORE_KEYS.1);
    hasher.write_u64(bucket as u64);
    hasher.write_u16(backend);
    hasher.finish()
}
