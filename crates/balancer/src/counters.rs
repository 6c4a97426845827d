//! What a balancer counts.

use loftdrift_counters::{PacketDrops, counter_set};

counter_set! {
    /// Counters of one balancer.
    pub struct BalancerCounters {
        /// Datagrams received.
        received,
        /// Packets sent on to an agent.
        forwarded,
        /// Packets that opened a flow.
        forwarded_opens,
        /// Packets whose cookie named the back end.
        forwarded_by_cookie,
        /// Liveness echoes answered.
        echoes_answered,
        /// Liveness echoes left unanswered while draining.
        echoes_unanswered,
        /// Dropped: no service at that address.
        dropped_unknown_service,
        /// Dropped: the service has no back end that could hold the flow.
        dropped_no_candidate,
        /// Dropped: longer than a datagram may be.
        dropped_oversized,
        /// Packets that the socket did not take.
        send_failures,
        /// Bytes of liveness echoes sent and received.
        control_bytes,
        /// Configurations adopted.
        configurations_adopted,
        /// Configurations passed over as not newer.
        configurations_passed_over,
    }
    gauges {
        /// Incarnation of the configuration in force.
        configuration_incarnation,
        /// Revision of the configuration in force.
        configuration_revision,
        /// Agents believed dead.
        suspects,
    }
    includes {
        /// Packets that do not decode.
        packets: PacketDrops,
    }
}
