//! Questions about flows, packets on trial, and flows that the back end has lost.
//!
//! Invariant: a caller is told that its flow is over only when the flow was open at this back end,
//! by what its packets acknowledge, and the back end says that it does not hold it any more.

use super::condition::message_ms;
use super::*;
use crate::message::{FlowQuestion, FlowWord, Word};

/// A back end that lives has sent a heartbeat so long after its agent's start.
const FIRST_REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);

impl<F: SegmentFormat> CarriedAgent<F> {
    /// Tells a balancer whether flows live here.
    pub(super) fn handle_lookup(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        questions: &[FlowQuestion],
    ) {
        self.counters.lookups_received += questions.len() as u64;
        let mut answer = |question: &FlowQuestion| {
            let word = self.lookup_answer(now, from, &question.flow.into(), question.acknowledged);
            FlowWord { flow: question.flow, word }
        };
        let words = questions.iter().map(&mut answer).collect();
        self.outputs.push_back(Output::ToPeer {
            to: from,
            message: Message::Found { up_ms: message_ms(now), words },
        });
    }

    /// What is known of a flow of which a packet came to a balancer.
    fn lookup_answer(
        &mut self,
        now: Duration,
        balancer: SocketAddrV4,
        flow: &FlowKey,
        acknowledged: Option<u32>,
    ) -> Word {
        if self.probe.has_ended {
            return Word::Absent;
        }
        if let Some(known) = self.flows.find(flow).and_then(|id| self.flows.get_mut(id)) {
            return match &mut known.body {
                // The back end has not told yet.
                body if body.phase == Phase::OnTrial => Word::Unsure,
                body if body.acknowledges_up_to(acknowledged) => {
                    body.balancer = balancer;
                    Word::Held
                }
                _ => Word::Absent,
            };
        }
        if !self.may_have_forgotten(now, flow) {
            return Word::Absent;
        }
        let is_early = !self.knows_backend() && now < FIRST_REPORT_TIMEOUT;
        if is_early { Word::Early } else { Word::Unsure }
    }

    /// Has the back end tell whether it holds the flow of a packet.
    pub(super) fn handle_trial(&mut self, now: Duration, from: SocketAddrV4, datagram: Vec<u8>) {
        let Ok(segment) = self.format.parse(&datagram) else {
            self.counters.packets_malformed += 1;
            return;
        };
        let flow = segment.flow();
        let known = self.flows.find(&flow).and_then(|id| self.flows.get(id));
        let may_be_held = match known.map(|flow| flow.body.phase) {
            Some(phase) => phase == Phase::OnTrial,
            None => self.may_have_forgotten(now, &flow),
        };
        if may_be_held && !self.probe.has_ended {
            return self.deliver(now, from, datagram);
        }
        let acknowledged = segment.acknowledges.then_some(segment.acknowledgement);
        let word = self.lookup_answer(now, from, &flow, acknowledged);
        self.send_lookup_answer(now, from, flow, word);
    }

    pub(super) fn send_lookup_answer(
        &mut self,
        now: Duration,
        to: SocketAddrV4,
        flow: FlowKey,
        word: Word,
    ) {
        let words = vec![FlowWord { flow: flow.into(), word }];
        self.outputs.push_back(Output::ToPeer {
            to,
            message: Message::Found { up_ms: message_ms(now), words },
        });
    }

    /// A packet of a flow whose back end has ended.
    pub(super) fn handle_packet_after_end(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        id: FlowId,
        segment: &Segment,
        datagram: Vec<u8>,
    ) {
        let is_proven = self.flows.get(id).is_some_and(|flow| flow.body.is_proven_open_by(segment));
        self.remove(now, id);
        match is_proven {
            true => self.reset_flow(from, segment, "backend_ended"),
            false => self.return_to_balancer(from, datagram),
        }
    }

    /// The back end does not hold a flow that was open there: its caller is told at once.
    pub(super) fn reset_flow(&mut self, balancer: SocketAddrV4, segment: &Segment, reason: &str) {
        let flow = segment.flow();
        if !self.settings.policies.has(Policy::TellOver) {
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
