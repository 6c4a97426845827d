//! What a core asks of its embedder.

use crate::message::Message;
use std::net::{Ipv4Addr, SocketAddrV4};

/// What the embedder does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a packet to the back end; only an agent does.
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
        /// The node.
        to: SocketAddrV4,
        /// The message.
        message: Message,
    },
    /// Read the configuration in the shared store once, and tell whether it answered.
    ReadStore,
    /// Read the shared store's list of nodes once and have it audited.
    ReadMembers {
        /// The newest list is needed; otherwise one that may be old will do.
        is_urgent: bool,
    },
    /// Write this node's entry in the shared store's list again: it is missing there.
    WriteEntry,
    /// Find out whether anybody listens at the back end's port; only an agent does.
    ProbeBackend,
    /// Fetch a snapshot from a node whose configuration is newer.
    FetchSnapshot {
        /// The node.
        from: SocketAddrV4,
    },
}
