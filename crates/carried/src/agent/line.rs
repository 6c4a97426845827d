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
const MOST_STEPS: u8 = 4;
/// Work assumed before any request was measured.
const ASSUMED_WORK: Duration = Duration::from_millis(50);
/// Flows that wait at one agent, at most: each keeps its opening packet.
const MOST_WAITING: usize = 512;
/// Flows that may wait for each slot however few are served: as much as the work of one differs.
const LEAST_ROUNDS: usize = 2;
/// How long a flow may wait: its caller's try of 1.4 s, less the ways.
const LONGEST_WAIT: Duration = Duration::from_millis(1_300);
/// While nothing is known of the rate, whoever waits in vain for one try may wait for the two others: a
/// caller that is refused at once has soon used up all three. With the time of one try 2.7 % of a
/// day's requests failed after a return, with that of all three 1.8 %.
const UNKNOWN_TRIES: f64 = 3.0;
/// What was served in this time tells what will be: as long as callers go on with all their tries. After
/// 1 s new flows still take most slots that are free a moment later: worth of a day 0.84 -> 0.78.
const RATE_SPAN: Duration = Duration::from_secs(3);
/// Requests beyond its slots that the back end has while flows wait: their handshakes, two ways to the
/// caller, overlap with the work of others, so that no slot rests meanwhile.
const OVERLAP: u32 = 1;

/// A flow that waits.
#[derive(Debug)]
pub(super) struct InLine {
    pub(super) flow: FlowKey,
    /// The offer's number at the balancer.
    pub(super) number: u64,
    /// The balancer that offered the flow last.
    pub(super) balancer: SocketAddrV4,
    /// The opening packet.
    pub(super) datagram: Vec<u8>,
    /// Sequence number of the opening packet.
    pub(super) opened_with: u32,
    /// Its caller's try lasts no longer.
    pub(super) expires_at: Duration,
    pub(super) joined_at: Duration,
}

/// The order in which flows are served: the one whose try lasts longest first.
type Place = (Reverse<Duration>, u64);

/// The flows that wait.
#[derive(Debug, Default)]
pub(super) struct Line {
    places: BTreeMap<Place, InLine>,
    by_flow: HashMap<FlowKey, Place>,
    /// When flows expire, the next one first.
    expiries: BTreeMap<(Duration, u64), FlowKey>,
    last: u64,
    /// Since when somebody has waited all the while.
    waits_since: Duration,
    /// When flows were served from the line, within the last [`RATE_SPAN`].
    served: VecDeque<Duration>,
}

impl Line {
    pub(super) fn len(&self) -> usize {
        self.places.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// When the next flow expires.
    pub(super) fn next_expiry(&self) -> Option<Duration> {
        self.expiries.first_key_value().map(|((at, _), _)| *at)
    }

    pub(super) fn get_mut(&mut self, flow: &FlowKey) -> Option<&mut InLine> {
        let place = self.by_flow.get(flow)?;
        self.places.get_mut(place)
    }

    pub(super) fn join(&mut self, now: Duration, entry: InLine, priority: u8) {
        if self.places.is_empty() {
            self.waits_since = now;
            self.served.clear();
        }
        self.last += 1;
        let handicap = PRIORITY_STEP * u32::from(priority.min(MOST_STEPS));
        let place = (Reverse(entry.expires_at.saturating_sub(handicap)), self.last);
        self.by_flow.insert(entry.flow, place);
        self.expiries.insert((entry.expires_at, self.last), entry.flow);
        self.places.insert(place, entry);
    }

    /// A flow was given to the back end.
    fn note_served(&mut self, now: Duration) {
        self.served.push_back(now);
    }

    /// Flows that are served from the line in a second; `None` while that is not known.
    fn rate(&mut self, now: Duration) -> Option<f64> {
        while self.served.front().is_some_and(|at| now.saturating_sub(*at) >= RATE_SPAN) {
            self.served.pop_front();
        }
        let is_known = now.saturating_sub(self.waits_since) >= RATE_SPAN;
        is_known.then(|| self.served.len() as f64 / RATE_SPAN.as_secs_f64())
    }

    /// Takes the flow that has waited longest.
    fn pop_oldest(&mut self) -> Option<InLine> {
        let flow = *self.expiries.first_key_value()?.1;
        self.remove(&flow)
    }

    /// Takes the flow that is served next.
    pub(super) fn pop(&mut self) -> Option<InLine> {
        let place = *self.places.first_key_value()?.0;
        self.take(place)
    }

    pub(super) fn remove(&mut self, flow: &FlowKey) -> Option<InLine> {
        let place = *self.by_flow.get(flow)?;
        self.take(place)
    }

    /// Takes a flow that has expired.
    fn pop_expired(&mut self, now: Duration) -> Option<InLine> {
        let (_, flow) = self.expiries.first_key_value().filter(|((at, _), _)| *at <= now)?;
        let flow = *flow;
        self.remove(&flow)
    }

    fn take(&mut self, place: Place) -> Option<InLine> {
        let entry = self.places.remove(&place)?;
        self.by_flow.remove(&entry.flow);
        self.expiries.remove(&(entry.expires_at, place.1));
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
pub(super) fn most_waiting(capacity: u16, work: Duration, rate: Option<f64>) -> usize {
    let full = f64::from(capacity.max(1)) / work.max(Duration::from_millis(1)).as_secs_f64();
    let rate = rate.map_or(full * UNKNOWN_TRIES, |rate| rate.min(full));
    let served = rate * LONGEST_WAIT.as_secs_f64();
    (served as usize).clamp(usize::from(capacity) * LEAST_ROUNDS, MOST_WAITING)
}

impl<F: SegmentFormat> CarriedAgent<F> {
    /// Whether the back end has room for a flow that waits. New flows that can still be answered in
    /// time are taken by another limit, and go first for that.
    fn has_room_for_line(&self, now: Duration) -> bool {
        let most = u32::from(self.backend.capacity()) + OVERLAP;
        let most = self.breaker_limit(now).map_or(most, |limit| limit.min(most));
        self.waiting < most && self.cold_room(now) != Some(0)
    }

    /// Whether a request that comes now would be answered within `within`.
    fn is_in_time(&self, now: Duration, within: Duration) -> bool {
        let limit = self.work.admission_limit(u32::from(self.backend.capacity()), within);
        !within.is_zero()
            && self.waiting < limit
            && self.cold_room(now) != Some(0)
            && self.breaker_limit(now).is_none_or(|limit| self.waiting < limit)
    }

    /// Takes a flow at once or has it wait.
    pub(super) fn admit_to_line(
        &mut self,
        now: Duration,
        entry: InLine,
        within: Duration,
        priority: u8,
    ) {
        if self.is_in_time(now, within) || (self.line.is_empty() && self.has_room_for_line(now)) {
            return self.take_flow(now, entry);
        }
        let work = match self.work.mean_us() {
            0 => ASSUMED_WORK,
            mean => Duration::from_micros(u64::from(mean)),
        };
        self.counters.flows_queued += 1;
        let message = Message::Queued { number: entry.number, report: self.report(now) };
        self.outputs.push_back(Output::ToPeer { to: entry.balancer, message });
        self.line.join(now, entry, priority);
        let most = most_waiting(self.backend.capacity(), work, self.line.rate(now));
        while self.line.len() > most
            && let Some(oldest) = self.line.pop_oldest()
        {
            self.decline(now, oldest.balancer, oldest.number, &oldest.flow, DeclineReason::Busy);
        }
    }

    /// Whether an offer is a copy, perhaps through another balancer, of one that goes on waiting: its
    /// place and the end of its try stay as they are, and the balancer that has it now is told what
    /// becomes of it.
    pub(super) fn keeps_waiting(
        &mut self,
        now: Duration,
        copy: &InLine,
        admission: Admission,
        refusal: Option<DeclineReason>,
    ) -> bool {
        let is_line = matches!(admission, Admission::Line { .. }) && refusal.is_none();
        let Some(waiting) = self.line.get_mut(&copy.flow) else { return false };
        let is_copy = waiting.opened_with == copy.opened_with;
        let stays = is_line || refusal == Some(DeclineReason::Busy);
        if !is_copy || !stays {
            self.line.remove(&copy.flow);
            return false;
        }
        (waiting.balancer, waiting.number) = (copy.balancer, copy.number);
        let message = Message::Queued { number: copy.number, report: self.report(now) };
        self.outputs.push_back(Output::ToPeer { to: copy.balancer, message });
        true
    }

    /// Gives the back end the flows that it has room for, and declines those that wait in vain.
    pub(super) fn serve_line(&mut self, now: Duration) {
        if self.line.is_empty() {
            return;
        }
        while let Some(entry) = self.line.pop_expired(now) {
            self.counters.flows_expired += 1;
            self.decline(now, entry.balancer, entry.number, &entry.flow, DeclineReason::Busy);
        }
        if let Some(reason) = self.closed(now, false) {
            return self.empty_line(now, reason);
        }
        while self.has_room_for_line(now) {
            let Some(entry) = self.line.pop() else { return };
            if self.has_opened(&entry) {
                self.tell_placed(now, entry.balancer, entry.number);
                continue;
            }
            self.line.note_served(now);
            self.latency.wait_queue.observe(now.saturating_sub(entry.joined_at));
            self.take_flow(now, entry);
        }
    }

    /// Whether another copy of its opening packet has opened a flow that waits.
    fn has_opened(&self, entry: &InLine) -> bool {
        let known = self.flows.find(&entry.flow).and_then(|id| self.flows.get(id));
        known.is_some_and(|flow| flow.body.was_opened_by(entry.opened_with))
    }

    /// Declines every flow that waits.
    pub(super) fn empty_line(&mut self, now: Duration, reason: DeclineReason) {
        while let Some(entry) = self.line.pop() {
            self.decline(now, entry.balancer, entry.number, &entry.flow, reason);
        }
    }

    /// Passes a flow's opening packet to the back end.
    pub(super) fn take_flow(&mut self, now: Duration, entry: InLine) {
        self.counters.offers_taken += 1;
        self.cold_gate.note(now);
        // While it waited its back end may have spoken of an earlier flow of the port.
        if let Some(id) = self.flows.find(&entry.flow) {
            self.remove(now, id);
        }
        let mut body = CarriedFlow::new(now, entry.balancer, Phase::Resting);
        body.opened_with = Some(entry.opened_with);
        let id = self.flows.insert(entry.flow, body);
        self.set_phase(now, id, Phase::Offered { number: entry.number });
        self.outputs.push_back(Output::ToBackend(entry.datagram));
    }
}
