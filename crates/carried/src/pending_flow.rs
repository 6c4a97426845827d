//! New flows that no agent has placed yet.
//!
//! A pending flow is offered to one agent after the other. The first round of offers asks for a
//! free slot; if no agent has one, the second round asks any agent that can still answer in time.
//! An agent that does not answer an offer is skipped and may still place the flow: two agents
//! answering the caller does no harm, none answering does.

use crate::flow_table::FlowTable;
use crate::message::{Admission, DeclineReason};
use crate::segment::Segment;
use loftdrift_wire::FlowKey;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Time from the first SYN of an attempt to the SYN itself and to each of its retransmissions.
const SYN_SEND_OFFSETS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];
/// Time after the first SYN at which a caller gives up its attempt to connect.
pub(crate) const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_400);
/// Time of an attempt that must remain when a flow leaves an agent's wait queue: it covers the
/// one-way delays to the back end and to the caller, about 10 ms in all, and a queue in front of a
/// small balancer.
const ATTEMPT_MARGIN: Duration = Duration::from_millis(80);
/// If a flow could wait for less than this, it is not offered to a wait queue.
const MIN_WAIT: Duration = Duration::from_millis(20);
/// Wait queues that a flow is offered to at most: one that turns out to be full, and another.
const MAX_WAIT_QUEUE_OFFERS: usize = 2;
/// A request counts as late after this share of its latency target, because its processing is
/// still to come.
const LATE_TARGET_SHARE: f64 = 0.5;
/// How long after the arrival of the SYN, and of each retransmission, its caller may still be
/// reset. The caller sends the next one a little later.
const RESET_WINDOWS: [Duration; 3] =
    [Duration::from_millis(160), Duration::from_millis(360), Duration::from_millis(700)];
/// An agent that answers late may have placed the flow; if so, the caller proceeds within this
/// time.
const LATE_PLACEMENT_WINDOW: Duration = Duration::from_millis(130);

/// An agent's answer to an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OfferAnswer {
    /// No answer yet.
    Pending,
    /// No answer in time.
    Unanswered,
    /// The flow waits in the agent's wait queue until the back end has room.
    Queued,
    /// The agent has declined the offer.
    Declined(DeclineReason),
}

/// An offer of the flow to one agent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Offer {
    pub(crate) agent: SocketAddrV4,
    pub(crate) admission: Admission,
    pub(crate) answer: OfferAnswer,
    pub(crate) offered_at: Duration,
}

impl Offer {
    /// Whether the offer asked for a place in a queue rather than for a free slot.
    fn requested_queue(&self) -> bool {
        !matches!(self.admission, Admission::FreeSlot | Admission::Spare)
    }

    /// Whether the offer asked for a place in the agent's wait queue.
    fn requested_wait_queue(&self) -> bool {
        matches!(self.admission, Admission::WaitQueue { .. })
    }
}

/// A SYN as it was received.
#[derive(Debug)]
pub(crate) struct ReceivedSyn {
    pub(crate) segment: Segment,
    pub(crate) datagram: Vec<u8>,
    /// Earliest time at which it can have arrived: it may have waited in a socket buffer.
    pub(crate) arrived_at: Duration,
    /// When it was read from the socket.
    pub(crate) received_at: Duration,
    /// Earliest time at which the first SYN of the attempt that this balancer got can have arrived.
    /// The remaining time of the attempt is counted from here.
    pub(crate) first_arrived_at: Duration,
}

/// How long the caller continues its attempt, less the margin; `None` if that is too short to wait.
/// `syn` is the first SYN of the attempt that this balancer got, and `first_arrived_at` the
/// earliest time at which it can have arrived. The `acknowledgement` field of a SYN holds the
/// number of the retransmission.
fn wait_left(now: Duration, syn: &Segment, first_arrived_at: Duration) -> Option<Duration> {
    let sent_after = SYN_SEND_OFFSETS.get(syn.acknowledgement as usize);
    let sent_after = sent_after.copied().unwrap_or(SYN_SEND_OFFSETS[SYN_SEND_OFFSETS.len() - 1]);
    let max_wait = ATTEMPT_TIMEOUT.saturating_sub(sent_after).saturating_sub(ATTEMPT_MARGIN);
    let left = max_wait.saturating_sub(now.saturating_sub(first_arrived_at));
    (left >= MIN_WAIT).then_some(left)
}

impl ReceivedSyn {
    /// Whether the caller continues its attempt for long enough.
    pub(crate) fn is_caller_waiting(&self, now: Duration) -> bool {
        wait_left(now, &self.segment, self.first_arrived_at).is_some()
    }

    /// Whether one of the two packets is a retransmission of the other.
    pub(crate) fn is_retransmission(&self, other: &ReceivedSyn) -> bool {
        self.segment.sequence == other.segment.sequence
    }
}

/// What a new flow requires of a back end.
#[derive(Debug)]
pub(crate) struct Requirements {
    pub(crate) service: String,
    /// Regions that the back end may be in; an empty list allows all.
    pub(crate) regions: Vec<String>,
    /// Response time up to which an answer has its full value.
    pub(crate) latency_target: Duration,
    /// Priority of the flow's requests; 0 is the most urgent.
    pub(crate) priority: u8,
}

/// A new flow that is being assigned to a back end.
#[derive(Debug)]
pub(crate) struct PendingFlow {
    pub(crate) segment: Segment,
    pub(crate) datagram: Vec<u8>,
    pub(crate) service: String,
    /// Regions that the back end may be in; an empty list allows all.
    pub(crate) regions: Vec<String>,
    pub(crate) latency_target: Duration,
    pub(crate) priority: u8,
    pub(crate) received_at: Duration,
    /// Earliest time at which the first SYN that this balancer got can have arrived.
    first_arrived_at: Duration,
    /// Earliest time at which the latest SYN can have arrived: it may have waited in a socket
    /// buffer.
    last_syn_at: Duration,
    /// Number of the latest retransmission; 0 is the first SYN.
    retransmission: u32,
    pub(crate) offers: Vec<Offer>,
    /// Offers made so far, including those of earlier rounds.
    pub(crate) offer_count: u32,
    /// No agent has a free slot: any agent that can answer in time is asked.
    pub(crate) wants_queue: bool,
    /// The flow is offered to agents that may put it into their wait queues.
    pub(crate) wants_wait_queue: bool,
    /// All known back ends of the service fail their requests.
    pub(crate) is_last_resort: bool,
}

/// Whether the sender of the given retransmission of a SYN may still be reset when that packet is
/// of the given age.
pub(crate) fn may_reset_after(retransmission: u32, age: Duration) -> bool {
    let last = RESET_WINDOWS[RESET_WINDOWS.len() - 1];
    age <= RESET_WINDOWS.get(retransmission as usize).copied().unwrap_or(last)
}

impl PendingFlow {
    pub(crate) fn flow(&self) -> FlowKey {
        self.segment.flow()
    }

    pub(crate) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.received_at)
    }

    /// Time since the latest SYN arrived, at most.
    pub(crate) fn last_syn_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_syn_at)
    }

    /// Whether the caller may still be reset. It soon retransmits the SYN, perhaps through another
    /// balancer, where the flow may be opened meanwhile.
    pub(crate) fn may_reset(&self, now: Duration) -> bool {
        may_reset_after(self.retransmission, self.last_syn_age(now))
    }

    /// Whether the latency target has passed, or is too close for a place in a queue.
    pub(crate) fn is_late(&self, now: Duration) -> bool {
        let sent_after = SYN_SEND_OFFSETS.get(self.segment.acknowledgement as usize);
        let sent_after =
            sent_after.copied().unwrap_or(SYN_SEND_OFFSETS[SYN_SEND_OFFSETS.len() - 1]);
        sent_after + self.age(now) >= self.latency_target.mul_f64(LATE_TARGET_SHARE)
    }

    /// How long the flow may wait for room, which is as long as its caller's attempt lasts; `None`
    /// if that is too short.
    pub(crate) fn wait_left(&self, now: Duration) -> Option<Duration> {
        wait_left(now, &self.segment, self.first_arrived_at)
    }

    /// Number of wait queues that the flow may still be offered to.
    pub(crate) fn wait_queues_left(&self) -> usize {
        MAX_WAIT_QUEUE_OFFERS
            .saturating_sub(self.offers.iter().filter(|offer| offer.requested_wait_queue()).count())
    }

    /// Whether the flow has been offered to a wait queue.
    pub(crate) fn has_tried_wait_queue(&self) -> bool {
        self.offers.iter().any(Offer::requested_wait_queue)
    }

    /// Whether an agent was already asked for a place in its wait queue, or cannot provide one.
    pub(crate) fn excludes_wait_queue(&self, agent: &SocketAddrV4) -> bool {
        let is_busy =
            |answer| matches!(answer, OfferAnswer::Declined(reason) if reason.is_transient());
        self.offers.iter().any(|offer| {
            offer.agent == *agent && (offer.requested_wait_queue() || !is_busy(offer.answer))
        })
    }

    /// The agent whose wait queue holds the flow.
    pub(crate) fn queued_agent(&self) -> Option<SocketAddrV4> {
        let queued = self.offers.iter().find(|offer| offer.answer == OfferAnswer::Queued);
        queued.map(|offer| offer.agent)
    }

    /// Whether an agent whose answer is overdue may have placed the flow recently.
    pub(crate) fn may_be_placed(&self, now: Duration) -> bool {
        self.offers.iter().any(|offer| {
            let is_recent = now.saturating_sub(offer.offered_at) < LATE_PLACEMENT_WINDOW;
            offer.answer == OfferAnswer::Unanswered && is_recent
        })
    }

    /// Whether an agent must not be asked, or asked again, in the current round.
    pub(crate) fn excludes(&self, agent: &SocketAddrV4) -> bool {
        self.offers.iter().any(|offer| {
            let this_round = offer.requested_queue() == self.wants_queue;
            let is_busy = offer.answer == OfferAnswer::Declined(DeclineReason::Busy);
            offer.agent == *agent && (this_round || !is_busy)
        })
    }

    /// Whether an agent was asked although its back end fails its requests.
    pub(crate) fn has_tried_failing(&self, agent: &SocketAddrV4) -> bool {
        let is_last_resort = |offer: &Offer| matches!(offer.admission, Admission::Failing(_));
        self.offers.iter().any(|offer| offer.agent == *agent && is_last_resort(offer))
    }

    /// Number of offers made in the current round.
    pub(crate) fn offers_in_round(&self) -> usize {
        let in_round = |offer: &&Offer| offer.requested_queue() == self.wants_queue;
        self.offers.iter().filter(in_round).count()
    }

    /// Whether an agent's answer is still expected, or the flow is in a wait queue.
    pub(crate) fn awaits_answer(&self) -> bool {
        let is_pending = |answer| matches!(answer, OfferAnswer::Pending | OfferAnswer::Queued);
        self.offers.iter().any(|offer| is_pending(offer.answer))
    }

    pub(crate) fn has_unanswered(&self) -> bool {
        self.offers.iter().any(|offer| offer.answer == OfferAnswer::Unanswered)
    }

    pub(crate) fn was_declined(&self, reason: DeclineReason) -> bool {
        self.offers.iter().any(|offer| offer.answer == OfferAnswer::Declined(reason))
    }

    /// Whether the flow was offered to an agent.
    pub(crate) fn was_offered_to(&self, agent: SocketAddrV4) -> bool {
        self.offers.iter().any(|offer| offer.agent == agent)
    }

    /// The latest offer to an agent.
    pub(crate) fn last_offer_to(&mut self, agent: SocketAddrV4) -> Option<&mut Offer> {
        self.offers.iter_mut().rev().find(|offer| offer.agent == agent)
    }
}

/// All pending flows.
#[derive(Debug)]
pub(crate) struct PendingFlows {
    table: FlowTable<PendingFlow>,
}

/// Pending flows at most; further new flows are refused immediately.
const MAX_PENDING_FLOWS: usize = 4_096;

impl PendingFlows {
    /// Creates an empty set whose numbers start after `first`. An answer to an earlier process of
    /// the balancer must not be taken as one to this process.
    pub(crate) fn new(first: u64) -> Self {
        PendingFlows { table: FlowTable::new(first) }
    }

    pub(crate) fn is_full(&self) -> bool {
        self.table.len() >= MAX_PENDING_FLOWS
    }

    pub(crate) fn number_of(&self, flow: &FlowKey) -> Option<u64> {
        self.table.number_of(flow)
    }

    pub(crate) fn start(
        &mut self,
        now: Duration,
        syn: ReceivedSyn,
        requirements: Requirements,
    ) -> u64 {
        let ReceivedSyn { segment, datagram, arrived_at, received_at, first_arrived_at } = syn;
        let Requirements { service, regions, latency_target, priority } = requirements;
        let flow = PendingFlow {
            segment,
            datagram,
            service,
            regions,
            latency_target,
            priority,
            received_at,
            first_arrived_at,
            last_syn_at: arrived_at,
            retransmission: segment.acknowledgement,
            offers: Vec::new(),
            offer_count: 0,
            wants_queue: false,
            wants_wait_queue: false,
            is_last_resort: false,
        };
        self.table.start(now, segment.flow(), flow)
    }

    pub(crate) fn get_mut(&mut self, number: u64) -> Option<&mut PendingFlow> {
        self.table.get_mut(number)
    }

    /// Records a retransmission of the SYN.
    pub(crate) fn note_retransmission(
        &mut self,
        arrived_at: Duration,
        number: u64,
        retransmission: u32,
    ) {
        if let Some(flow) = self.table.get_mut(number) {
            flow.last_syn_at = arrived_at;
            flow.retransmission = retransmission;
        }
    }

    pub(crate) fn finish(&mut self, number: u64) -> Option<PendingFlow> {
        self.table.finish(number)
    }

    pub(crate) fn wake_at(&mut self, number: u64, at: Duration) {
        self.table.wake_at(number, at);
    }

    pub(crate) fn next_wake_up(&self) -> Option<Duration> {
        self.table.next_wake_up()
    }

    /// Returns a pending flow whose wake-up time has come.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<u64> {
        self.table.pop_due(now)
    }
}
