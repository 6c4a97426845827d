//! A flow's endpoint joined to a socket of the host.
//!
//! The embedder owns the socket in a task of its own. Both directions are bounded: bytes for the
//! socket up to [`SOCKET_WINDOW_BYTES`], bytes from the socket one chunk at a time.

use crate::endpoint::Endpoint;
use crate::lifecycle::{FlowChart, FlowEvent, FlowState};
use bytes::{Buf, Bytes};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Most bytes on their way to the socket.
const SOCKET_WINDOW_BYTES: usize = 64 * 1024;

/// What the embedder's socket task must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SocketCommand {
    /// Open the socket and answer with [`SocketEvent::Opened`] or [`SocketEvent::Failed`].
    Open,
    /// Write all of the bytes and answer with [`SocketEvent::Written`].
    Write(Bytes),
    /// No more bytes follow: shut down the writing side.
    FinishWriting,
    /// Read one more chunk.
    ReadMore,
    /// Close at once.
    Abort,
}

/// What the embedder's socket task reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SocketEvent {
    /// The socket is open; the first chunk is being read.
    Opened,
    /// A chunk was read; the next follows after [`SocketCommand::ReadMore`].
    Received(Bytes),
    /// So many bytes were written.
    Written(usize),
    /// The peer sends no more.
    Finished,
    /// The socket failed or could not be opened.
    Failed,
}

/// A flow between its TCP connection and a socket.
#[derive(Debug)]
pub struct SplicedFlow {
    endpoint: Endpoint,
    chart: Arc<FlowChart>,
    state: FlowState,
    /// Read from the socket, not yet taken by the endpoint.
    unsent: Bytes,
    /// On their way to the socket.
    unwritten: usize,
    socket_open: bool,
    socket_finished: bool,
    backend_finish_passed: bool,
    caller_finish_passed: bool,
    /// When a handshake that is not done is given up.
    handshake_deadline: Option<Duration>,
    commands: VecDeque<SocketCommand>,
}

impl SplicedFlow {
    /// A flow whose socket is opened once the handshake is done, which is given up silently at
    /// `handshake_deadline`: another candidate may have been offered the same flow and got it.
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
            backend_finish_passed: false,
            caller_finish_passed: false,
            handshake_deadline,
            commands: VecDeque::new(),
        }
    }

    /// Where the flow stands.
    pub fn state(&self) -> FlowState {
        self.state
    }

    /// The flow's endpoint.
    pub fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Takes a packet whose checksums are right.
    pub fn on_packet(&mut self, now: Duration, packet: &[u8]) {
        self.endpoint.receive(now, packet);
        self.transfer(now);
    }

    /// Takes what the socket task reports.
    pub fn on_socket(&mut self, now: Duration, event: SocketEvent) {
        match event {
            SocketEvent::Opened => {
                self.socket_open = true;
                self.step(FlowEvent::Connected);
            }
            SocketEvent::Received(bytes) => self.unsent = bytes,
            SocketEvent::Written(count) => self.unwritten = self.unwritten.saturating_sub(count),
            SocketEvent::Finished => self.socket_finished = true,
            SocketEvent::Failed => {
                self.socket_open = false;
                self.endpoint.reset();
                self.step(FlowEvent::Failed);
            }
        }
        self.pump(now);
    }

    /// Does what is due at `now`: transfers bytes both ways and follows the chart.
    pub fn pump(&mut self, now: Duration) {
        if self.handshake_is_late(now) {
            self.step(FlowEvent::Closed);
            return;
        }
        self.endpoint.poll(now);
        self.transfer(now);
    }

    /// Transfers bytes both ways, and lets the endpoint speak when that has changed anything.
    fn transfer(&mut self, now: Duration) {
        self.pass_handshake();
        let changed = self.pass_to_socket() | self.pass_to_caller();
        if changed {
            self.endpoint.poll(now);
        }
        self.pass_end();
    }

    /// The next command for the socket task.
    pub fn take_command(&mut self) -> Option<SocketCommand> {
        self.commands.pop_front()
    }

    /// The next packet to send.
    pub fn take_packet(&mut self) -> Option<Vec<u8>> {
        self.endpoint.take_packet()
    }

    /// When [`SplicedFlow::pump`] must be called next though nothing arrives.
    pub fn next_timeout(&mut self, now: Duration) -> Option<Duration> {
        let next = self.endpoint.next_timeout(now);
        let deadline = self.handshake_deadline.filter(|_| self.state == FlowState::Handshake);
        match (next, deadline) {
            (Some(next), Some(deadline)) => Some(next.min(deadline)),
            (next, deadline) => next.or(deadline),
        }
    }

    fn handshake_is_late(&self, now: Duration) -> bool {
        let deadline = self.handshake_deadline.filter(|_| self.state == FlowState::Handshake);
        deadline.is_some_and(|deadline| deadline <= now)
    }

    fn step(&mut self, event: FlowEvent) {
        self.state = self.chart.next_state(self.state, event);
    }

    fn pass_handshake(&mut self) {
        if self.state == FlowState::Handshake && self.endpoint.is_established() {
            self.step(FlowEvent::Established);
            self.commands.push_back(SocketCommand::Open);
        }
    }

    /// Passes bytes and the end of bytes on to the socket; `true` when any were.
    fn pass_to_socket(&mut self) -> bool {
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
        if !self.caller_finish_passed && self.endpoint.peer_finished() {
            self.caller_finish_passed = true;
            self.commands.push_back(SocketCommand::FinishWriting);
            self.step(FlowEvent::CallerFinished);
        }
        self.commands.len() != commands_before
    }

    /// Passes bytes and the end of bytes on to the caller; `true` when any were.
    fn pass_to_caller(&mut self) -> bool {
        let mut passed = false;
        if !self.unsent.is_empty() {
            let taken = self.endpoint.write(&self.unsent);
            self.unsent.advance(taken);
            passed = taken > 0;
            if self.unsent.is_empty() {
                self.commands.push_back(SocketCommand::ReadMore);
            }
        }
        if self.socket_finished && self.unsent.is_empty() && !self.backend_finish_passed {
            self.backend_finish_passed = true;
            self.endpoint.finish();
            self.step(FlowEvent::BackendFinished);
            passed = true;
        }
        passed
    }

    fn pass_end(&mut self) {
        let finished = self.caller_finish_passed && self.backend_finish_passed;
        if self.state == FlowState::Gone || !self.endpoint.is_closed() {
            return;
        }
        if self.socket_open && !finished {
            self.commands.push_back(SocketCommand::Abort);
            self.socket_open = false;
        }
        self.step(FlowEvent::Closed);
    }
}
