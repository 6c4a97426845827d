//! Settings of the agent's core.

use std::net::SocketAddrV4;
use std::time::Duration;

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Name of the agent's back end, as given by the operator's `attach backend` command.
    pub backend: String,
    /// UDP address of the fabric (the network that spreads callers' packets over the balancers).
    /// Packets to callers are sent there.
    pub fabric: SocketAddrV4,
    /// Size of each of a TCP flow's two buffers, in bytes.
    pub flow_buffer_bytes: usize,
    /// Whether TCP timestamps carry a [`FlowCookie`](loftdrift_wire::FlowCookie) that names the
    /// back end.
    pub cookies: bool,
    /// How long a flow must stay unknown before its packets are answered with a reset. Must be
    /// longer than a configuration takes to reach every node, so that no flow is reset because
    /// nodes have different configurations.
    pub unknown_grace: Duration,
    /// Length of the warm-up (slow start): how long a back end that has come up gets less than its
    /// full share of new flows.
    pub ramp: Duration,
    /// A UDP flow ends after this time without packets.
    pub udp_idle: Duration,
    /// Seed of the flows' initial TCP sequence numbers.
    pub seed: u64,
}
