//! A simulated caller: connects with retransmitted SYNs, sends one or more requests with
//! retransmissions, and retries refused connections.

use loftdrift_carried::{PlainFormat, Segment, SegmentFormat};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Times after the first SYN at which it is retransmitted.
const SYN_RETRANSMIT_MS: [u64; 2] = [200, 600];
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_400);
/// Delay before the first retransmission of a request; it doubles up to three times.
const REQUEST_RETRANSMIT_DELAY: Duration = Duration::from_millis(200);
/// A request that is not answered by then counts as lost.
const REQUEST_DEADLINE: Duration = Duration::from_secs(4);
/// Attempts per request. A reset of the last one makes the request count as refused.
const MAX_ATTEMPTS: u32 = 3;
/// A reset whose sequence number is further than this from what the caller has acknowledged does
/// not belong to its flow.
const RESET_WINDOW: u32 = 76_800;
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallerState {
    Connecting {
        syns_sent: usize,
    },
    /// A request is in progress; `sequence` is the next expected from the back end.
    Connected {
        sequence: u32,
    },
    /// The last request was answered; the next one follows after a pause. `sequence` is the next
    /// expected from the back end.
    Idle {
        sequence: u32,
    },
    Served,
    /// The last attempt was reset.
    Refused,
    /// The back end reported an error or refused the request.
    Failed,
    /// No answer arrived in time, or the flow was reset.
    Lost,
}

/// What a caller does after a packet or a timer.
#[derive(Debug, Default)]
pub(super) struct CallerStep {
    pub(super) packet: Option<Vec<u8>>,
    pub(super) wake_at: Option<Duration>,
    /// An open flow was reset.
    pub(super) flow_reset: bool,
    /// The answer belongs to another request.
    pub(super) wrong_answer: bool,
}

#[derive(Debug)]
pub(super) struct Caller {
    pub(super) service: SocketAddrV4,
    pub(super) state: CallerState,
    /// Source address of the current attempt.
    pub(super) address: SocketAddrV4,
    pub(super) attempt_started: Duration,
    request_started: Duration,
    attempts: u32,
    retransmissions: u32,
    number: u64,
    /// Requests after the current one.
    requests_left: u32,
    request_index: u32,
    /// Request bytes sent on the flow before the current request.
    bytes_sent: u32,
    /// Flows opened after the first one.
    flow_count: u32,
    /// When the current state's timer expires.
    timer_expires_at: Duration,
    /// Pause between two requests on the same flow.
    pause: Duration,
}

impl Caller {
    pub(super) fn new(
        now: Duration,
        number: u64,
        address: SocketAddrV4,
        service: SocketAddrV4,
        request_count: u32,
        pause: Duration,
    ) -> Self {
        Caller {
            service,
            state: CallerState::Connecting { syns_sent: 0 },
            address,
            attempt_started: now,
            request_started: now,
            attempts: 1,
            retransmissions: 0,
            number,
            requests_left: request_count - 1,
            request_index: 0,
            bytes_sent: 0,
            flow_count: 0,
            timer_expires_at: now,
            pause,
        }
    }

    pub(super) fn is_over(&self) -> bool {
        matches!(
            self.state,
            CallerState::Served | CallerState::Refused | CallerState::Failed | CallerState::Lost
        )
    }

    /// The bytes of the request. They identify the caller, the request and the attempt.
    fn request(&self) -> Vec<u8> {
        let kind = if self.keeps_flow() { "long" } else { "request" };
        format!("{kind} {} round {} try {}", self.number, self.request_index, self.attempts)
            .into_bytes()
    }

    /// Initial sequence number of the current flow, far from those of other flows of the same port.
    fn first_sequence(&self) -> u32 {
        (self.number as u32).wrapping_mul(0x9e37_79b9).wrapping_add(self.flow_count * 0x0100_0193)
    }

    /// Whether the caller sends several requests on one flow.
    fn keeps_flow(&self) -> bool {
        self.request_index > 0 || self.requests_left > 0
    }

    /// Handles a timer at `now`. A timer of an earlier state does nothing.
    pub(super) fn wake(&mut self, now: Duration) -> CallerStep {
        if self.is_over() || now < self.timer_expires_at {
            return CallerStep::default();
        }
        if let CallerState::Idle { sequence } = self.state {
            self.begin_request(now);
            self.state = CallerState::Connected { sequence };
        }
        if now.saturating_sub(self.request_started) >= REQUEST_DEADLINE {
            self.state = CallerState::Lost;
            return CallerStep::default();
        }
        match self.state {
            CallerState::Connecting { syns_sent } => {
                if syns_sent == 0 {
                    self.attempt_started = now;
                }
                self.send_syn(now, syns_sent)
            }
            CallerState::Connected { sequence } => self.send_request(now, sequence),
            _ => CallerStep::default(),
        }
    }

    fn send_syn(&mut self, now: Duration, syns_sent: usize) -> CallerStep {
        let age = now.saturating_sub(self.attempt_started);
        if age >= CONNECT_TIMEOUT {
            self.state = CallerState::Lost;
            return CallerStep::default();
        }
        if syns_sent > SYN_RETRANSMIT_MS.len() {
            return self.wait_until(self.attempt_started + CONNECT_TIMEOUT, None);
        }
        let head = Segment::between(self.address, self.service);
        let sequence = self.first_sequence();
        let segment = Segment { syn: true, sequence, acknowledgement: syns_sent as u32, ..head };
        self.state = CallerState::Connecting { syns_sent: syns_sent + 1 };
        let next = SYN_RETRANSMIT_MS.get(syns_sent).map(|ms| Duration::from_millis(*ms));
        let timer_expires_at = self.attempt_started + next.unwrap_or(CONNECT_TIMEOUT);
        self.wait_until(timer_expires_at, Some(PlainFormat::write(&segment, &[])))
    }

    fn wait_until(&mut self, at: Duration, packet: Option<Vec<u8>>) -> CallerStep {
        self.timer_expires_at = at;
        CallerStep { packet, wake_at: Some(at), ..CallerStep::default() }
    }

    fn send_request(&mut self, now: Duration, sequence: u32) -> CallerStep {
        let head = Segment::between(self.address, self.service);
        let own_sequence = self.first_sequence().wrapping_add(self.bytes_sent);
        let segment =
            Segment { ack: true, sequence: own_sequence, acknowledgement: sequence, ..head };
        let pause = REQUEST_RETRANSMIT_DELAY * 2_u32.pow(self.retransmissions.min(3));
        self.retransmissions += 1;
        self.wait_until(now + pause, Some(PlainFormat::write(&segment, &self.request())))
    }

    /// Handles a packet. `next_address` is the source address of a new flow, if one is needed.
    pub(super) fn receive(
        &mut self,
        now: Duration,
        packet: &[u8],
        next_address: SocketAddrV4,
    ) -> CallerStep {
        let Ok(segment) = PlainFormat.parse(packet) else { return CallerStep::default() };
        if segment.rst && !self.accepts_reset(&segment) {
            return CallerStep::default();
        }
        match self.state {
            CallerState::Connecting { .. } if segment.rst => self.retry(now, next_address),
            CallerState::Connecting { .. } if segment.syn => {
                self.state = CallerState::Connected { sequence: segment.sequence };
                self.send_request(now, segment.sequence)
            }
            CallerState::Connected { .. } | CallerState::Idle { .. } if segment.rst => {
                let step = self.handle_reset(now, next_address);
                CallerStep { flow_reset: true, ..step }
            }
            // The answer was sent again: its acknowledgement was lost or is late. The flow rests from
            // this packet on.
            CallerState::Idle { sequence }
                if segment.payload_bytes > 0 && segment.end() == sequence =>
            {
                let acknowledgement = self.send_acknowledgement(sequence, false);
                self.wait_until(now + self.pause, Some(acknowledgement))
            }
            // Any other sequence number is a retransmission of an earlier answer.
            CallerState::Connected { sequence }
                if segment.payload_bytes > 0 && segment.sequence == sequence =>
            {
                let data = PlainFormat::data(packet);
                if data == PlainFormat::FAILED || data == PlainFormat::REFUSED {
                    self.state = CallerState::Failed;
                    return self.send_fin(sequence.wrapping_add(u32::from(segment.payload_bytes)));
                }
                if data != self.request() {
                    return CallerStep { wrong_answer: true, ..CallerStep::default() };
                }
                if self.requests_left > 0 {
                    return self.finish_request(now, &segment, next_address);
                }
                self.state = CallerState::Served;
                self.send_fin(sequence.wrapping_add(u32::from(segment.payload_bytes)))
            }
            _ => CallerStep::default(),
        }
    }

    /// Whether a reset is close enough to what the caller has acknowledged. Before the flow is
    /// open, every reset counts.
    fn accepts_reset(&self, reset: &Segment) -> bool {
        match self.state {
            CallerState::Connected { sequence } | CallerState::Idle { sequence } => {
                let distance = reset.sequence.wrapping_sub(sequence).cast_signed();
                distance.unsigned_abs() <= RESET_WINDOW
            }
            _ => true,
        }
    }

    /// Acknowledges an answer and waits before the next request, which uses the same flow unless
    /// the back end has closed it.
    fn finish_request(
        &mut self,
        now: Duration,
        segment: &Segment,
        next_address: SocketAddrV4,
    ) -> CallerStep {
        let pause = self.pause;
        let sequence = segment.end();
        let acknowledgement = self.send_acknowledgement(sequence, segment.fin);
        self.bytes_sent += self.request().len() as u32;
        self.state = CallerState::Idle { sequence };
        if segment.fin {
            self.begin_request(now + pause);
            self.open_new_flow(next_address);
        }
        self.wait_until(now + pause, Some(acknowledgement))
    }

    fn begin_request(&mut self, now: Duration) {
        self.request_started = now;
        self.requests_left -= 1;
        self.request_index += 1;
        self.attempts = 1;
        self.retransmissions = 0;
    }

    fn open_new_flow(&mut self, address: SocketAddrV4) {
        self.address = address;
        self.flow_count += 1;
        self.bytes_sent = 0;
        self.state = CallerState::Connecting { syns_sent: 0 };
    }

    /// Handles a reset of an open flow. A caller with several requests repeats the current one on a
    /// new flow; any other counts as lost.
    fn handle_reset(&mut self, now: Duration, address: SocketAddrV4) -> CallerStep {
        if !self.keeps_flow() {
            self.state = CallerState::Lost;
            return CallerStep::default();
        }
        if matches!(self.state, CallerState::Idle { .. }) {
            self.begin_request(self.timer_expires_at);
            self.open_new_flow(address);
            return self.wait_until(self.timer_expires_at, None);
        }
        self.bytes_sent = 0;
        self.retransmissions = 0;
        self.retry(now, address)
    }

    fn send_acknowledgement(&self, acknowledgement: u32, fin: bool) -> Vec<u8> {
        let head = Segment::between(self.address, self.service);
        let segment = Segment { ack: true, fin, acknowledgement, ..head };
        PlainFormat::write(&segment, &[])
    }

    fn retry(&mut self, now: Duration, address: SocketAddrV4) -> CallerStep {
        if self.attempts == MAX_ATTEMPTS {
            self.state = CallerState::Refused;
            return CallerStep::default();
        }
        self.attempts += 1;
        self.flow_count += 1;
        self.address = address;
        self.attempt_started = now;
        self.send_syn(now, 0)
    }

    fn send_fin(&self, acknowledgement: u32) -> CallerStep {
        let packet = Some(self.send_acknowledgement(acknowledgement, true));
        CallerStep { packet, ..CallerStep::default() }
    }
}
