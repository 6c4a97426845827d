//! Failure detector: finds out which peers reply, by probing them within a rate limit. Without I/O
//! or clock: the embedder calls [`Prober::tick`] with the time, sends the probes that it returns
//! and reports replies.
//!
//! The result is the view of one node. Its users may only let it change the order in which they ask
//! peers, or which peers get new work.

use loftdrift_wire::{Echo, EchoKind};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Intervals and limits of probing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeSettings {
    /// Time from a peer's reply to its next probe, and between probes of a dead peer.
    pub interval: Duration,
    /// Time to wait for a reply before the probe counts as missed and the next one is sent.
    pub timeout: Duration,
    /// Number of probes missed in a row after which a peer is considered dead.
    pub miss_threshold: u32,
    /// Maximum number of probes sent in one second, over all peers.
    pub max_per_second: u32,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    /// When to send the next probe.
    next_probe: Duration,
    /// Sequence number of the probe that has not been answered yet.
    unanswered: Option<u64>,
    /// Probes missed in a row.
    missed: u32,
    dead: bool,
}

/// A probe to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Address of the peer.
    pub to: SocketAddrV4,
    /// The echo request to send.
    pub echo: Echo,
}

/// Probes a changing set of peers.
#[derive(Debug)]
pub struct Prober {
    settings: ProbeSettings,
    peers: BTreeMap<SocketAddrV4, Peer>,
    next_sequence: u64,
    /// Start of the one-second window in which `sent_in_window` probes were sent.
    window_start: Duration,
    sent_in_window: u32,
    changed: bool,
}

impl Prober {
    /// Creates a prober without peers.
    pub fn new(settings: ProbeSettings) -> Self {
        Prober {
            settings,
            peers: BTreeMap::new(),
            next_sequence: 1,
            window_start: Duration::ZERO,
            sent_in_window: 0,
            changed: false,
        }
    }

    /// Sets the peers to probe. New peers count as alive and are due for a probe at once.
    pub fn set_peers(&mut self, now: Duration, peers: impl Iterator<Item = SocketAddrV4>) {
        let new_peer = Peer { next_probe: now, unanswered: None, missed: 0, dead: false };
        let known = std::mem::take(&mut self.peers);
        let keep = |address| (address, known.get(&address).copied().unwrap_or(new_peer));
        self.peers = peers.map(keep).collect();
        self.changed = true;
    }

    /// Returns the probes to send now, within the rate limit.
    pub fn tick(&mut self, now: Duration) -> Vec<Probe> {
        if now >= self.window_start + Duration::from_secs(1) {
            self.window_start = now;
            self.sent_in_window = 0;
        }
        let mut probes = Vec::new();
        for (address, peer) in &mut self.peers {
            if peer.next_probe > now || self.sent_in_window == self.settings.max_per_second {
                continue;
            }
            if peer.unanswered.is_some() {
                peer.missed += 1;
                let dead = peer.missed >= self.settings.miss_threshold;
                self.changed |= dead != peer.dead;
                peer.dead = dead;
            }
            let sequence = self.next_sequence;
            self.next_sequence += 1;
            self.sent_in_window += 1;
            peer.unanswered = Some(sequence);
            peer.next_probe =
                now + if peer.dead { self.settings.interval } else { self.settings.timeout };
            probes.push(Probe { to: *address, echo: Echo { kind: EchoKind::Request, sequence } });
        }
        probes
    }

    /// Handles a reply. Late replies to earlier probes count too: they show that the peer is alive.
    pub fn on_reply(&mut self, now: Duration, from: SocketAddrV4) {
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        self.changed |= peer.dead;
        peer.dead = false;
        peer.missed = 0;
        peer.unanswered = None;
        peer.next_probe = now + self.settings.interval;
    }

    /// Whether a peer is considered dead. Peers that are not probed are not.
    pub fn is_dead(&self, peer: SocketAddrV4) -> bool {
        self.peers.get(&peer).is_some_and(|peer| peer.dead)
    }

    /// The peers that are considered alive, in the order of their addresses.
    pub fn alive_peers(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.peers.iter().filter(|(_, peer)| !peer.dead).map(|(address, _)| *address)
    }

    /// Whether any peer's state or the set of peers has changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }
}
