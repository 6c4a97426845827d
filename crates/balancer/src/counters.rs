//! The balancer's counters.

use loftdrift_counters::{PacketDrops, counter_set};

counter_set! {
    /// Counters of one balancer.
    pub struct BalancerCounters {
        /// Datagrams received.
        received,
        /// Packets forwarded to an agent.
        forwarded,
        /// SYNs for known services: packets that open a TCP flow.
        forwarded_opens,
        /// Packets whose flow cookie named a back end of their service.
        forwarded_by_cookie,
        /// Liveness echo requests answered.
        echoes_answered,
        /// Liveness echo requests not answered: while draining, and before the first configuration.
        echoes_unanswered,
        /// Dropped: no service has the destination address.
        dropped_unknown_service,
        /// Dropped: the service has no back end that may own the flow.
        dropped_no_candidate,
        /// Dropped: larger than the largest packet that is forwarded.
        dropped_oversized,
        /// Packets that the socket failed to send.
        send_failures,
        /// Bytes of liveness echoes sent and received.
        control_bytes,
        /// Configurations applied.
        configurations_adopted,
        /// Configurations ignored because they were not newer than the current one.
        configurations_passed_over,
    }
    gauges {
        /// Incarnation of the current configuration.
        configuration_incarnation,
        /// Revision of the current configuration.
        configuration_revision,
        /// Agents that this balancer suspects to be dead.
        suspects,
    }
    includes {
        /// Packets dropped because they do not decode.
        packets: PacketDrops,
    }
}
