//! New flows that cannot be placed: the caller is reset, or the flow is dropped without a reset so
//! that a retransmitted SYN starts over.

use super::*;
use crate::pending_flow::PendingFlow;

/// Why a new flow is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    NoRoute,
    Busy,
    Unavailable,
    Unanswered,
}

impl Refusal {
    pub(super) fn name(self) -> &'static str {
        match self {
            Refusal::NoRoute => "no_route",
            Refusal::Busy => "busy",
            Refusal::Unavailable => "no_backend_accepts",
            Refusal::Unanswered => "no_agent_answered",
        }
    }
}

impl<F: SegmentFormat> CarriedBalancer<F> {
    /// Resets the caller of a new flow.
    pub(super) fn refuse(
        &mut self,
        now: Duration,
        segment: &Segment,
        refusal: Refusal,
        pending: Option<&PendingFlow>,
    ) {
        match refusal {
            Refusal::NoRoute => self.counters.openings_refused_no_route += 1,
            Refusal::Busy => self.counters.openings_refused_busy += 1,
            Refusal::Unavailable => self.counters.openings_refused_unavailable += 1,
            Refusal::Unanswered => self.counters.openings_given_up += 1,
        }
        log::warn!(
            flow = flow_name(&segment.flow()).as_str(), reason = refusal.name(),
            age_ms = pending.map_or(0, |pending| pending.age(now).as_millis() as u64),
            service = pending.map_or("", |pending| pending.service.as_str()),
            asked = pending.map(|pending| self.describe_offers(now, pending)).unwrap_or_default().as_str(),
            configuration:% = self.cluster.configuration.version; "opening_refused"
        );
        let datagram = self.format.reset(segment);
        self.outputs.push_back(Output::ToCaller { host: *segment.source.ip(), datagram });
    }

    /// Drops a pending flow without a reset: it may have been placed, or the caller may have
    /// retransmitted its SYN through another balancer.
    pub(super) fn give_up(&mut self, now: Duration, pending: &PendingFlow, refusal: Refusal) {
        self.counters.openings_left_to_copies += 1;
        log::warn!(
            flow = flow_name(&pending.flow()).as_str(), reason = refusal.name(),
            age_ms = pending.age(now).as_millis() as u64,
            asked = self.describe_offers(now, pending).as_str(),
            configuration:% = self.cluster.configuration.version; "opening_left_to_copies"
        );
    }

    /// Describes, for the log, the agents that were offered a flow, with the answer, last reported
    /// load and age of that report of each.
    pub(super) fn describe_offers(&self, now: Duration, pending: &PendingFlow) -> String {
        let describe = |offer: &Offer| {
            let answer = match offer.answer {
                OfferAnswer::Pending => "pending",
                OfferAnswer::Unanswered => "unanswered",
                OfferAnswer::Queued => "queued",
                OfferAnswer::Declined(reason) => reason.name(),
            };
            let view = self.pool.view(&offer.agent);
            let load = view.map(|view| (view.report.waiting, view.report.capacity, view.age(now)));
            let (waiting, capacity, age) = load.unwrap_or_default();
            let age = age.as_millis();
            format!("{}:{answer}:{waiting}/{capacity}:{age}ms", offer.agent.ip())
        };
        pending.offers.iter().map(describe).collect::<Vec<_>>().join(",")
    }
}
