//! Actions that a core asks its driver to take.

use crate::message::Message;
use std::net::{Ipv4Addr, SocketAddrV4};

/// What the driver does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a packet to the back end; agents only.
    ToBackend(Vec<u8>),
    /// Send a packet to a caller.
    ToCaller {
        /// The caller's host.
        host: Ipv4Addr,
        /// The packet.
        datagram: Vec<u8>,
    },
    /// Send a message to a node.
    ToPeer {
        /// The node's address.
        to: SocketAddrV4,
        /// The message.
        message: Message,
    },
    /// Read the configuration in the shared store once, and report whether the store answered.
    ReadStore,
    /// Read the shared store's list of nodes once and pass it on for an audit.
    ReadMembers {
        /// The newest list is needed; otherwise a possibly stale read is enough.
        is_urgent: bool,
    },
    /// Write this node's entry in the shared store's list again, because it is missing there.
    WriteEntry,
    /// Check whether a process listens at the back end's port; agents only.
    ProbeBackend,
    /// Fetch a snapshot from a node whose configuration is newer.
    FetchSnapshot {
        /// The node's address.
        from: SocketAddrV4,
    },
}
