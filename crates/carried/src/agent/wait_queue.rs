//! The wait queue: new flows that wait at the agent until its back end has room.
//!
//! A caller whose SYN is refused tries again within milliseconds and soon has no attempts left. If
//! its SYN waits instead, the caller is answered as soon as there is room, until its attempt times
//! out. Flows wait at the agent because only the agent knows when a request has ended. This costs
//! one offer and two replies per flow, whereas a balancer that polled agents would send one offer
//! per poll.
//!
//! Invariants:
//! - The back end has done no work for a waiting flow, and the flow leaves the queue once: it is
//!   passed to the back end, or declined with a message to its balancer.
//! - No more flows wait than can be served before their callers' attempts time out, as far as that
//!   is known: when one more arrives, the one that has waited longest is declined at once.
//! - The flow that arrived last is served first (LIFO), except that each step of priority counts as
//!   [`PRIORITY_STEP`]. When there is room for all, the order does not matter. When there is not,
//!   FIFO would serve every flow near the end of its caller's attempt, too late for the answer to
//!   arrive.

use super::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// A flow of a route that is one step less urgent is ordered as if it had arrived this much
/// earlier: half of the shortest response time that any route aims for. Four steps stay well within
/// the 1.4 s for which a caller's attempt lasts.
const PRIORITY_STEP: Duration = Duration::from_millis(60);
/// Routes that are less urgent than this many steps are treated alike.
const MAX_PRIORITY_STEPS: u8 = 4;
/// Time that a request keeps a slot, assumed until one has been measured.
const ASSUMED_REQUEST_TIME: Duration = Duration::from_millis(50);
/// Maximum number of flows that wait at one agent; bounds memory, since each keeps its SYN.
const MAX_WAITING_FLOWS: usize = 512;
/// Flows that may wait per slot however low the service rate is, since the time that single
/// requests take differs by about this factor.
const MIN_WAITING_PER_SLOT: usize = 2;
/// How long a flow may wait: the 1.4 s of its caller's attempt, less the network round trip.
const MAX_WAIT: Duration = Duration::from_millis(1_300);
/// Attempts that a caller makes. While the service rate is unknown, the queue holds as many flows
/// as are served within all of them, since a flow that gets no slot during one attempt may wait
/// again during the next. A queue sized for one attempt fails more requests after a service comes
/// back: callers that are declined at once soon use up all three.
const ATTEMPTS_PER_CALLER: f64 = 3.0;
/// Window over which the service rate of the queue is measured: the time for which a caller goes on
/// with all its attempts. 1 s is too short after an outage: new flows still take most of the slots,
/// which are free for waiting flows a moment later, so the measured rate would be too low.
const RATE_WINDOW: Duration = Duration::from_secs(3);
/// Flows beyond its slots that the back end is given while others wait. Their handshakes take a
/// network round trip to the caller, which overlaps with the requests of others, so that no slot is
/// idle meanwhile.
const HANDSHAKING_REQUESTS: u32 = 1;

/// A new flow that waits, or is about to be accepted.
#[derive(Debug)]
pub(super) struct WaitingFlow {
    pub(super) flow: FlowKey,
    /// The number of the balancer's offer.
    pub(super) number: u64,
    /// The balancer that made the latest offer of the flow.
    pub(super) balancer: SocketAddrV4,
    /// The SYN packet.
    pub(super) datagram: Vec<u8>,
    /// Sequence number of the SYN.
    pub(super) syn_sequence: u32,
    /// When the caller's attempt times out.
    pub(super) expires_at: Duration,
    pub(super) queued_at: Duration,
}

/// The order in which flows are served: the one whose attempt times out last comes first. The
/// number is a serial that makes keys unique.
type QueueKey = (Reverse<Duration>, u64);

/// The flows that wait, in the order in which they are served.
#[derive(Debug, Default)]
pub(super) struct WaitQueue {
    entries: BTreeMap<QueueKey, WaitingFlow>,
    keys_by_flow: HashMap<FlowKey, QueueKey>,
    /// Flows by their expiry, the next one first, with their serial.
    expiries: BTreeMap<(Duration, u64), FlowKey>,
    last_serial: u64,
    /// Since when the queue has not been empty.
    non_empty_since: Duration,
    /// Times within the last [`RATE_WINDOW`] at which flows of the queue were passed to the back
    /// end.
    served: VecDeque<Duration>,
}

impl WaitQueue {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// When the next waiting flow expires.
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
        let penalty = PRIORITY_STEP * u32::from(priority.min(MAX_PRIORITY_STEPS));
        let key = (Reverse(entry.expires_at.saturating_sub(penalty)), self.last_serial);
        self.keys_by_flow.insert(entry.flow, key);
        self.expiries.insert((entry.expires_at, self.last_serial), entry.flow);
        self.entries.insert(key, entry);
    }

    /// Records that a flow of the queue was passed to the back end.
    fn note_served(&mut self, now: Duration) {
        self.served.push_back(now);
    }

    /// Flows per second that are served from the queue; `None` until that was measured over the
    /// whole window.
    fn rate(&mut self, now: Duration) -> Option<f64> {
        while self.served.front().is_some_and(|at| now.saturating_sub(*at) >= RATE_WINDOW) {
            self.served.pop_front();
        }
        let is_known = now.saturating_sub(self.non_empty_since) >= RATE_WINDOW;
        is_known.then(|| self.served.len() as f64 / RATE_WINDOW.as_secs_f64())
    }

    /// Removes the flow whose attempt times out first.
    fn pop_oldest(&mut self) -> Option<WaitingFlow> {
        let flow = *self.expiries.first_key_value()?.1;
        self.remove(&flow)
    }

    /// Removes the flow that is to be served next.
    pub(super) fn pop(&mut self) -> Option<WaitingFlow> {
        let key = *self.entries.first_key_value()?.0;
        self.take(key)
    }

    pub(super) fn remove(&mut self, flow: &FlowKey) -> Option<WaitingFlow> {
        let key = *self.keys_by_flow.get(flow)?;
        self.take(key)
    }

    /// Removes a flow that has expired, if there is one.
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

/// How many flows may wait if each keeps one of `capacity` slots for `work`, and `rate` flows per
/// second were served from the queue, if known: as many as can be served before their callers'
/// attempts time out. All others could not be served and are declined at once.
///
/// The limit serves two load patterns. When a service comes back after 1.5 s, 4,400 callers wait
/// for it, 1,700 arrive per second and 2,800 per second are served; the queue's rate is unknown
/// then and may be all of the back end's. In a lasting overload, new flows that can be answered in
/// time take nearly all slots: few flows are served from the queue, so only few may wait.
pub(super) fn max_waiting(capacity: u16, work: Duration, rate: Option<f64>) -> usize {
    let full_rate = f64::from(capacity.max(1)) / work.max(Duration::from_millis(1)).as_secs_f64();
    let rate = rate.map_or(full_rate * ATTEMPTS_PER_CALLER, |rate| rate.min(full_rate));
    let served = rate * MAX_WAIT.as_secs_f64();
    // A back end may report more slots than flows may wait; the bound on memory holds nevertheless.
    let wanted = (served as usize).max(usize::from(capacity) * MIN_WAITING_PER_SLOT);
    wanted.min(MAX_WAITING_FLOWS)
}

impl<F: SegmentFormat> CarriedAgent<F> {
    /// Whether the back end has room for a waiting flow. New flows that can still be answered in
    /// time are accepted up to a higher limit, [`Self::can_answer_within`], and so take precedence.
    fn has_room_for_waiting(&self, now: Duration) -> bool {
        let limit = u32::from(self.backend.capacity()) + HANDSHAKING_REQUESTS;
        let limit = self.breaker_limit(now).map_or(limit, |breaker_limit| breaker_limit.min(limit));
        self.in_flight < limit && self.cold_allowance(now) != Some(0)
    }

    /// Whether a request that arrives now would be answered within `within`.
    fn can_answer_within(&self, now: Duration, within: Duration) -> bool {
        let limit = self.work_meter.admission_limit(u32::from(self.backend.capacity()), within);
        !within.is_zero()
            && self.in_flight < limit
            && self.cold_allowance(now) != Some(0)
            && self.breaker_limit(now).is_none_or(|limit| self.in_flight < limit)
    }

    /// Accepts a flow at once, or queues it.
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
        let work = match self.work_meter.mean_us() {
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

    /// Handles an offer of a flow that may be waiting already. `true` if it is, the offer carries a
    /// retransmission of its SYN, perhaps through another balancer, and the flow goes on waiting:
    /// its position and expiry stay as they are, and the balancer of this offer receives the
    /// result. Otherwise a waiting flow is removed, and the offer is handled like a first one.
    pub(super) fn update_waiting(
        &mut self,
        now: Duration,
        offered: &WaitingFlow,
        admission: Admission,
        decline: Option<DeclineReason>,
    ) -> bool {
        let may_queue = matches!(admission, Admission::WaitQueue { .. }) && decline.is_none();
        let Some(waiting) = self.wait_queue.get_mut(&offered.flow) else { return false };
        let is_retransmission = waiting.syn_sequence == offered.syn_sequence;
        let stays = may_queue || decline == Some(DeclineReason::Busy);
        if !is_retransmission || !stays {
            self.wait_queue.remove(&offered.flow);
            return false;
        }
        (waiting.balancer, waiting.number) = (offered.balancer, offered.number);
        let message = Message::Queued { number: offered.number, report: self.report(now) };
        self.outputs.push_back(Output::ToPeer { to: offered.balancer, message });
        true
    }

    /// Passes waiting flows to the back end as far as it has room, and declines expired ones.
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
            self.latency.wait_queue.observe(now.saturating_sub(entry.queued_at));
            self.accept_flow(now, entry);
        }
    }

    /// Whether a waiting flow was opened meanwhile by a retransmission of its SYN.
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

    /// Accepts a flow: passes its SYN to the back end.
    pub(super) fn accept_flow(&mut self, now: Duration, entry: WaitingFlow) {
        self.counters.offers_taken += 1;
        self.cold_rate_limit.note_admitted(now);
        // While this flow waited, the back end may have sent a packet of an earlier flow of the
        // same port, which was added to the table.
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
