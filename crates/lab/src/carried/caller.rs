//! One simulated request: an opening packet with copies, the request, repeats, tries.

use loftdrift_carried::{PlainFormat, Segment, SegmentFormat};
use std::net::SocketAddrV4;
use std::time::Duration;

const COPIES_AFTER_MS: [u64; 2] = [200, 600];
const OPENING_LASTS: Duration = Duration::from_millis(1_400);
const REPEAT_AFTER: Duration = Duration::from_millis(200);
const DEADLINE: Duration = Duration::from_secs(4);
const TRIES: u32 = 3;
/// Further from what the caller has acknowledged, a reset is not of its flow.
const RESET_WINDOW: u32 = 76_800;
/// Between two requests of a caller that keeps its flow.
const PAUSES: [Duration; 3] =
    [Duration::from_millis(300), Duration::from_millis(900), Duration::from_millis(2_300)];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallerState {
    Opening {
        copies: usize,
    },
    /// Open at the back end that sent this sequence number.
    Open {
        sequence: u32,
    },
    /// Open there, with the last request answered; another one follows after a pause.
    Resting {
        sequence: u32,
    },
    Served,
    Refused,
    /// The back end said that it failed.
    Failed,
    Lost,
}

/// What a caller does next.
#[derive(Debug, Default)]
pub(super) struct CallerStep {
    pub(super) packet: Option<Vec<u8>>,
    pub(super) wake_at: Option<Duration>,
    /// An open flow was reset.
    pub(super) was_broken: bool,
    /// An answer of another request came.
    pub(super) was_mixed: bool,
}

#[derive(Debug)]
pub(super) struct Caller {
    pub(super) service: SocketAddrV4,
    pub(super) state: CallerState,
    /// Address of the try under way.
    pub(super) address: SocketAddrV4,
    pub(super) try_started: Duration,
    asked_at: Duration,
    tries: u32,
    repeats: u32,
    number: u64,
    /// Requests still to come on the same flow.
    rounds_left: u32,
    round: u32,
    /// Bytes sent on the flow before the request under way.
    sent: u32,
    /// Flows asked for so far.
    flows: u32,
    /// When the state under way wants to be woken.
    wakes_at: Duration,
}

impl Caller {
    pub(super) fn new(
        now: Duration,
        number: u64,
        address: SocketAddrV4,
        service: SocketAddrV4,
        rounds: u32,
    ) -> Self {
        Caller {
            service,
            state: CallerState::Opening { copies: 0 },
            address,
            try_started: now,
            asked_at: now,
            tries: 1,
            repeats: 0,
            number,
            rounds_left: rounds - 1,
            round: 0,
            sent: 0,
            flows: 0,
            wakes_at: now,
        }
    }

    pub(super) fn is_over(&self) -> bool {
        matches!(
            self.state,
            CallerState::Served | CallerState::Refused | CallerState::Failed | CallerState::Lost
        )
    }

    /// The try's identity, which is also the request's bytes.
    fn request(&self) -> Vec<u8> {
        let kind = if self.keeps_flow() { "long" } else { "request" };
        format!("{kind} {} round {} try {}", self.number, self.round, self.tries).into_bytes()
    }

    /// The first number of the flow under way, far from those of other flows of the same port.
    fn first_number(&self) -> u32 {
        (self.number as u32).wrapping_mul(0x9e37_79b9).wrapping_add(self.flows * 0x0100_0193)
    }

    /// Whether its requests share a flow.
    fn keeps_flow(&self) -> bool {
        self.round > 0 || self.rounds_left > 0
    }

    /// Does what is due at `now`; a wake-up that was meant for an earlier state does nothing.
    pub(super) fn wake(&mut self, now: Duration) -> CallerStep {
        if self.is_over() || now < self.wakes_at {
            return CallerStep::default();
        }
        if let CallerState::Resting { sequence } = self.state {
            self.begin_round(now);
            self.state = CallerState::Open { sequence };
        }
        if now.saturating_sub(self.asked_at) >= DEADLINE {
            self.state = CallerState::Lost;
            return CallerStep::default();
        }
        match self.state {
            CallerState::Opening { copies } => {
                if copies == 0 {
                    self.try_started = now;
                }
                self.send_opening(now, copies)
            }
            CallerState::Open { sequence } => self.send_request(now, sequence),
            _ => CallerStep::default(),
        }
    }

    fn send_opening(&mut self, now: Duration, copies: usize) -> CallerStep {
        let age = now.saturating_sub(self.try_started);
        if age >= OPENING_LASTS {
            self.state = CallerState::Lost;
            return CallerStep::default();
        }
        if copies > COPIES_AFTER_MS.len() {
            return self.wait_until(self.try_started + OPENING_LASTS, None);
        }
        let head = Segment::between(self.address, self.service);
        let sequence = self.first_number();
        let segment = Segment { syn: true, sequence, acknowledgement: copies as u32, ..head };
        self.state = CallerState::Opening { copies: copies + 1 };
        let next = COPIES_AFTER_MS.get(copies).map(|ms| Duration::from_millis(*ms));
        let wakes_at = self.try_started + next.unwrap_or(OPENING_LASTS);
        self.wait_until(wakes_at, Some(PlainFormat::write(&segment, &[])))
    }

    fn wait_until(&mut self, at: Duration, packet: Option<Vec<u8>>) -> CallerStep {
        self.wakes_at = at;
        CallerStep { packet, wake_at: Some(at), ..CallerStep::default() }
    }

    fn send_request(&mut self, now: Duration, sequence: u32) -> CallerStep {
        let head = Segment::between(self.address, self.service);
        let own = self.first_number().wrapping_add(self.sent);
        let segment = Segment { ack: true, sequence: own, acknowledgement: sequence, ..head };
        let pause = REPEAT_AFTER * 2_u32.pow(self.repeats.min(3));
        self.repeats += 1;
        self.wait_until(now + pause, Some(PlainFormat::write(&segment, &self.request())))
    }

    /// Takes a packet; `next_address` is there for another try.
    pub(super) fn receive(
        &mut self,
        now: Duration,
        packet: &[u8],
        next_address: SocketAddrV4,
    ) -> CallerStep {
        let Ok(segment) = PlainFormat.parse(packet) else { return CallerStep::default() };
        if segment.rst && !self.heeds(&segment) {
            return CallerStep::default();
        }
        match self.state {
            CallerState::Opening { .. } if segment.rst => self.try_again(now, next_address),
            CallerState::Opening { .. } if segment.syn => {
                self.state = CallerState::Open { sequence: segment.sequence };
                self.send_request(now, segment.sequence)
            }
            CallerState::Open { .. } | CallerState::Resting { .. } if segment.rst => {
                let step = self.lose_flow(now, next_address);
                CallerStep { was_broken: true, ..step }
            }
            // Any other is the answer of before once more.
            CallerState::Open { sequence }
                if segment.payload_bytes > 0 && segment.sequence == sequence =>
            {
                let data = PlainFormat::data(packet);
                if data == PlainFormat::FAILED || data == PlainFormat::REFUSED {
                    self.state = CallerState::Failed;
                    return self.send_end(sequence.wrapping_add(u32::from(segment.payload_bytes)));
                }
                if data != self.request() {
                    return CallerStep { was_mixed: true, ..CallerStep::default() };
                }
                if self.rounds_left > 0 {
                    return self.rest(now, &segment, next_address);
                }
                self.state = CallerState::Served;
                self.send_end(sequence.wrapping_add(u32::from(segment.payload_bytes)))
            }
            _ => CallerStep::default(),
        }
    }

    /// Whether a reset is near what the caller has acknowledged; any will do before that.
    fn heeds(&self, reset: &Segment) -> bool {
        match self.state {
            CallerState::Open { sequence } | CallerState::Resting { sequence } => {
                let distance = reset.sequence.wrapping_sub(sequence).cast_signed();
                distance.unsigned_abs() <= RESET_WINDOW
            }
            _ => true,
        }
    }

    /// Waits before the next request, on the same flow unless the back end has ended it.
    fn rest(&mut self, now: Duration, segment: &Segment, next_address: SocketAddrV4) -> CallerStep {
        let pause = PAUSES[self.number as usize % PAUSES.len()];
        let sequence = segment.end();
        let acknowledgement = self.send_acknowledgement(sequence, segment.fin);
        self.sent += self.request().len() as u32;
        self.state = CallerState::Resting { sequence };
        if segment.fin {
            self.begin_round(now + pause);
            self.open_anew(next_address);
        }
        self.wait_until(now + pause, Some(acknowledgement))
    }

    fn begin_round(&mut self, now: Duration) {
        self.asked_at = now;
        self.rounds_left -= 1;
        self.round += 1;
        self.tries = 1;
        self.repeats = 0;
    }

    fn open_anew(&mut self, address: SocketAddrV4) {
        self.address = address;
        self.flows += 1;
        self.sent = 0;
        self.state = CallerState::Opening { copies: 0 };
    }

    /// The flow was reset: a caller that keeps its flow repeats the request on another one.
    fn lose_flow(&mut self, now: Duration, address: SocketAddrV4) -> CallerStep {
        if !self.keeps_flow() {
            self.state = CallerState::Lost;
            return CallerStep::default();
        }
        if matches!(self.state, CallerState::Resting { .. }) {
            self.begin_round(self.wakes_at);
            self.open_anew(address);
            return self.wait_until(self.wakes_at, None);
        }
        self.sent = 0;
        self.repeats = 0;
        self.try_again(now, address)
    }

    fn send_acknowledgement(&self, acknowledgement: u32, fin: bool) -> Vec<u8> {
        let head = Segment::between(self.address, self.service);
        let segment = Segment { ack: true, fin, acknowledgement, ..head };
        PlainFormat::write(&segment, &[])
    }

    fn try_again(&mut self, now: Duration, address: SocketAddrV4) -> CallerStep {
        if self.tries == TRIES {
            self.state = CallerState::Refused;
            return CallerStep::default();
        }
        self.tries += 1;
        self.flows += 1;
        self.address = address;
        self.try_started = now;
        self.send_opening(now, 0)
    }

    fn send_end(&self, acknowledgement: u32) -> CallerStep {
        let packet = Some(self.send_acknowledgement(acknowledgement, true));
        CallerStep { packet, ..CallerStep::default() }
    }
}
