//! Batches what is sent to the same node, so that many flows share a message.

use crate::message::{MAX_PACKET_BYTES_PER_MESSAGE, Message, TrialPacket};
use crate::output::Output;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// Minimum time between two batches.
const BATCH_INTERVAL: Duration = Duration::from_millis(4);

/// Items that wait for the next batch, by destination.
#[derive(Debug)]
pub(crate) struct Batches<T> {
    by_peer: BTreeMap<SocketAddrV4, Vec<T>>,
    last_send: Option<Duration>,
    next_send: Option<Duration>,
}

impl<T> Default for Batches<T> {
    fn default() -> Self {
        Batches { by_peer: BTreeMap::new(), last_send: None, next_send: None }
    }
}

impl<T> Batches<T> {
    pub(crate) fn add(&mut self, now: Duration, to: SocketAddrV4, item: T) {
        let soonest = self.last_send.map_or(now, |last| now.max(last + BATCH_INTERVAL));
        self.next_send.get_or_insert(soonest);
        self.by_peer.entry(to).or_default().push(item);
    }

    pub(crate) fn next_send(&self) -> Option<Duration> {
        self.next_send
    }

    /// Removes and returns all items if a batch is due.
    pub(crate) fn take_due(&mut self, now: Duration) -> BTreeMap<SocketAddrV4, Vec<T>> {
        if self.next_send.is_none_or(|next| now < next) {
            return BTreeMap::new();
        }
        self.next_send = None;
        self.last_send = Some(now);
        std::mem::take(&mut self.by_peer)
    }
}

/// A packet on trial, with the balancer that gets the answer; shared by the agents that get it.
pub(crate) type SharedTrial = (SocketAddrV4, Arc<[u8]>);

impl Batches<SharedTrial> {
    /// Removes all packets on trial if a batch is due, and returns the messages that carry them from
    /// the node `me`.
    pub(crate) fn take_due_messages(&mut self, now: Duration, me: SocketAddrV4) -> Vec<Output> {
        let due = self.take_due(now).into_iter();
        let groups = due.flat_map(|(to, packets)| {
            split_by_size(packets).into_iter().map(move |group| (to, group))
        });
        let outputs =
            groups.map(|(to, packets)| Output::ToPeer { to, message: trial_message(packets, me) });
        outputs.collect()
    }
}

fn trial_message(mut packets: Vec<TrialPacket>, me: SocketAddrV4) -> Message {
    match packets.pop() {
        Some(packet) if packets.is_empty() && packet.balancer == me => {
            Message::TryForward { datagram: packet.datagram }
        }
        last => {
            packets.extend(last);
            Message::TryForwardBatch { packets }
        }
    }
}

/// Splits packets into groups that fit in one message each; a larger packet is alone.
fn split_by_size(packets: Vec<SharedTrial>) -> Vec<Vec<TrialPacket>> {
    let mut groups: Vec<Vec<TrialPacket>> = Vec::new();
    let mut group_bytes = 0;
    for (balancer, datagram) in packets {
        let packet = TrialPacket { balancer, datagram: datagram.to_vec() };
        let bytes = packet.datagram.len();
        let has_room = group_bytes + bytes <= MAX_PACKET_BYTES_PER_MESSAGE;
        match groups.last_mut().filter(|_| has_room) {
            Some(group) => {
                group.push(packet);
                group_bytes += bytes;
            }
            None => {
                groups.push(vec![packet]);
                group_bytes = bytes;
            }
        }
    }
    groups
}
