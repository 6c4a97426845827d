//! New flows that wait beside a back end until it has room.
//!
//! A caller whose opening packet is refused asks again within milliseconds and has soon used up its
//! tries; one whose opening packet waits is answered as soon as there is room, as long as its try
//! lasts. A flow waits at the agent, since only the agent knows when a request has ended: one offer
//! and two answers a flow, where asking around would cost an offer for each look.
//!
//! Invariants:
//! - A flow that waits has never been at work, and leaves the line once: it is given to the back end,
//!   or its balancer is told that it was declined.
//! - No more flows wait than are served until their callers' tries are over, as far as is known: the one
//!   that has waited longest is declined at once when one more comes.
//! - The caller that came last is served first, but for [`PRIORITY_STEP`] a step of urgency. When there
//!   is room for all the order does not matter. When there is not, whoever is served first come, first
//!   served has waited until the end of its try, as all others have: answers then miss their callers.

use super::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// A route that is one step less urgent counts as if its callers had come so much earlier: half the
/// shortest aim of callers. Four steps stay within the 1.4 s of a caller's try.
const PRIORITY_STEP: Duration = Duration::from_millis(60);
/// Steps that are told apart.
const MAX_PRIORITY_STEPS: u8 = 4;
/// Work assumed before any request was measured.
const ASSUMED_REQUEST_TIME: Duration = Duration::from_millis(50);
/// Flows that wait at one agent, at most: each keeps its opening packet.
const MAX_WAITING_FLOWS: usize = 512;
/// Flows that may wait for each slot however few are served: as much as the work of one differs.
const MIN_WAITING_PER_SLOT: usize = 2;
/// How long a flow may wait: its caller's try of 1.4 s, less the ways.
const MAX_WAIT: Duration = Duration::from_millis(1_300);
/// While nothing is known of the rate, whoever waits in vain for one try may wait for the two others: a
/// caller that is refused at once has soon used up all three. With the time of one try 2.7 % of a
/// day's requests failed after a return, with that of all three 1.8 %.
const ATTEMPTS_PER_CALLER: f64 = 3.0;
/// What was served in this time tells what will be: as long as callers go on with all their tries. After
/// 1 s new flows still take most slots that are free a moment later: worth of a day 0.84 -> 0.78.
const RATE_WINDOW: Duration = Duration::from_secs(3);
/// Requests beyond its slots that the back end has while flows wait: their handshakes, two ways to the
/// caller, overlap with the work of others, so that no slot rests meanwhile.
const HANDSHAKING_REQUESTS: u32 = 1;

/// A flow that waits.
#[derive(Debug)]
pub(super) struct WaitingFlow {
    pub(super) flow: FlowKey,
    /// The offer's number at the balancer.
    pub(super) number: u64,
    /// The balancer that offered the flow last.
    pub(super) balancer: SocketAddrV4,
    /// The opening packet.
    pub(super) datagram: Vec<u8>,
    /// Sequence number of the opening packet.
    pub(super) syn_sequence: u32,
    /// Its caller's try lasts no longer.
    pub(super) expires_at: Duration,
    pub(super) queued_at: Duration,
}

/// The order in which flows are served: the one whose try lasts longest first.
type QueueKey = (Reverse<Duration>, u64);

/// The flows that wait.
#[derive(Debug, Default)]
pub(super) struct WaitQueue {
    entries: BTreeMap<QueueKey, WaitingFlow>,
    keys_by_flow: HashMap<FlowKey, QueueKey>,
    /// When flows expire, the next one first.
    expiries: BTreeMap<(Duration, u64), FlowKey>,
    last_serial: u64,
    /// Since when somebody has waited all the while.
    non_empty_since: Duration,
    /// When flows were served from the line, within the last [`RATE_SPAN`].
    served: VecDeque<Duration>,
}

impl WaitQueue {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// When the next flow expires.
    pub(super) fn next_expiry(&self) -> Option<Duration> {
        self.expiries.first_key_value().map(|((at, _), _)| *at)
    }

    pub(super) fn get_mut(&mut self, flow: &FlowKey) -> Option<&mut WaitingFlow> {
        let key = self.keys_by_flow.get(flow)?;
        self.entries.get_mut(key)
    }

    pub(super) fn push(&mut self, now: Duration, entry: WaitingFlow, priority: u8) {
        if self.entries.is_empty() {
            self.non_empty_since = now;
            self.served.clear();
        }
        self.last_serial += 1;
        let handicap = PRIORITY_STEP * u32::from(priority.min(MAX_PRIORITY_STEPS));
        let key = (Reverse(entry.expires_at.saturating_sub(handicap)), self.last_serial);
        self.keys_by_flow.insert(entry.flow, key);
        self.expiries.insert((entry.expires_at, self.last_serial), entry.flow);
        self.entries.insert(key, entry);
    }

    /// A flow was given to the back end.
    fn note_served(&mut self, now: Duration) {
        self.served.push_back(now);
    }

    /// Flows that are served from the line in a second; `None` while that is not known.
    fn rate(&mut self, now: Duration) -> Option<f64> {
        while self.served.front().is_some_and(|at| now.saturating_sub(*at) >= RATE_WINDOW) {
            self.served.pop_front();
        }
        let is_known = now.saturating_sub(self.non_empty_since) >= RATE_WINDOW;
        is_known.then(|| self.served.len() as f64 / RATE_WINDOW.as_secs_f64())
    }

    /// Takes the flow that has waited longest.
    fn pop_oldest(&mut self) -> Option<WaitingFlow> {
        let flow = *self.expiries.first_key_value()?.1;
        self.remove(&flow)
    }

    /// Takes the flow that is served next.
    pub(super) fn pop(&mut self) -> Option<WaitingFlow> {
        let key = *self.entries.first_key_value()?.0;
        self.take(key)
    }

    pub(super) fn remove(&mut self, flow: &FlowKey) -> Option<WaitingFlow> {
        let key = *self.keys_by_flow.get(flow)?;
        self.take(key)
    }

    /// Takes a flow that has expired.
    fn pop_expired(&mut self, now: Duration) -> Option<WaitingFlow> {
        let (_, flow) = self.expiries.first_key_value().filter(|((at, _), _)| *at <= now)?;
        let flow = *flow;
        self.remove(&flow)
    }

    fn take(&mut self, key: QueueKey) -> Option<WaitingFlow> {
        let entry = self.entries.remove(&key)?;
        self.keys_by_flow.remove(&entry.flow);
        self.expiries.remove(&(entry.expires_at, key.1));
        Some(entry)
    }
}

/// How many flows may wait where each takes `work` of one of `capacity` slots and `rate` a second were
/// served from the line, as far as that is known: as many as are served until their callers' tries are
/// over. All others surely are not, and are told at once.
///
/// Load: a service is back after 1.5 s, 4,400 callers wait for it and 1,700 come each second, 2,800 are
/// worked off; nothing is known of the rate then, and it may be all of the back end's. In an overload
/// that lasts, new flows that can be answered in time take nearly all slots; few are served from the
/// line, and few wait for nothing.
pub(super) fn max_waiting(capacity: u16, work: Duration, rate: Option<f64>) -> usize {
    let full = f64::from(capacity.max(1)) / work.max(Duration::from_millis(1)).as_secs_f64();
    let rate = rate.map_or(full * ATTEMPTS_PER_CALLER, |rate| rate.min(full));
    let served = rate * MAX_WAIT.as_secs_f64();
    (served as usize).clamp(usize::from(capacity) * MIN_WAITING_PER_SLOT, MAX_WAITING_FLOWS)
}

impl<F: SegmentFormat> CarriedAgent<F> {
    /// Whether the back end has room for a flow that waits. New flows that can still be answered in
    /// time are taken by another limit, and go first for that.
    fn has_room_for_waiting(&self, now: Duration) -> bool {
        let limit = u32::from(self.backend.capacity()) + HANDSHAKING_REQUESTS;
        let limit = self.breaker_limit(now).map_or(limit, |breaker_limit| breaker_limit.min(limit));
        self.in_flight < limit && self.cold_allowance(now) != Some(0)
    }

    /// Whether a request that comes now would be answered within `within`.
    fn can_answer_within(&self, now: Duration, within: Duration) -> bool {
        let limit = self.work.admission_limit(u32::from(self.backend.capacity()), within);
        !within.is_zero()
            && self.in_flight < limit
            && self.cold_allowance(now) != Some(0)
            && self.breaker_limit(now).is_none_or(|limit| self.in_flight < limit)
    }

    /// Takes a flow at once or has it wait.
    pub(super) fn accept_or_queue(
        &mut self,
        now: Duration,
        entry: WaitingFlow,
        within: Duration,
        priority: u8,
    ) {
        if self.can_answer_within(now, within)
            || (self.wait_queue.is_empty() && self.has_room_for_waiting(now))
        {
            return self.accept_flow(now, entry);
        }
        let work = match self.work.mean_us() {
            0 => ASSUMED_REQUEST_TIME,
            mean => Duration::from_micros(u64::from(mean)),
        };
        self.counters.flows_queued += 1;
        let message = Message::Queued { number: entry.number, report: self.report(now) };
        self.outputs.push_back(Output::ToPeer { to: entry.balancer, message });
        self.wait_queue.push(now, entry, priority);
        let limit = max_waiting(self.backend.capacity(), work, self.wait_queue.rate(now));
        while self.wait_queue.len() > limit
            && let Some(oldest) = self.wait_queue.pop_oldest()
        {
            self.decline(now, oldest.balancer, oldest.number, &oldest.flow, DeclineReason::Busy);
        }
    }

    /// Whether an offer is a copy, perhaps through another balancer, of one that goes on waiting: its
    /// place and the end of its try stay as they are, and the balancer that has it now is told what
    /// becomes of it.
    pub(super) fn update_waiting(
        &mut self,
        now: Duration,
        retransmitted: &WaitingFlow,
        admission: Admission,
        decline: Option<DeclineReason>,
    ) -> bool {
        let may_queue = matches!(admission, Admission::Line { .. }) && decline.is_none();
        let Some(waiting) = self.wait_queue.get_mut(&retransmitted.flow) else { return false };
        let is_retransmission = waiting.syn_sequence == retransmitted.syn_sequence;
        let stays = may_queue || decline == Some(DeclineReason::Busy);
        if !is_retransmission || !stays {
            self.wait_queue.remove(&retransmitted.flow);
            return false;
        }
        (waiting.balancer, waiting.number) = (retransmitted.balancer, retransmitted.number);
        let message = Message::Queued { number: retransmitted.number, report: self.report(now) };
        self.outputs.push_back(Output::ToPeer { to: retransmitted.balancer, message });
        true
    }

    /// Gives the back end the flows that it has room for, and declines those that wait in vain.
    pub(super) fn serve_wait_queue(&mut self, now: Duration) {
        if self.wait_queue.is_empty() {
            return;
        }
        while let Some(entry) = self.wait_queue.pop_expired(now) {
            self.counters.flows_expired += 1;
            self.decline(now, entry.balancer, entry.number, &entry.flow, DeclineReason::Busy);
        }
        if let Some(reason) = self.reason_to_decline_all(now, false) {
            return self.decline_all_waiting(now, reason);
        }
        while self.has_room_for_waiting(now) {
            let Some(entry) = self.wait_queue.pop() else { return };
            if self.is_opened_already(&entry) {
                self.send_placed(now, entry.balancer, entry.number);
                continue;
            }
            self.wait_queue.note_served(now);
            self.latency.line.observe(now.saturating_sub(entry.queued_at));
            self.accept_flow(now, entry);
        }
    }

    /// Whether another copy of its opening packet has opened a flow that waits.
    fn is_opened_already(&self, entry: &WaitingFlow) -> bool {
        let known = self.flows.find(&entry.flow).and_then(|id| self.flows.get(id));
        known.is_some_and(|flow| flow.body.was_opened_by_syn(entry.syn_sequence))
    }

    /// Declines every flow that waits.
    pub(super) fn decline_all_waiting(&mut self, now: Duration, reason: DeclineReason) {
        while let Some(entry) = self.wait_queue.pop() {
            self.decline(now, entry.balancer, entry.number, &entry.flow, reason);
        }
    }

    /// Passes a flow's opening packet to the back end.
    pub(super) fn accept_flow(&mut self, now: Duration, entry: WaitingFlow) {
        self.counters.offers_taken += 1;
        self.cold_rate_limit.note_admitted(now);
        // While it waited its back end may have spoken of an earlier flow of the port.
        if let Some(id) = self.flows.find(&entry.flow) {
            self.remove(now, id);
        }
        let mut body = CarriedFlow::new(now, entry.balancer, Phase::Idle);
        body.syn_sequence = Some(entry.syn_sequence);
        let id = self.flows.insert(entry.flow, body);
        self.set_phase(now, id, Phase::Opening { number: entry.number });
        self.outputs.push_back(Output::ToBackend(entry.datagram));
    }
}
