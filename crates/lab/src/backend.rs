//! A simulated back end: reads request lines, processes them for a fixed time, and answers.
//!
//! A request is the line `ID SIZE SERVICE`. The answer is the line `ID SIZE SERVICE`, with the back
//! end's own service, followed by `SIZE` bytes that [`body_byte`] derives from the request's ID.

use bytes::{Bytes, BytesMut};
use loftdrift_flow::FlowId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Answers are sent in chunks of at most this size.
const CHUNK_BYTES: usize = 4 * 1024;

/// Service, processing time and capacity of a back end.
#[derive(Clone, Debug)]
pub struct BackendBehaviour {
    /// Name of the service that the back end belongs to.
    pub service: String,
    /// Time to process one request.
    pub processing_time: Duration,
    /// Requests that it processes at the same time; further requests wait.
    pub slots: usize,
}

#[derive(Debug, Default)]
struct Connection {
    received: BytesMut,
    to_send: VecDeque<Bytes>,
    /// Whether the agent has requested another chunk (flow control).
    has_credit: bool,
    /// The caller has finished sending.
    peer_finished: bool,
}

/// The state of a back end: its connections and its requests.
#[derive(Debug)]
pub(crate) struct SimulatedBackend {
    behaviour: BackendBehaviour,
    connections: BTreeMap<FlowId, Connection>,
    dead: bool,
    /// Requests without a slot, in the order of arrival.
    waiting: VecDeque<(FlowId, BackendRequest)>,
    busy_slots: usize,
}

/// A request that waits at a back end or is being processed.
#[derive(Clone, Debug)]
pub(crate) struct BackendRequest {
    pub(crate) id: u64,
    pub(crate) size: usize,
    /// The request names another service than the back end's.
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

    /// Whether the back end is alive and accepts connections.
    pub(crate) fn accepts(&self) -> bool {
        !self.dead
    }

    /// Kills the back end; returns the flows whose connections it had.
    pub(crate) fn kill(&mut self) -> Vec<FlowId> {
        self.dead = true;
        std::mem::take(&mut self.connections).into_keys().collect()
    }

    /// Accepts a connection; returns `false` when the back end is dead.
    pub(crate) fn connect(&mut self, flow: FlowId) -> bool {
        if !self.dead {
            let connection = Connection { has_credit: true, ..Connection::default() };
            self.connections.insert(flow, connection);
        }
        !self.dead
    }

    /// Removes a connection; answers to its requests are dropped.
    pub(crate) fn drop_connection(&mut self, flow: FlowId) {
        self.connections.remove(&flow);
    }

    /// Records that the caller has finished sending.
    pub(crate) fn note_peer_finished(&mut self, flow: FlowId) {
        if let Some(connection) = self.connections.get_mut(&flow) {
            connection.peer_finished = true;
        }
    }

    /// Whether both directions are finished: the caller has finished sending, and all answers are
    /// sent.
    pub(crate) fn is_finished(&self, flow: FlowId) -> bool {
        let connection = self.connections.get(&flow);
        connection
            .is_some_and(|connection| connection.peer_finished && connection.to_send.is_empty())
    }

    /// Lets the back end send one more chunk of the flow.
    pub(crate) fn grant_credit(&mut self, flow: FlowId) {
        if let Some(connection) = self.connections.get_mut(&flow) {
            connection.has_credit = true;
        }
    }

    /// Receives bytes of a flow and queues each complete request until a slot is free.
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
                self.waiting.push_back((flow, BackendRequest { id, size, wrong_service }));
            }
        }
    }

    /// Starts the oldest waiting request if a slot is free.
    pub(crate) fn start_next(&mut self) -> Option<(FlowId, BackendRequest)> {
        if self.busy_slots == self.behaviour.slots {
            return None;
        }
        let next = self.waiting.pop_front()?;
        self.busy_slots += 1;
        Some(next)
    }

    /// Requests that are being processed.
    pub(crate) fn busy_slots(&self) -> usize {
        self.busy_slots
    }

    /// Frees the slot of a processed request and queues its answer in chunks.
    pub(crate) fn answer(&mut self, flow: FlowId, request: &BackendRequest) {
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

    /// The next chunk of a flow whose agent has requested one.
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

/// The byte that the whole body of the answer to request `id` consists of.
pub(crate) fn body_byte(id: u64) -> u8 {
    (id % 251) as u8
}
