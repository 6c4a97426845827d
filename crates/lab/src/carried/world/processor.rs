//! Balancers with little processor: what reaches one waits in its two sockets and is taken in the
//! order of the daemon's shell, each datagram and each service of timers for a time of its own.

use super::*;

/// Datagrams taken from one socket before the other one has its turn, as in the shell.
const MAX_DATAGRAMS_PER_TURN: usize = 32;
/// Datagrams of nodes taken before timers are served, as in the shell.
const MAX_PEER_DATAGRAMS_BEFORE_TIMERS: usize = 512;
/// Datagrams that a socket holds; what comes then is lost. A socket of 1 MB holds about as many.
const SOCKET_CAPACITY_DATAGRAMS: usize = 1_024;

/// What waits for a weak node's processor.
#[derive(Default)]
pub(in crate::carried) struct Inbox {
    peer_datagrams: VecDeque<(SocketAddrV4, Vec<u8>)>,
    caller_packets: VecDeque<Vec<u8>>,
    input_age: InputAge,
    /// A turn is scheduled; there is never more than one.
    is_turn_scheduled: bool,
    busy_until: Duration,
}

impl Inbox {
    /// What comes now has waited since then.
    pub(super) fn note_waiting_since(&mut self, since: Duration) {
        self.input_age.note_pause(since);
    }

    fn is_empty(&self) -> bool {
        self.peer_datagrams.is_empty() && self.caller_packets.is_empty()
    }
}

impl CarriedWorld {
    /// Whether a node has little processor.
    pub(super) fn is_slow(&self, node: usize) -> bool {
        node < self.settings.slow_balancers
    }

    /// A message of a node waits in a weak node's socket.
    pub(super) fn queue_peer_datagram(
        &mut self,
        node: usize,
        from: SocketAddrV4,
        datagram: Vec<u8>,
    ) {
        let peer_datagrams = &mut self.nodes[node].inbox.peer_datagrams;
        if peer_datagrams.len() < SOCKET_CAPACITY_DATAGRAMS {
            peer_datagrams.push_back((from, datagram));
        }
        self.request_turn(node);
    }

    /// A packet of a caller waits in a weak node's socket.
    pub(super) fn queue_caller_packet(&mut self, node: usize, packet: Vec<u8>) {
        let caller_packets = &mut self.nodes[node].inbox.caller_packets;
        if caller_packets.len() < SOCKET_CAPACITY_DATAGRAMS {
            caller_packets.push_back(packet);
        }
        self.request_turn(node);
    }

    /// Has a weak node take its turn once its processor is free.
    pub(super) fn request_turn(&mut self, node: usize) {
        let process = &mut self.nodes[node];
        if std::mem::replace(&mut process.inbox.is_turn_scheduled, true) {
            return;
        }
        let (at, incarnation) = (self.now.max(process.inbox.busy_until), process.incarnation);
        self.events.push(at, Event::ProcessorTurn { node, incarnation });
    }

    /// One turn of a weak node's shell.
    pub(super) fn run_turn(&mut self, node: usize, incarnation: u64) {
        if self.nodes[node].incarnation != incarnation || self.nodes[node].core.is_none() {
            return;
        }
        self.nodes[node].inbox.is_turn_scheduled = false;
        let started = self.now;
        self.process_peers(node, MAX_DATAGRAMS_PER_TURN);
        self.process_callers(node);
        if self.is_timer_due(node) {
            self.process_peers(node, MAX_PEER_DATAGRAMS_BEFORE_TIMERS);
        }
        if self.is_timer_due(node) {
            self.now += self.settings.slow_input_time;
            self.nodes[node].handle_timeout(self.now);
            self.settle(node);
        }
        self.nodes[node].inbox.busy_until = self.now;
        self.now = started;
        if !self.nodes[node].inbox.is_empty() {
            self.request_turn(node);
        }
    }

    fn is_timer_due(&self, node: usize) -> bool {
        self.nodes[node].next_timeout().is_some_and(|next| next <= self.now)
    }

    /// Takes some messages of nodes, each when the one before it is done.
    fn process_peers(&mut self, node: usize, max_datagrams: usize) {
        for _ in 0..max_datagrams {
            let Some((from, datagram)) = self.nodes[node].inbox.peer_datagrams.pop_front() else {
                return;
            };
            self.now += self.settings.slow_input_time;
            self.nodes[node].handle_peer(self.now, from, &datagram);
            self.settle(node);
        }
    }

    fn process_callers(&mut self, node: usize) {
        let started = self.now;
        self.note_input_age(node, self.nodes[node].inbox.input_age.max_wait(started));
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            let Some(packet) = self.nodes[node].inbox.caller_packets.pop_front() else {
                return self.nodes[node].inbox.input_age.note_batch(started, true);
            };
            self.now += self.settings.slow_input_time;
            let own = self.nodes[node].own_time(self.now);
            if let Some(balancer) = self.nodes[node].balancer() {
                balancer.handle_caller(own, &packet);
            }
            self.settle(node);
        }
        self.nodes[node].inbox.input_age.note_batch(started, false);
    }
}
