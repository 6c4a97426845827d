//! Balancers with little processor: what reaches one waits in its two sockets and is taken in the
//! order of the daemon's shell, each datagram and each service of timers for a time of its own.

use super::*;

/// Datagrams taken from one socket before the other one has its turn, as in the shell.
const DATAGRAMS_A_TURN: usize = 32;
/// Datagrams of nodes taken before timers are served, as in the shell.
const MOST_BEFORE_TIMERS: usize = 512;
/// Datagrams that a socket holds; what comes then is lost. A socket of 1 MB holds about as many.
const SOCKET_HOLDS: usize = 1_024;

/// What waits for a weak node's processor.
#[derive(Default)]
pub(in crate::carried) struct Inbox {
    peers: VecDeque<(SocketAddrV4, Vec<u8>)>,
    local: VecDeque<Vec<u8>>,
    local_age: InputAge,
    /// A turn is scheduled; there is never more than one.
    awaits_turn: bool,
    busy_until: Duration,
}

impl Inbox {
    /// What comes now has waited since then.
    pub(super) fn note_waits_since(&mut self, since: Duration) {
        self.local_age.note_pause(since);
    }

    fn is_empty(&self) -> bool {
        self.peers.is_empty() && self.local.is_empty()
    }
}

impl CarriedWorld {
    /// Whether a node has little processor.
    pub(super) fn is_weak(&self, node: usize) -> bool {
        node < self.settings.slow_balancers
    }

    /// A message of a node waits in a weak node's socket.
    pub(super) fn queue_peer(&mut self, node: usize, from: SocketAddrV4, datagram: Vec<u8>) {
        let peers = &mut self.nodes[node].inbox.peers;
        if peers.len() < SOCKET_HOLDS {
            peers.push_back((from, datagram));
        }
        self.request_turn(node);
    }

    /// A packet of a caller waits in a weak node's socket.
    pub(super) fn queue_local(&mut self, node: usize, packet: Vec<u8>) {
        let local = &mut self.nodes[node].inbox.local;
        if local.len() < SOCKET_HOLDS {
            local.push_back(packet);
        }
        self.request_turn(node);
    }

    /// Has a weak node take its turn once its processor is free.
    pub(super) fn request_turn(&mut self, node: usize) {
        let process = &mut self.nodes[node];
        if std::mem::replace(&mut process.inbox.awaits_turn, true) {
            return;
        }
        let (at, starts) = (self.now.max(process.inbox.busy_until), process.starts);
        self.events.push(at, Event::Turn { node, starts });
    }

    /// One turn of a weak node's shell.
    pub(super) fn turn(&mut self, node: usize, starts: u64) {
        if self.nodes[node].starts != starts || self.nodes[node].core.is_none() {
            return;
        }
        self.nodes[node].inbox.awaits_turn = false;
        let began = self.now;
        self.take_peers(node, DATAGRAMS_A_TURN);
        self.take_local(node);
        if self.is_timer_due(node) {
            self.take_peers(node, MOST_BEFORE_TIMERS);
        }
        if self.is_timer_due(node) {
            self.now += self.settings.weak_cost;
            self.nodes[node].handle_timeout(self.now);
            self.settle(node);
        }
        self.nodes[node].inbox.busy_until = self.now;
        self.now = began;
        if !self.nodes[node].inbox.is_empty() {
            self.request_turn(node);
        }
    }

    fn is_timer_due(&self, node: usize) -> bool {
        self.nodes[node].next_timeout().is_some_and(|next| next <= self.now)
    }

    /// Takes some messages of nodes, each when the one before it is done.
    fn take_peers(&mut self, node: usize, most: usize) {
        for _ in 0..most {
            let Some((from, datagram)) = self.nodes[node].inbox.peers.pop_front() else { return };
            self.now += self.settings.weak_cost;
            self.nodes[node].handle_peer(self.now, from, &datagram);
            self.settle(node);
        }
    }

    fn take_local(&mut self, node: usize) {
        let began = self.now;
        self.note_waited(node, self.nodes[node].inbox.local_age.max_wait(began));
        for _ in 0..DATAGRAMS_A_TURN {
            let Some(packet) = self.nodes[node].inbox.local.pop_front() else {
                return self.nodes[node].inbox.local_age.note_batch(began, true);
            };
            self.now += self.settings.weak_cost;
            let own = self.nodes[node].own_time(self.now);
            if let Some(balancer) = self.nodes[node].balancer() {
                balancer.handle_caller(own, &packet);
            }
            self.settle(node);
        }
        self.nodes[node].inbox.local_age.note_batch(began, false);
    }
}
