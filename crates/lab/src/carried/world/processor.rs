//! Balancers with a slow processor. Input waits in two sockets, one for messages of other nodes and
//! one for packets of callers. It is processed in the same order as in the balancer's driver, and
//! each datagram and each run of the timers takes processor time.

use super::*;

/// Maximum number of datagrams read from one socket before the other input is processed, as in the
/// balancer's driver.
const DATAGRAMS_PER_BATCH: usize = 32;
/// Maximum number of waiting messages of nodes that are processed before due timers run, as in the
/// balancer's driver.
const MAX_PEER_DATAGRAMS_BEFORE_TIMERS: usize = 512;
/// Datagrams that a socket buffer holds, about as many as one of 1 MB; further ones are dropped.
const SOCKET_CAPACITY_DATAGRAMS: usize = 1_024;

/// Input that waits for a slow balancer's processor.
#[derive(Default)]
pub(in crate::carried) struct Inbox {
    peer_queue: VecDeque<(SocketAddrV4, Vec<u8>)>,
    caller_queue: VecDeque<Vec<u8>>,
    input_age: InputAge,
    /// Whether an iteration of the driver is scheduled; there is never more than one.
    is_iteration_scheduled: bool,
    busy_until: Duration,
}

impl Inbox {
    /// Notes that input processed next may have waited since `since`.
    pub(super) fn note_waiting_since(&mut self, since: Duration) {
        self.input_age.note_pause(since);
    }

    fn is_empty(&self) -> bool {
        self.peer_queue.is_empty() && self.caller_queue.is_empty()
    }
}

impl CarriedWorld {
    /// Whether a node is a balancer with a slow processor.
    pub(super) fn is_slow(&self, node: usize) -> bool {
        node < self.settings.slow_balancers
    }

    /// Queues a message of another node in a slow balancer's socket.
    pub(super) fn queue_peer_datagram(
        &mut self,
        node: usize,
        from: SocketAddrV4,
        datagram: Vec<u8>,
    ) {
        let peer_queue = &mut self.nodes[node].inbox.peer_queue;
        if peer_queue.len() < SOCKET_CAPACITY_DATAGRAMS {
            peer_queue.push_back((from, datagram));
        }
        self.schedule_iteration(node);
    }

    /// Queues a packet of a caller in a slow balancer's socket.
    pub(super) fn queue_caller_packet(&mut self, node: usize, packet: Vec<u8>) {
        let caller_queue = &mut self.nodes[node].inbox.caller_queue;
        if caller_queue.len() < SOCKET_CAPACITY_DATAGRAMS {
            caller_queue.push_back(packet);
        }
        self.schedule_iteration(node);
    }

    /// Schedules the next iteration of a slow balancer's driver for when its processor is free.
    pub(super) fn schedule_iteration(&mut self, node: usize) {
        let process = &mut self.nodes[node];
        if std::mem::replace(&mut process.inbox.is_iteration_scheduled, true) {
            return;
        }
        let (at, incarnation) = (self.now.max(process.inbox.busy_until), process.incarnation);
        self.events.push(at, Event::DriverIteration { node, incarnation });
    }

    /// Runs one iteration of a slow balancer's driver.
    pub(super) fn run_iteration(&mut self, node: usize, incarnation: u64) {
        if self.nodes[node].incarnation != incarnation || self.nodes[node].core.is_none() {
            return;
        }
        self.nodes[node].inbox.is_iteration_scheduled = false;
        let started = self.now;
        self.process_peers(node, DATAGRAMS_PER_BATCH);
        self.process_callers(node);
        if self.is_timer_due(node) {
            self.process_peers(node, MAX_PEER_DATAGRAMS_BEFORE_TIMERS);
        }
        if self.is_timer_due(node) {
            self.now += self.settings.slow_input_time;
            self.nodes[node].handle_timeout(self.now);
            self.process_outputs(node);
        }
        self.nodes[node].inbox.busy_until = self.now;
        self.now = started;
        if !self.nodes[node].inbox.is_empty() {
            self.schedule_iteration(node);
        }
    }

    fn is_timer_due(&self, node: usize) -> bool {
        self.nodes[node].next_timeout().is_some_and(|next| next <= self.now)
    }

    /// Processes up to `max_datagrams` messages of nodes, one after another.
    fn process_peers(&mut self, node: usize, max_datagrams: usize) {
        for _ in 0..max_datagrams {
            let Some((from, datagram)) = self.nodes[node].inbox.peer_queue.pop_front() else {
                return;
            };
            self.now += self.settings.slow_input_time;
            self.nodes[node].handle_peer(self.now, from, &datagram);
            self.process_outputs(node);
        }
    }

    fn process_callers(&mut self, node: usize) {
        let started = self.now;
        self.note_input_age(node, self.nodes[node].inbox.input_age.max_wait(started));
        for _ in 0..DATAGRAMS_PER_BATCH {
            let Some(packet) = self.nodes[node].inbox.caller_queue.pop_front() else {
                return self.nodes[node].inbox.input_age.note_batch(started, true);
            };
            self.now += self.settings.slow_input_time;
            let uptime = self.nodes[node].uptime(self.now);
            if let Some(balancer) = self.nodes[node].balancer() {
                balancer.handle_caller(uptime, &packet);
            }
            self.process_outputs(node);
        }
        self.nodes[node].inbox.input_age.note_batch(started, false);
    }
}
