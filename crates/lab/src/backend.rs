//! A simulated back end: reads request lines, works, answers.
//!
//! A request is the line `ID SIZE SERVICE`; its answer the line `ID SIZE SERVICE` of the back
//! end's own service, followed by `SIZE` bytes that the identity determines.

use bytes::{Bytes, BytesMut};
use loftdrift_flow::FlowId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

const CHUNK_BYTES: usize = 4 * 1024;

/// How a back end behaves.
#[derive(Clone, Debug)]
pub struct BackendBehaviour {
    /// The service that it belongs to.
    pub service: String,
    /// Time that a request takes.
    pub processing_time: Duration,
    /// Requests that it works on at a time.
    pub slots: usize,
}

#[derive(Debug, Default)]
struct Connection {
    received: BytesMut,
    to_send: VecDeque<Bytes>,
    /// The flow takes one more chunk.
    has_credit: bool,
    peer_finished: bool,
}

/// A back end with its connections.
#[derive(Debug)]
pub(crate) struct SimulatedBackend {
    behaviour: BackendBehaviour,
    connections: BTreeMap<FlowId, Connection>,
    dead: bool,
    waiting: VecDeque<(FlowId, RunningRequest)>,
    busy_slots: usize,
}

/// A request that a back end has begun to run.
#[derive(Clone, Debug)]
pub(crate) struct RunningRequest {
    pub(crate) id: u64,
    pub(crate) size: usize,
    /// The request was meant for another service.
    pub(crate) wrong_service: bool,
}

impl SimulatedBackend {
    pub(crate) fn new(behaviour: BackendBehaviour) -> Self {
        SimulatedBackend {
            behaviour,
            connections: BTreeMap::new(),
            dead: false,
            waiting: VecDeque::new(),
            busy_slots: 0,
        }
    }

    pub(crate) fn processing_time(&self) -> Duration {
        self.behaviour.processing_time
    }

    /// Whether it accepts connections.
    pub(crate) fn accepts(&self) -> bool {
        !self.dead
    }

    /// Dies; returns the connections that it had.
    pub(crate) fn kill(&mut self) -> Vec<FlowId> {
        self.dead = true;
        std::mem::take(&mut self.connections).into_keys().collect()
    }

    /// Accepts a connection unless it is dead.
    pub(crate) fn connect(&mut self, flow: FlowId) -> bool {
        if !self.dead {
            let connection = Connection { has_credit: true, ..Connection::default() };
            self.connections.insert(flow, connection);
        }
        !self.dead
    }

    pub(crate) fn drop_connection(&mut self, flow: FlowId) {
        self.connections.remove(&flow);
    }

    pub(crate) fn note_peer_finished(&mut self, flow: FlowId) {
        if let Some(connection) = self.connections.get_mut(&flow) {
            connection.peer_finished = true;
        }
    }

    /// Whether the flow has no more to say and its peer has finished.
    pub(crate) fn is_finished(&self, flow: FlowId) -> bool {
        let connection = self.connections.get(&flow);
        connection
            .is_some_and(|connection| connection.peer_finished && connection.to_send.is_empty())
    }

    pub(crate) fn grant_credit(&mut self, flow: FlowId) {
        if let Some(connection) = self.connections.get_mut(&flow) {
            connection.has_credit = true;
        }
    }

    /// Takes bytes of a flow; whole requests wait for a slot.
    pub(crate) fn receive(&mut self, flow: FlowId, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&flow) else {
            return;
        };
        connection.received.extend_from_slice(bytes);
        while let Some(end) = connection.received.iter().position(|byte| *byte == b'\n') {
            let line = connection.received.split_to(end + 1);
            let line = String::from_utf8_lossy(&line);
            let mut words = line.split_whitespace();
            let id = words.next().and_then(|word| word.parse().ok());
            let size = words.next().and_then(|word| word.parse().ok());
            if let (Some(id), Some(size)) = (id, size) {
                let wrong_service = words.next() != Some(self.behaviour.service.as_str());
                self.waiting.push_back((flow, RunningRequest { id, size, wrong_service }));
            }
        }
    }

    /// Starts the request that waits longest when a slot is free.
    pub(crate) fn start_next(&mut self) -> Option<(FlowId, RunningRequest)> {
        if self.busy_slots == self.behaviour.slots {
            return None;
        }
        let next = self.waiting.pop_front()?;
        self.busy_slots += 1;
        Some(next)
    }

    /// Requests that it works on now.
    pub(crate) fn busy_slots(&self) -> usize {
        self.busy_slots
    }

    /// The work on a request is done: frees its slot and queues its answer.
    pub(crate) fn answer(&mut self, flow: FlowId, request: &RunningRequest) {
        self.busy_slots = self.busy_slots.saturating_sub(1);
        let Some(connection) = self.connections.get_mut(&flow) else {
            return;
        };
        let head = format!("{} {} {}\n", request.id, request.size, self.behaviour.service);
        let mut answer = BytesMut::from(head.as_bytes());
        answer.resize(head.len() + request.size, body_byte(request.id));
        let mut answer = answer.freeze();
        while !answer.is_empty() {
            connection.to_send.push_back(answer.split_to(answer.len().min(CHUNK_BYTES)));
        }
    }

    /// The next chunk for a flow that takes one.
    pub(crate) fn next_chunk(&mut self, flow: FlowId) -> Option<Bytes> {
        let connection = self.connections.get_mut(&flow)?;
        if !connection.has_credit {
            return None;
        }
        let chunk = connection.to_send.pop_front()?;
        connection.has_credit = false;
        Some(chunk)
    }
}

/// The byte that fills a request's answer.
pub(crate) fn body_byte(id: u64) -> u8 {
    (id % 251) as u8
}
