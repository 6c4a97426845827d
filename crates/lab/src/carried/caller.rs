//! One simulated request: an opening packet with copies, the request, repeats, tries.

use loftdrift_carried::{PlainFormat, Segment, SegmentFormat};
use std::net::SocketAddrV4;
use std::time::Duration;

const COPIES_AFTER_MS: [u64; 2] = [200, 600];
const OPENING_LASTS: Duration = Duration::from_millis(1_400);
const REPEAT_AFTER: Duration = Duration::from_millis(200);
const DEADLINE: Duration = Duration::from_secs(4);
const TRIES: u32 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallerState {
    Opening {
        copies: usize,
    },
    /// Open at the back end that sent this sequence number.
    Open {
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
    /// When the state under way wants to be woken.
    wakes_at: Duration,
}

impl Caller {
    pub(super) fn new(
        now: Duration,
        number: u64,
        address: SocketAddrV4,
        service: SocketAddrV4,
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
            wakes_at: now,
        }
    }

    pub(super) fn is_over(&self) -> bool {
        !matches!(self.state, CallerState::Opening { .. } | CallerState::Open { .. })
    }

    /// The try's identity, which is also the request's bytes.
    fn request(&self) -> Vec<u8> {
        format!("request {} try {}", self.number, self.tries).into_bytes()
    }

    /// Does what is due at `now`; a wake-up that was meant for an earlier state does nothing.
    pub(super) fn wake(&mut self, now: Duration) -> CallerStep {
        if self.is_over() || now < self.wakes_at {
            return CallerStep::default();
        }
        if now.saturating_sub(self.asked_at) >= DEADLINE {
            self.state = CallerState::Lost;
            return CallerStep::default();
        }
        match self.state {
            CallerState::Opening { copies } => self.send_opening(now, copies),
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
        let segment = Segment { opens: true, acknowledgement: copies as u32, ..head };
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
        let segment =
            Segment { acknowledges: true, sequence: 1, acknowledgement: sequence, ..head };
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
        match self.state {
            CallerState::Opening { .. } if segment.resets => self.try_again(now, next_address),
            CallerState::Opening { .. } if segment.opens => {
                self.state = CallerState::Open { sequence: segment.sequence };
                self.send_request(now, segment.sequence)
            }
            CallerState::Open { .. } if segment.resets => {
                self.state = CallerState::Lost;
                CallerStep { was_broken: true, ..CallerStep::default() }
            }
            CallerState::Open { sequence } if segment.payload_bytes > 0 => {
                let data = PlainFormat::data(packet);
                if data == PlainFormat::FAILED || data == PlainFormat::REFUSED {
                    self.state = CallerState::Failed;
                    return self.send_end(sequence.wrapping_add(u32::from(segment.payload_bytes)));
                }
                if data != self.request() {
                    return CallerStep { was_mixed: true, ..CallerStep::default() };
                }
                self.state = CallerState::Served;
                self.send_end(sequence.wrapping_add(u32::from(segment.payload_bytes)))
            }
            _ => CallerStep::default(),
        }
    }

    fn try_again(&mut self, now: Duration, address: SocketAddrV4) -> CallerStep {
        if self.tries == TRIES {
            self.state = CallerState::Refused;
            return CallerStep::default();
        }
        self.tries += 1;
        self.address = address;
        self.try_started = now;
        self.send_opening(now, 0)
    }

    fn send_end(&self, acknowledgement: u32) -> CallerStep {
        let head = Segment::between(self.address, self.service);
        let segment = Segment { acknowledges: true, finishes: true, acknowledgement, ..head };
        CallerStep { packet: Some(PlainFormat::write(&segment, &[])), ..CallerStep::default() }
    }
}
