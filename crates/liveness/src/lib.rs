//! Tells which peers answer, by probing them within a budget. No I/O and no clock: the embedder
//! calls [`Prober::tick`] with the time, sends what it returns and reports replies.
//!
//! A verdict is one node's opinion. Its users may only let it change the order in which they try
//! peers, or which peers get new work.

use loftdrift_wire::{Echo, EchoKind};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// How often and how patiently peers are probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeSettings {
    /// Time from one probe of a peer that answers to its next.
    pub interval: Duration,
    /// Time to wait for an answer, and from a missed probe to the next.
    pub timeout: Duration,
    /// Probes missed in a row after which a peer is believed dead.
    pub miss_threshold: u32,
    /// Most probes sent in one second, over all peers.
    pub max_per_second: u32,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    due: Duration,
    /// The probe that waits for its answer.
    waiting: Option<u64>,
    missed: u32,
    dead: bool,
}

/// A probe to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// The peer.
    pub to: SocketAddrV4,
    /// What to send.
    pub echo: Echo,
}

/// Probes a changing set of peers.
#[derive(Debug)]
pub struct Prober {
    settings: ProbeSettings,
    peers: BTreeMap<SocketAddrV4, Peer>,
    next_sequence: u64,
    /// Start of the second in which `sent` probes were sent.
    second: Duration,
    sent: u32,
    changed: bool,
}

impl Prober {
    /// A prober without peers.
    pub fn new(settings: ProbeSettings) -> Self {
        Prober {
            settings,
            peers: BTreeMap::new(),
            next_sequence: 1,
            second: Duration::ZERO,
            sent: 0,
            changed: false,
        }
    }

    /// Sets who is probed. New peers are believed alive and probed first.
    pub fn set_peers(&mut self, now: Duration, peers: impl Iterator<Item = SocketAddrV4>) {
        let fresh = Peer { due: now, waiting: None, missed: 0, dead: false };
        let known = std::mem::take(&mut self.peers);
        let keep = |address| (address, known.get(&address).copied().unwrap_or(fresh));
        self.peers = peers.map(keep).collect();
        self.changed = true;
    }

    /// The probes to send now, within the budget.
    pub fn tick(&mut self, now: Duration) -> Vec<Probe> {
        if now >= self.second + Duration::from_secs(1) {
            self.second = now;
            self.sent = 0;
        }
        let mut probes = Vec::new();
        for (address, peer) in &mut self.peers {
            if peer.due > now || self.sent == self.settings.max_per_second {
                continue;
            }
            if peer.waiting.is_some() {
                peer.missed += 1;
                let dead = peer.missed >= self.settings.miss_threshold;
                self.changed |= dead != peer.dead;
                peer.dead = dead;
            }
            let sequence = self.next_sequence;
            self.next_sequence += 1;
            self.sent += 1;
            peer.waiting = Some(sequence);
            peer.due = now + if peer.dead { self.settings.interval } else { self.settings.timeout };
            probes.push(Probe { to: *address, echo: Echo { kind: EchoKind::Request, sequence } });
        }
        probes
    }

    /// Takes a reply. Late replies to earlier probes count as well: the peer lives.
    pub fn on_reply(&mut self, now: Duration, from: SocketAddrV4) {
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        self.changed |= peer.dead;
        peer.dead = false;
        peer.missed = 0;
        peer.waiting = None;
        peer.due = now + self.settings.interval;
    }

    /// Whether a peer is believed dead. Peers that are not probed are not.
    pub fn is_dead(&self, peer: SocketAddrV4) -> bool {
        self.peers.get(&peer).is_some_and(|peer| peer.dead)
    }

    /// The peers believed alive, in the order of their addresses.
    pub fn alive_peers(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.peers.iter().filter(|(_, peer)| !peer.dead).map(|(address, _)| *address)
    }

    /// Whether a verdict or the set has changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }
}
