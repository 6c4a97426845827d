//! Connects a flow's TCP endpoint to a socket of the host and copies bytes both ways.
//!
//! The embedder owns the socket in a task of its own. Both directions are bounded: at most
//! [`SOCKET_WINDOW_BYTES`] are queued for the socket, and one chunk at a time is read from it.

use crate::endpoint::Endpoint;
use crate::lifecycle::{FlowChart, FlowEvent, FlowState};
use bytes::{Buf, Bytes};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of bytes queued for the socket and not yet written.
const SOCKET_WINDOW_BYTES: usize = 64 * 1024;

/// A command to the embedder's socket task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SocketCommand {
    /// Open the socket and report [`SocketEvent::Opened`] or [`SocketEvent::Failed`].
    Open,
    /// Write all of the bytes and report [`SocketEvent::Written`].
    Write(Bytes),
    /// No more bytes follow: shut down the write half of the socket.
    FinishWriting,
    /// Read and report one more chunk.
    ReadMore,
    /// Close the socket at once, with a reset where the protocol has one.
    Abort,
}

/// An event reported by the embedder's socket task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SocketEvent {
    /// The socket is open and the task reads the first chunk.
    Opened,
    /// A chunk was read. The task reads the next one after [`SocketCommand::ReadMore`].
    Received(Bytes),
    /// This many bytes were written.
    Written(usize),
    /// The peer has finished sending.
    Finished,
    /// The socket failed or could not be opened.
    Failed,
}

/// A flow: a TCP endpoint connected to a socket of the host. At an agent the endpoint faces the
/// caller and the socket faces the back end.
#[derive(Debug)]
pub struct SplicedFlow {
    endpoint: Endpoint,
    chart: Arc<FlowChart>,
    state: FlowState,
    /// Bytes read from the socket and not yet accepted by the endpoint.
    unsent: Bytes,
    /// Number of bytes queued for the socket and not yet written.
    unwritten: usize,
    socket_open: bool,
    socket_finished: bool,
    backend_finish_forwarded: bool,
    caller_finish_forwarded: bool,
    /// When a handshake that has not completed is given up.
    handshake_deadline: Option<Duration>,
    commands: VecDeque<SocketCommand>,
}

impl SplicedFlow {
    /// Creates a flow. Its socket is opened once the handshake is done. A handshake that has not
    /// completed at `handshake_deadline` is given up without a reset, because another candidate may
    /// have been offered the same flow and own it now.
    pub fn new(
        endpoint: Endpoint,
        chart: Arc<FlowChart>,
        handshake_deadline: Option<Duration>,
    ) -> Self {
        SplicedFlow {
            endpoint,
            state: chart.initial(),
            chart,
            unsent: Bytes::new(),
            unwritten: 0,
            socket_open: false,
            socket_finished: false,
            backend_finish_forwarded: false,
            caller_finish_forwarded: false,
            handshake_deadline,
            commands: VecDeque::new(),
        }
    }

    /// The flow's state.
    pub fn state(&self) -> FlowState {
        self.state
    }

    /// The flow's TCP endpoint.
    pub fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Handles a packet whose checksums are valid.
    pub fn on_packet(&mut self, now: Duration, packet: &[u8]) {
        self.endpoint.receive(now, packet);
        self.transfer(now);
    }

    /// Handles an event of the socket task.
    pub fn on_socket_event(&mut self, now: Duration, event: SocketEvent) {
        match event {
            SocketEvent::Opened => {
                self.socket_open = true;
                self.apply(FlowEvent::Connected);
            }
            SocketEvent::Received(bytes) => self.unsent = bytes,
            SocketEvent::Written(count) => self.unwritten = self.unwritten.saturating_sub(count),
            SocketEvent::Finished => self.socket_finished = true,
            SocketEvent::Failed => {
                self.socket_open = false;
                self.endpoint.reset();
                self.apply(FlowEvent::Failed);
            }
        }
        self.poll(now);
    }

    /// Runs the timers that are due at `now`, copies bytes both ways and updates the state.
    pub fn poll(&mut self, now: Duration) {
        if self.handshake_timed_out(now) {
            self.apply(FlowEvent::Closed);
            return;
        }
        self.endpoint.poll(now);
        self.transfer(now);
    }

    /// Copies bytes both ways, and polls the endpoint again if anything was copied.
    fn transfer(&mut self, now: Duration) {
        self.check_established();
        let changed = self.forward_to_socket() | self.forward_to_caller();
        if changed {
            self.endpoint.poll(now);
        }
        self.check_closed();
    }

    /// Takes the next command for the socket task.
    pub fn take_command(&mut self) -> Option<SocketCommand> {
        self.commands.pop_front()
    }

    /// Takes the next packet to send.
    pub fn take_packet(&mut self) -> Option<Vec<u8>> {
        self.endpoint.take_packet()
    }

    /// When [`SplicedFlow::poll`] must be called next if nothing arrives before.
    pub fn next_timeout(&mut self, now: Duration) -> Option<Duration> {
        let next = self.endpoint.next_timeout(now);
        let deadline = self.handshake_deadline.filter(|_| self.state == FlowState::Handshake);
        match (next, deadline) {
            (Some(next), Some(deadline)) => Some(next.min(deadline)),
            (next, deadline) => next.or(deadline),
        }
    }

    fn handshake_timed_out(&self, now: Duration) -> bool {
        let deadline = self.handshake_deadline.filter(|_| self.state == FlowState::Handshake);
        deadline.is_some_and(|deadline| deadline <= now)
    }

    fn apply(&mut self, event: FlowEvent) {
        self.state = self.chart.next_state(self.state, event);
    }

    fn check_established(&mut self) {
        if self.state == FlowState::Handshake && self.endpoint.is_established() {
            self.apply(FlowEvent::Established);
            self.commands.push_back(SocketCommand::Open);
        }
    }

    /// Forwards bytes and the end of the stream to the socket; returns whether there was anything.
    fn forward_to_socket(&mut self) -> bool {
        if !self.socket_open {
            return false;
        }
        let commands_before = self.commands.len();
        while let Some(bytes) =
            self.endpoint.read(SOCKET_WINDOW_BYTES - self.unwritten.min(SOCKET_WINDOW_BYTES))
        {
            self.unwritten += bytes.len();
            self.commands.push_back(SocketCommand::Write(bytes));
        }
        if !self.caller_finish_forwarded && self.endpoint.peer_finished() {
            self.caller_finish_forwarded = true;
            self.commands.push_back(SocketCommand::FinishWriting);
            self.apply(FlowEvent::CallerFinished);
        }
        self.commands.len() != commands_before
    }

    /// Forwards bytes and the end of the stream to the caller; returns whether there was anything.
    fn forward_to_caller(&mut self) -> bool {
        let mut forwarded = false;
        if !self.unsent.is_empty() {
            let taken = self.endpoint.write(&self.unsent);
            self.unsent.advance(taken);
            forwarded = taken > 0;
            if self.unsent.is_empty() {
                self.commands.push_back(SocketCommand::ReadMore);
            }
        }
        if self.socket_finished && self.unsent.is_empty() && !self.backend_finish_forwarded {
            self.backend_finish_forwarded = true;
            self.endpoint.finish();
            self.apply(FlowEvent::BackendFinished);
            forwarded = true;
        }
        forwarded
    }

    fn check_closed(&mut self) {
        let finished = self.caller_finish_forwarded && self.backend_finish_forwarded;
        if self.state == FlowState::Gone || !self.endpoint.is_closed() {
            return;
        }
        if self.socket_open && !finished {
            self.commands.push_back(SocketCommand::Abort);
            self.socket_open = false;
        }
        self.apply(FlowEvent::Closed);
    }
}
