//! Questions about flows, packets on trial, and flows that the back end has lost.
//!
//! Invariant: a caller is told that its flow is over only when the flow was open at this back end,
//! by what its packets acknowledge, and the back end says that it does not hold it any more.

use super::condition::up_ms;
use super::*;
use crate::message::{FlowAnswer, FlowQuery, FlowStatus};

/// A back end that lives has sent a heartbeat so long after its agent's start.
const FIRST_REPORT_PATIENCE: Duration = Duration::from_millis(1_500);

impl<F: SegmentFormat> CarriedAgent<F> {
    /// Tells a balancer whether flows live here.
    pub(super) fn handle_find(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        questions: &[FlowQuery],
    ) {
        self.counters.lookups_received += questions.len() as u64;
        let mut answer = |question: &FlowQuery| {
            let status = self.word(now, from, &question.flow.into(), question.acknowledged);
            FlowAnswer { flow: question.flow, status }
        };
        let answers = questions.iter().map(&mut answer).collect();
        self.outputs.push_back(Output::ToPeer {
            to: from,
            message: Message::LookupReply { uptime_ms: up_ms(now), answers },
        });
    }

    /// What is known of a flow of which a packet came to a balancer.
    fn word(
        &mut self,
        now: Duration,
        balancer: SocketAddrV4,
        flow: &FlowKey,
        acknowledged: Option<u32>,
    ) -> FlowStatus {
        if self.watch.has_ended {
            return FlowStatus::Absent;
        }
        if let Some(known) = self.flows.find(flow).and_then(|id| self.flows.get_mut(id)) {
            return match &mut known.body {
                // The back end has not told yet.
                body if body.phase == Phase::Tried => FlowStatus::Unknown,
                body if body.acknowledges(acknowledged) => {
                    body.balancer = balancer;
                    FlowStatus::Owned
                }
                _ => FlowStatus::Absent,
            };
        }
        if !self.may_have_forgotten(now, flow) {
            return FlowStatus::Absent;
        }
        let is_early = !self.knows_backend() && now < FIRST_REPORT_PATIENCE;
        if is_early { FlowStatus::NotReady } else { FlowStatus::Unknown }
    }

    /// Has the back end tell whether it holds the flow of a packet.
    pub(super) fn handle_try(&mut self, now: Duration, from: SocketAddrV4, datagram: Vec<u8>) {
        let Ok(segment) = self.format.parse(&datagram) else {
            self.counters.packets_malformed += 1;
            return;
        };
        let flow = segment.flow();
        let known = self.flows.find(&flow).and_then(|id| self.flows.get(id));
        let may_live = match known.map(|flow| flow.body.phase) {
            Some(phase) => phase == Phase::Tried,
            None => self.may_have_forgotten(now, &flow),
        };
        if may_live && !self.watch.has_ended {
            return self.deliver(now, from, datagram);
        }
        let acknowledged = segment.ack.then_some(segment.acknowledgement);
        let word = self.word(now, from, &flow, acknowledged);
        self.tell_word(now, from, flow, word);
    }

    pub(super) fn tell_word(
        &mut self,
        now: Duration,
        to: SocketAddrV4,
        flow: FlowKey,
        status: FlowStatus,
    ) {
        let answers = vec![FlowAnswer { flow: flow.into(), status }];
        self.outputs.push_back(Output::ToPeer {
            to,
            message: Message::LookupReply { uptime_ms: up_ms(now), answers },
        });
    }

    /// A packet of a flow whose back end has ended.
    pub(super) fn refuse_ended(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        id: FlowId,
        segment: &Segment,
        datagram: Vec<u8>,
    ) {
        let is_open = self.flows.get(id).is_some_and(|flow| flow.body.is_open_here(segment));
        self.remove(now, id);
        match is_open {
            true => self.tell_over(from, segment, "backend_ended"),
            false => self.pass_back(from, datagram),
        }
    }

    /// The back end does not hold a flow that was open there: its caller is told at once.
    pub(super) fn tell_over(&mut self, balancer: SocketAddrV4, segment: &Segment, reason: &str) {
        let flow = segment.flow();
        if !self.settings.policies.is_enabled(Policy::ResetUnowned) {
            return;
        }
        self.counters.flows_reset += 1;
        log::warn!(
            flow = flow_name(&flow).as_str(), reason, balancer:% = balancer;
            "flow_reset"
        );
        let datagram = self.format.reset(segment);
        self.outputs.push_back(Output::ToCaller { host: *flow.caller.ip(), datagram });
        let message = Message::Ended { flow: flow.into() };
        self.outputs.push_back(Output::ToPeer { to: balancer, message });
    }
}
