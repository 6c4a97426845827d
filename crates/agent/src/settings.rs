//! How an agent is set up.

use std::net::SocketAddrV4;
use std::time::Duration;

/// Settings of an agent's core.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Name of the back end beside it, as operators attached it.
    pub backend: String,
    /// UDP address of the fabric, to which answers go.
    pub fabric: SocketAddrV4,
    /// Size of each of a TCP flow's two buffers, in bytes.
    pub flow_buffer_bytes: usize,
    /// Whether flows carry the back end's identity in their TCP timestamps.
    pub cookies: bool,
    /// How long a flow must stay unknown before its packets are answered with a reset. Longer than
    /// a configuration takes to reach every node, so that a flow is never reset for a disagreement.
    pub unknown_grace: Duration,
    /// A back end that has come up works up to its full share of new flows for so long.
    pub ramp: Duration,
    /// A UDP flow without packets for so long is over.
    pub udp_idle: Duration,
    /// Seed of the flows' initial sequence numbers.
    pub seed: u64,
}
