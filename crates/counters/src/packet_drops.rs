//! Packets that do not decode, for every role that receives them.

use loftdrift_wire::{GeneveError, InnerError};

crate::counter_set! {
    /// Packets dropped because they do not decode, by reason.
    pub struct PacketDrops {
        /// Dropped: the datagram ends inside the GENEVE header or options.
        dropped_truncated,
        /// Dropped: unknown GENEVE version.
        dropped_geneve_version,
        /// Dropped: the inner protocol is not IPv4.
        dropped_geneve_protocol,
        /// Dropped: unknown critical GENEVE option.
        dropped_geneve_option,
        /// Dropped: steering option malformed, missing, or where none belongs.
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
    }
}

impl PacketDrops {
    /// Counts a datagram that is no GENEVE packet.
    pub fn count_geneve_error(&mut self, error: GeneveError) {
        match error {
            GeneveError::Truncated => self.dropped_truncated += 1,
            GeneveError::UnknownVersion => self.dropped_geneve_version += 1,
            GeneveError::UnknownProtocol => self.dropped_geneve_protocol += 1,
            GeneveError::UnknownCriticalOption => self.dropped_geneve_option += 1,
            GeneveError::Steering(_) => self.dropped_steering_option += 1,
        }
    }

    /// Counts an inner packet that is none of ours.
    pub fn count_inner_error(&mut self, error: InnerError) {
        match error {
            InnerError::Malformed => self.dropped_inner_malformed += 1,
            InnerError::Checksum => self.dropped_inner_checksum += 1,
            InnerError::Fragment => self.dropped_inner_fragment += 1,
            InnerError::UnknownTransport => self.dropped_inner_transport += 1,
        }
    }
}
