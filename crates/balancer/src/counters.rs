//! What a balancer counts.

use loftdrift_counters::counter_set;
use loftdrift_wire::{GeneveError, InnerError};

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
        /// Dropped: the datagram ends inside the GENEVE header or options.
        dropped_truncated,
        /// Dropped: unknown GENEVE version.
        dropped_geneve_version,
        /// Dropped: the inner protocol is not IPv4.
        dropped_geneve_protocol,
        /// Dropped: unknown critical GENEVE option.
        dropped_geneve_option,
        /// Dropped: malformed steering option, or one where none belongs.
        dropped_steering_option,
        /// Dropped: control packet that is no echo.
        dropped_control,
        /// Dropped: inner packet is not a whole IPv4 packet.
        dropped_inner_malformed,
        /// Dropped: wrong IPv4 header checksum.
        dropped_inner_checksum,
        /// Dropped: fragment.
        dropped_inner_fragment,
        /// Dropped: neither TCP nor UDP.
        dropped_inner_transport,
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
}

impl BalancerCounters {
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
