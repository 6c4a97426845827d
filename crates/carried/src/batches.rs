//! Batches what is sent to the same node, so that many flows share a message.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
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

/// Splits packets into groups whose sizes add up to `max_bytes` at most; a larger packet is alone.
pub(crate) fn split_by_size<P: AsRef<[u8]>>(packets: Vec<P>, max_bytes: usize) -> Vec<Vec<P>> {
    let mut groups: Vec<Vec<P>> = Vec::new();
    let mut group_bytes = 0;
    for packet in packets {
        let bytes = packet.as_ref().len();
        match groups.last_mut().filter(|_| group_bytes + bytes <= max_bytes) {
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
