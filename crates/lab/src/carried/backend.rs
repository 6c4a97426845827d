//! A simulated back end: slots, a short queue, flows of its own.

use super::fault::FailureMode;
use loftdrift_carried::{BackendReport, Incarnation, PlainFormat, Segment, SegmentFormat};
use loftdrift_wire::FlowKey;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Requests that wait behind the slots before opening packets are sent back.
const MAX_QUEUED_REQUESTS: usize = 12;
/// A back end that said that it leaves goes so long after.
pub(super) const SHUTDOWN_DELAY: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Opened,
    Working,
    Answered,
}

#[derive(Debug)]
struct Flow {
    /// The back end's first number.
    sequence: u32,
    stage: Stage,
    /// The request under way or answered last.
    request: Vec<u8>,
    /// Where the answer to it begins, behind the first number.
    answer_offset: u32,
    /// The caller's next number.
    caller_sequence: u32,
    /// The number of its opening packet.
    syn_sequence: u32,
}

impl Flow {
    /// Takes another request of the same flow.
    fn begin_request(&mut self, segment: &Segment, packet: &[u8]) {
        self.answer_offset += self.request.len() as u32;
        self.request = PlainFormat::data(packet).to_vec();
        self.caller_sequence = segment.end();
        self.stage = Stage::Working;
    }
}

/// A caller whose requests begin so keeps its flow for further ones.
pub(super) const KEEP_FLOW_PREFIX: &[u8] = b"long";

/// What a packet made a back end do.
#[derive(Debug, Default)]
pub(super) struct Reaction {
    /// Packets to send.
    pub(super) packets: Vec<Vec<u8>>,
    /// The opening packet of a flow was taken.
    pub(super) accepted_flow: bool,
    /// A packet showed that the flow is open here.
    pub(super) has_flow: bool,
    /// Work on these flows' requests begins.
    pub(super) started: Vec<FlowKey>,
}

#[derive(Debug)]
pub(super) struct SimulatedBackend {
    pub(super) service: &'static str,
    pub(super) start_number: u64,
    pub(super) is_alive: bool,
    pub(super) is_leaving: bool,
    /// When the agent had taken the word that it leaves.
    pub(super) leaving_since: Option<Duration>,
    pub(super) report_sequence: u64,
    /// How it fails what it is asked, while it does.
    pub(super) failing: Option<FailureMode>,
    slots: usize,
    busy: usize,
    queue: VecDeque<FlowKey>,
    flows: HashMap<FlowKey, Flow>,
    next_sequence: u32,
}

impl SimulatedBackend {
    pub(super) fn new(service: &'static str, slots: usize, start_number: u64) -> Self {
        SimulatedBackend {
            service,
            start_number,
            is_alive: true,
            is_leaving: false,
            leaving_since: None,
            report_sequence: 0,
            failing: None,
            slots,
            busy: 0,
            queue: VecDeque::new(),
            flows: HashMap::new(),
            // Another factor than from flow to flow: else a start goes through its predecessor's numbers,
            // one flow behind it.
            next_sequence: (start_number as u32).wrapping_mul(0x85eb_ca6b),
        }
    }

    pub(super) fn report(&mut self) -> BackendReport {
        self.report_sequence += 1;
        BackendReport {
            incarnation: Incarnation::without_start_time(format!("start-{}", self.start_number)),
            service: self.service.to_owned(),
            capacity: self.slots as u16,
            is_ready: !self.is_leaving,
            warm_up_left: Duration::ZERO,
            sequence: self.report_sequence,
        }
    }

    /// Takes a packet that its agent passed on.
    pub(super) fn receive(&mut self, packet: &[u8]) -> Reaction {
        let mut reaction = Reaction::default();
        let Ok(segment) = PlainFormat.parse(packet) else { return reaction };
        let key = segment.flow();
        if segment.is_syn() {
            self.receive_syn(key, &segment, packet, &mut reaction);
            return reaction;
        }
        let Some(flow) = self.flows.get_mut(&key).filter(|flow| belongs_to(flow, &segment)) else {
            reaction.packets.push(returned_packet(&segment, packet));
            return reaction;
        };
        reaction.has_flow = true;
        let is_new = match flow.stage {
            Stage::Opened => true,
            Stage::Working => false,
            Stage::Answered => segment.sequence == flow.caller_sequence,
        };
        if segment.payload_bytes > 0 && is_new {
            flow.begin_request(&segment, packet);
            let reply = match self.failing {
                Some(FailureMode::Fail) => PlainFormat::FAILED,
                Some(FailureMode::Refuse) => PlainFormat::REFUSED,
                Some(FailureMode::Hang) => return reaction,
                None => &[],
            };
            if !reply.is_empty() {
                flow.stage = Stage::Answered;
                flow.request = reply.to_vec();
                reaction.packets.push(answer(&key, flow, true));
                return reaction;
            }
            self.queue.push_back(key);
            reaction.started = self.start_queued();
        } else if segment.payload_bytes > 0 && flow.stage == Stage::Answered {
            let fin = self.is_leaving || !flow.request.starts_with(KEEP_FLOW_PREFIX);
            reaction.packets.push(answer(&key, flow, fin));
        }
        reaction
    }

    fn receive_syn(
        &mut self,
        key: FlowKey,
        segment: &Segment,
        packet: &[u8],
        reaction: &mut Reaction,
    ) {
        let existing = self.flows.get(&key).filter(|flow| flow.syn_sequence == segment.sequence);
        if let Some(flow) = existing {
            reaction.packets.push(syn_ack(&key, flow.sequence));
            return;
        }
        if self.busy + self.queue.len() >= self.slots + MAX_QUEUED_REQUESTS {
            reaction.packets.push(returned_packet(segment, packet));
            return;
        }
        // Far apart for as many flows as a day has.
        self.next_sequence = self.next_sequence.wrapping_add(0x9e37_79b9);
        let sequence = self.next_sequence;
        let flow = Flow {
            sequence,
            stage: Stage::Opened,
            request: Vec::new(),
            answer_offset: 0,
            caller_sequence: 0,
            syn_sequence: segment.sequence,
        };
        self.flows.insert(key, flow);
        reaction.accepted_flow = true;
        reaction.packets.push(syn_ack(&key, sequence));
    }

    /// Begins work on as many requests as there are slots.
    fn start_queued(&mut self) -> Vec<FlowKey> {
        let mut started = Vec::new();
        while self.busy < self.slots {
            let Some(key) = self.queue.pop_front() else { break };
            self.busy += 1;
            started.push(key);
        }
        started
    }

    /// The request that a flow carries.
    pub(super) fn request(&self, key: &FlowKey) -> Option<&[u8]> {
        self.flows.get(key).map(|flow| flow.request.as_slice())
    }

    /// The work on a request is done.
    pub(super) fn finish(&mut self, key: &FlowKey) -> Reaction {
        let mut reaction = Reaction::default();
        self.busy = self.busy.saturating_sub(1);
        if let Some(flow) = self.flows.get_mut(key) {
            flow.stage = Stage::Answered;
            // One that leaves closes each flow after its next answer.
            let fin = self.is_leaving || !flow.request.starts_with(KEEP_FLOW_PREFIX);
            reaction.packets.push(answer(key, flow, fin));
        }
        reaction.started = self.start_queued();
        reaction
    }
}

/// Whether a packet is of the flow: it acknowledges what the flow has sent.
fn belongs_to(flow: &Flow, segment: &Segment) -> bool {
    let sent = flow.answer_offset + flow.request.len() as u32;
    segment.acknowledgement.wrapping_sub(flow.sequence) <= sent
}

fn returned_packet(segment: &Segment, packet: &[u8]) -> Vec<u8> {
    PlainFormat::write(&Segment { returned: true, ..*segment }, PlainFormat::data(packet))
}

fn syn_ack(key: &FlowKey, sequence: u32) -> Vec<u8> {
    let head = Segment::between(key.service, key.caller);
    PlainFormat::write(&Segment { syn: true, ack: true, sequence, ..head }, &[])
}

/// An answer repeats its request's bytes, so that a caller knows its own.
fn answer(key: &FlowKey, flow: &Flow, fin: bool) -> Vec<u8> {
    let head = Segment::between(key.service, key.caller);
    let sequence = flow.sequence.wrapping_add(flow.answer_offset);
    let segment = Segment { ack: true, fin, sequence, ..head };
    PlainFormat::write(&segment, &flow.request)
}
