//! The agent's counters.

use crate::admission::DeclineReason;
use loftdrift_counters::{PacketDrops, counter_set};

counter_set! {
    /// Counters of one agent.
    pub struct AgentCounters {
        /// Datagrams received.
        received,
        /// Packets of flows that this agent owns.
        delivered,
        /// Packets forwarded to the agent of another candidate.
        passed_on,
        /// Flows opened here.
        flows_opened,
        /// Flows that ended.
        flows_ended,
        /// Flows whose socket to the back end failed.
        flows_failed,
        /// New flows refused with a reset because no candidate accepts new flows.
        opens_refused,
        /// New flows declined because the back end is at its connection limit.
        passed_over_full,
        /// New flows declined because the back end accepts no connections.
        passed_over_unreachable,
        /// New flows declined because the back end is leaving or the agent is stopping.
        passed_over_leaving,
        /// Dropped: the packet belongs to another service.
        refused_other_service,
        /// Dropped without a reset: no agent owns the flow, but the grace time has not passed.
        unknown_silent,
        /// Resets sent because no agent owns the flow.
        unknown_reset,
        /// Liveness echo requests answered.
        echoes_answered,
        /// Dropped: wrong TCP or UDP checksum.
        dropped_transport_checksum,
        /// Dropped: hop limit of agent-to-agent forwarding exceeded.
        dropped_hops,
        /// Dropped: no configuration has listed the back end yet.
        dropped_unconfigured,
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
        /// 1 if the back end accepts connections, else 0.
        backend_accepts,
        /// Flows that load the back end; closing and resetting flows are not counted.
        flows,
        /// Incarnation of the current configuration.
        configuration_incarnation,
        /// Revision of the current configuration.
        configuration_revision,
    }
    includes {
        /// Packets dropped because they do not decode.
        packets: PacketDrops,
    }
}

impl AgentCounters {
    pub(crate) fn count_declined(&mut self, reason: DeclineReason) {
        match reason {
            DeclineReason::Leaving => self.passed_over_leaving += 1,
            DeclineReason::Unreachable => self.passed_over_unreachable += 1,
            DeclineReason::Full => self.passed_over_full += 1,
        }
    }
}
