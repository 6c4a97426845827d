//! Counters of packets that cannot be decoded, shared by all roles that receive packets.

use loftdrift_wire::{GeneveError, InnerError};

crate::counter_set! {
    /// Packets dropped because they cannot be decoded, by reason.
    pub struct PacketDrops {
        /// Dropped: the datagram ends inside the GENEVE header or options.
        dropped_truncated,
        /// Dropped: unknown GENEVE version.
        dropped_geneve_version,
        /// Dropped: the inner protocol is not IPv4.
        dropped_geneve_protocol,
        /// Dropped: unknown critical GENEVE option.
        dropped_geneve_option,
        /// Dropped: steering option malformed, missing, or present where none is allowed.
        dropped_steering_option,
        /// Dropped: control packet other than a liveness echo.
        dropped_control,
        /// Dropped: inner packet is not a complete IPv4 packet.
        dropped_inner_malformed,
        /// Dropped: wrong checksum in the inner IPv4 header.
        dropped_inner_checksum,
        /// Dropped: inner packet is an IPv4 fragment.
        dropped_inner_fragment,
        /// Dropped: inner packet is neither TCP nor UDP.
        dropped_inner_transport,
    }
}

impl PacketDrops {
    /// Counts a datagram whose GENEVE header or options cannot be decoded.
    pub fn count_geneve_error(&mut self, error: GeneveError) {
        match error {
            GeneveError::Truncated => self.dropped_truncated += 1,
            GeneveError::UnknownVersion => self.dropped_geneve_version += 1,
            GeneveError::UnknownProtocol => self.dropped_geneve_protocol += 1,
            GeneveError::UnknownCriticalOption => self.dropped_geneve_option += 1,
            GeneveError::Steering(_) => self.dropped_steering_option += 1,
        }
    }

    /// Counts an inner packet that cannot be decoded.
    pub fn count_inner_error(&mut self, error: InnerError) {
        match error {
            InnerError::Malformed => self.dropped_inner_malformed += 1,
            InnerError::Checksum => self.dropped_inner_checksum += 1,
            InnerError::Fragment => self.dropped_inner_fragment += 1,
            InnerError::UnknownTransport => self.dropped_inner_transport += 1,
        }
    }
}
