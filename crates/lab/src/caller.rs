//! A simulated caller's flow: sends requests one after another and checks every byte of each
//! answer.

use crate::backend::body_byte;
use crate::outcome::Outcome;
use bytes::{Buf, Bytes, BytesMut};
use std::time::Duration;

/// What a caller does on a flow.
#[derive(Clone, Debug)]
pub struct CallerBehaviour {
    /// Name of the service that it calls.
    pub service: String,
    /// Requests on the flow.
    pub requests: u32,
    /// Size of each answer, in bytes.
    pub answer_bytes: usize,
    /// Pause between a complete answer and the next request.
    pub pause: Duration,
    /// Whether the SYN offers TCP timestamps, in which agents store the flow cookie.
    pub timestamps: bool,
}

/// State of a flow after bytes have arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// The answer is incomplete.
    Waiting,
    /// The answer is complete; the next request follows after the pause.
    NextRequest,
    /// The last answer is complete.
    Finished,
}

/// State of one flow at its caller.
#[derive(Debug)]
pub(crate) struct CallerFlow {
    behaviour: CallerBehaviour,
    remaining_requests: u32,
    current_id: u64,
    received: BytesMut,
    /// Bytes of the answer's body still to come; `None` while its header line is incomplete.
    remaining_bytes: Option<usize>,
    pub(crate) finished: bool,
}

impl CallerFlow {
    pub(crate) fn new(behaviour: CallerBehaviour) -> Self {
        CallerFlow {
            remaining_requests: behaviour.requests,
            behaviour,
            current_id: 0,
            received: BytesMut::new(),
            remaining_bytes: None,
            finished: false,
        }
    }

    pub(crate) fn pause(&self) -> Duration {
        self.behaviour.pause
    }

    /// Returns the line of the next request. `id` must differ from that of every other request.
    pub(crate) fn next_request(&mut self, id: u64, outcome: &mut Outcome) -> Bytes {
        self.current_id = id;
        self.remaining_requests -= 1;
        outcome.requests_sent += 1;
        let CallerBehaviour { answer_bytes, service, .. } = &self.behaviour;
        Bytes::from(format!("{id} {answer_bytes} {service}\n"))
    }

    /// Receives bytes of the current answer and counts wrong ones.
    pub(crate) fn receive(&mut self, bytes: &[u8], outcome: &mut Outcome) -> Progress {
        self.received.extend_from_slice(bytes);
        if self.remaining_bytes.is_none() {
            let Some(end) = self.received.iter().position(|byte| *byte == b'\n') else {
                return Progress::Waiting;
            };
            let line = self.received.split_to(end + 1);
            self.check_header(&String::from_utf8_lossy(&line), outcome);
            self.remaining_bytes = Some(self.behaviour.answer_bytes);
        }
        let left = self.remaining_bytes.unwrap_or(0);
        let taken = left.min(self.received.len());
        let filler = body_byte(self.current_id);
        // Counting all wrong bytes is several times faster than stopping at the first one.
        if self.received[..taken].iter().filter(|byte| **byte != filler).count() > 0 {
            outcome.wrong_answers += 1;
        }
        self.received.advance(taken);
        self.remaining_bytes = Some(left - taken);
        if left > taken {
            return Progress::Waiting;
        }
        self.remaining_bytes = None;
        outcome.answered_whole += 1;
        if self.remaining_requests == 0 { Progress::Finished } else { Progress::NextRequest }
    }

    fn check_header(&self, line: &str, outcome: &mut Outcome) {
        let CallerBehaviour { answer_bytes, service, .. } = &self.behaviour;
        let mut words = line.split_whitespace();
        let id = words.next().and_then(|word| word.parse().ok());
        let size = words.next().and_then(|word| word.parse().ok());
        if id != Some(self.current_id) || size != Some(*answer_bytes) {
            outcome.wrong_answers += 1;
        }
        if words.next() != Some(service.as_str()) {
            outcome.misdelivered += 1;
        }
    }
}
