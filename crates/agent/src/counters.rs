//! What an agent counts.

use crate::admission::Refusal;
use loftdrift_counters::{PacketDrops, counter_set};

counter_set! {
    /// Counters of one agent.
    pub struct AgentCounters {
        /// Datagrams received.
        received,
        /// Packets of flows that live here.
        delivered,
        /// Packets passed on to the next candidate.
        passed_on,
        /// Flows opened here.
        flows_opened,
        /// Flows that ended.
        flows_ended,
        /// Flows whose socket to the back end failed.
        flows_failed,
        /// New flows refused, as no candidate takes any.
        opens_refused,
        /// New flows passed over here because the back end is full.
        passed_over_full,
        /// New flows passed over here because the back end accepts no connections.
        passed_over_unreachable,
        /// New flows passed over here because the back end is leaving or the agent is stopping.
        passed_over_leaving,
        /// Refused: the packet is of another service.
        refused_other_service,
        /// Dropped: nobody knows the flow yet; answered with silence.
        unknown_silent,
        /// Resets sent for flows that nobody knows.
        unknown_reset,
        /// Liveness echoes answered.
        echoes_answered,
        /// Dropped: wrong TCP or UDP checksum.
        dropped_transport_checksum,
        /// Dropped: passed on too often.
        dropped_hops,
        /// Dropped: the back end is not in the configuration.
        dropped_unconfigured,
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
        /// 1 when the back end accepts connections.
        backend_accepts,
        /// Flows that live here.
        flows,
        /// Incarnation of the configuration in force.
        configuration_incarnation,
        /// Revision of the configuration in force.
        configuration_revision,
    }
    includes {
        /// Packets that do not decode.
        packets: PacketDrops,
    }
}

impl AgentCounters {
    pub(crate) fn count_refusal(&mut self, refusal: Refusal) {
        match refusal {
            Refusal::Leaving => self.passed_over_leaving += 1,
            Refusal::Unreachable => self.passed_over_unreachable += 1,
            Refusal::Full => self.passed_over_full += 1,
        }
    }
}
