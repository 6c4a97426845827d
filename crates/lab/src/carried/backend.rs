//! A simulated back end: slots, a short queue, flows of its own.

use super::fault::FailureMode;
use loftdrift_carried::{BackendReport, Incarnation, PlainFormat, Segment, SegmentFormat};
use loftdrift_wire::FlowKey;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Requests that wait behind the slots before opening packets are sent back.
const QUEUE: usize = 12;
/// A back end that said that it leaves goes so long after.
pub(super) const LEAVES_AFTER: Duration = Duration::from_secs(4);

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
    answer_from: u32,
    /// The caller's next number.
    next: u32,
    /// The number of its opening packet.
    opened_with: u32,
}

impl Flow {
    /// Takes another request of the same flow.
    fn begin(&mut self, segment: &Segment, packet: &[u8]) {
        self.answer_from += self.request.len() as u32;
        self.request = PlainFormat::data(packet).to_vec();
        self.next = segment.end();
        self.stage = Stage::Working;
    }
}

/// A caller whose requests begin so keeps its flow for further ones.
pub(super) const LONG: &[u8] = b"long";

/// What a packet made a back end do.
#[derive(Debug, Default)]
pub(super) struct Reaction {
    /// Packets to send.
    pub(super) packets: Vec<Vec<u8>>,
    /// The opening packet of a flow was taken.
    pub(super) took_flow: bool,
    /// A packet showed that the flow is open here.
    pub(super) has_flow: bool,
    /// Work on these flows' requests begins.
    pub(super) began: Vec<FlowKey>,
}

#[derive(Debug)]
pub(super) struct SimulatedBackend {
    pub(super) service: &'static str,
    pub(super) start: u64,
    pub(super) is_alive: bool,
    pub(super) is_leaving: bool,
    /// When the agent had taken the word that it leaves.
    pub(super) leaving_since: Option<Duration>,
    pub(super) sequence: u64,
    /// How it fails what it is asked, while it does.
    pub(super) failing: Option<FailureMode>,
    slots: usize,
    busy: usize,
    queue: VecDeque<FlowKey>,
    flows: HashMap<FlowKey, Flow>,
    next_sequence: u32,
}

impl SimulatedBackend {
    pub(super) fn new(service: &'static str, slots: usize, start: u64) -> Self {
        SimulatedBackend {
            service,
            start,
            is_alive: true,
            is_leaving: false,
            leaving_since: None,
            sequence: 0,
            failing: None,
            slots,
            busy: 0,
            queue: VecDeque::new(),
            flows: HashMap::new(),
            // Another factor than from flow to flow: else a start goes through its predecessor's numbers,
            // one flow behind it.
            next_sequence: (start as u32).wrapping_mul(0x85eb_ca6b),
        }
    }

    pub(super) fn report(&mut self) -> BackendReport {
        self.sequence += 1;
        BackendReport {
            incarnation: Incarnation::without_start_time(format!("start-{}", self.start)),
            service: self.service.to_owned(),
            capacity: self.slots as u16,
            is_ready: !self.is_leaving,
            warm_up_left: Duration::ZERO,
            sequence: self.sequence,
        }
    }

    /// Takes a packet that its agent passed on.
    pub(super) fn receive(&mut self, packet: &[u8]) -> Reaction {
        let mut reaction = Reaction::default();
        let Ok(segment) = PlainFormat.parse(packet) else { return reaction };
        let key = segment.flow();
        if segment.is_syn() {
            self.receive_opening(key, &segment, packet, &mut reaction);
            return reaction;
        }
        let Some(flow) = self.flows.get_mut(&key).filter(|flow| holds(flow, &segment)) else {
            reaction.packets.push(returned(&segment, packet));
            return reaction;
        };
        reaction.has_flow = true;
        let is_new = match flow.stage {
            Stage::Opened => true,
            Stage::Working => false,
            Stage::Answered => segment.sequence == flow.next,
        };
        if segment.payload_bytes > 0 && is_new {
            flow.begin(&segment, packet);
            let said = match self.failing {
                Some(FailureMode::Fail) => PlainFormat::FAILED,
                Some(FailureMode::Refuse) => PlainFormat::REFUSED,
                Some(FailureMode::Hang) => return reaction,
                None => &[],
            };
            if !said.is_empty() {
                flow.stage = Stage::Answered;
                flow.request = said.to_vec();
                reaction.packets.push(answer(&key, flow, true));
                return reaction;
            }
            self.queue.push_back(key);
            reaction.began = self.begin();
        } else if segment.payload_bytes > 0 && flow.stage == Stage::Answered {
            let ends = self.is_leaving || !flow.request.starts_with(LONG);
            reaction.packets.push(answer(&key, flow, ends));
        }
        reaction
    }

    fn receive_opening(
        &mut self,
        key: FlowKey,
        segment: &Segment,
        packet: &[u8],
        reaction: &mut Reaction,
    ) {
        let known = self.flows.get(&key).filter(|flow| flow.opened_with == segment.sequence);
        if let Some(flow) = known {
            reaction.packets.push(syn_ack(&key, flow.sequence));
            return;
        }
        if self.busy + self.queue.len() >= self.slots + QUEUE {
            reaction.packets.push(returned(segment, packet));
            return;
        }
        // Far apart for as many flows as a day has.
        self.next_sequence = self.next_sequence.wrapping_add(0x9e37_79b9);
        let sequence = self.next_sequence;
        let flow = Flow {
            sequence,
            stage: Stage::Opened,
            request: Vec::new(),
            answer_from: 0,
            next: 0,
            opened_with: segment.sequence,
        };
        self.flows.insert(key, flow);
        reaction.took_flow = true;
        reaction.packets.push(syn_ack(&key, sequence));
    }

    /// Begins work on as many requests as there are slots.
    fn begin(&mut self) -> Vec<FlowKey> {
        let mut began = Vec::new();
        while self.busy < self.slots {
            let Some(key) = self.queue.pop_front() else { break };
            self.busy += 1;
            began.push(key);
        }
        began
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
            let ends = self.is_leaving || !flow.request.starts_with(LONG);
            reaction.packets.push(answer(key, flow, ends));
        }
        reaction.began = self.begin();
        reaction
    }
}

/// Whether a packet is of the flow: it acknowledges what the flow has sent.
fn holds(flow: &Flow, segment: &Segment) -> bool {
    let sent = flow.answer_from + flow.request.len() as u32;
    segment.acknowledgement.wrapping_sub(flow.sequence) <= sent
}

fn returned(segment: &Segment, packet: &[u8]) -> Vec<u8> {
    PlainFormat::write(&Segment { returned: true, ..*segment }, PlainFormat::data(packet))
}

fn syn_ack(key: &FlowKey, sequence: u32) -> Vec<u8> {
    let head = Segment::between(key.service, key.caller);
    PlainFormat::write(&Segment { syn: true, ack: true, sequence, ..head }, &[])
}

/// An answer repeats its request's bytes, so that a caller knows its own.
fn answer(key: &FlowKey, flow: &Flow, fin: bool) -> Vec<u8> {
    let head = Segment::between(key.service, key.caller);
    let sequence = flow.sequence.wrapping_add(flow.answer_from);
    let segment = Segment { ack: true, fin, sequence, ..head };
    PlainFormat::write(&segment, &flow.request)
}
