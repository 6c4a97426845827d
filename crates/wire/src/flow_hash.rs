//! The flow hash, which is the same on every node.

use crate::FlowKey;
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Keys of the hash. They are fixed, as all nodes must compute the same hash. They need not be
/// secret: the balance of load does not depend on them, since new flows are placed by load.
const FLOW_KEYS: (u64, u64) = (0x6c6f_6674_6472_6966, 0x7466_6c6f_7773_0001);

/// Hash of a flow's addresses, ports and transport protocol, the same on every node.
pub fn flow_hash(flow: &FlowKey) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(FLOW_KEYS.0, FLOW_KEYS.1);
    let addresses =
        (u64::from(flow.caller.ip().to_bits()) << 32) | u64::from(flow.service.ip().to_bits());
    let ports = (u64::from(flow.caller.port()) << 32)
        | (u64::from(flow.service.port()) << 16)
        | flow.transport as u64;
    hasher.write_u64(addresses);
    hasher.write_u64(ports);
    hasher.finish()
}
