//! What an agent counts.

use loftdrift_counters::counter_set;
use loftdrift_wire::{GeneveError, InnerError};

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
        /// Dropped: the datagram ends inside the GENEVE header or options.
        dropped_truncated,
        /// Dropped: unknown GENEVE version.
        dropped_geneve_version,
        /// Dropped: the inner protocol is not IPv4.
        dropped_geneve_protocol,
        /// Dropped: unknown critical GENEVE option.
        dropped_geneve_option,
        /// Dropped: steering option missing or malformed.
        dropped_steering_option,
        /// Dropped: control packet that is no echo request.
        dropped_control,
        /// Dropped: inner packet is not a whole IPv4 packet.
        dropped_inner_malformed,
        /// Dropped: wrong IPv4 header checksum.
        dropped_inner_checksum,
        /// Dropped: fragment.
        dropped_inner_fragment,
        /// Dropped: neither TCP nor UDP.
        dropped_inner_transport,
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
}

impl AgentCounters {
    pub(crate) fn count_geneve(&mut self, error: GeneveError) {
        match error {
            GeneveError::Truncated => self.dropped_truncated += 1,
            GeneveError::UnknownVersion => self.dropped_geneve_version += 1,
            GeneveError::UnknownProtocol => self.dropped_geneve_protocol += 1,
            GeneveError::UnknownCriticalOption => self.dropped_geneve_option += 1,
            GeneveError::Steering(_) => self.dropped_steering_option += 1,
        }
    }

    pub(crate) fn count_inner(&mut self, error: InnerError) {
        match error {
            InnerError::Malformed => self.dropped_inner_malformed += 1,
            InnerError::Checksum => self.dropped_inner_checksum += 1,
            InnerError::Fragment => self.dropped_inner_fragment += 1,
            InnerError::UnknownTransport => self.dropped_inner_transport += 1,
        }
    }
}
