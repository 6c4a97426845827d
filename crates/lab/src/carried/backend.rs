//! A simulated back end: processing slots, a short request queue, and a table of open flows.

use super::fault::FailureMode;
use loftdrift_carried::{BackendReport, Incarnation, PlainFormat, Segment, SegmentFormat};
use loftdrift_wire::FlowKey;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Queued requests beyond the busy slots. At this limit the back end returns SYNs to its agent.
const MAX_QUEUED_REQUESTS: usize = 12;
/// A back end reports that it is still slow until this long after its start; here it only says so.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time between a back end's leaving notice, once its agent has it, and its exit.
pub(super) const SHUTDOWN_DELAY: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The SYN was accepted; no request has arrived.
    Opened,
    /// A request is queued or in a slot.
    Working,
    /// The last request was answered.
    Answered,
}

#[derive(Debug)]
struct Flow {
    /// The back end's initial sequence number.
    sequence: u32,
    stage: Stage,
    /// The request in progress, or else the last one answered.
    request: Vec<u8>,
    /// Offset of the answer to `request` from the initial sequence number.
    answer_offset: u32,
    /// Sequence number of the caller's next request.
    caller_sequence: u32,
    /// Sequence number of the flow's SYN.
    syn_sequence: u32,
    /// How much of what was sent the caller has acknowledged, as an offset from `sequence`.
    acknowledged: u32,
}

impl Flow {
    /// Starts the next request of this flow.
    fn begin_request(&mut self, segment: &Segment, packet: &[u8]) {
        self.answer_offset += self.request.len() as u32;
        self.request = PlainFormat::data(packet).to_vec();
        self.caller_sequence = segment.end();
        self.stage = Stage::Working;
    }
}

/// Prefix of requests whose caller keeps the flow open for further requests.
pub(super) const KEEP_FLOW_PREFIX: &[u8] = b"long";

/// What a back end does in response to a packet or to finished work.
#[derive(Debug, Default)]
pub(super) struct Reaction {
    /// Packets for the agent: answers to the caller, and returned packets of unknown flows.
    pub(super) packets: Vec<Vec<u8>>,
    /// A SYN was accepted, which opened a new flow.
    pub(super) accepted_flow: bool,
    /// The packet belongs to a flow that is open here.
    pub(super) has_flow: bool,
    /// Flows whose requests entered a slot.
    pub(super) started: Vec<FlowKey>,
}

#[derive(Debug)]
pub(super) struct SimulatedBackend {
    pub(super) service: &'static str,
    /// Number of this start, unique among all starts of all back ends.
    pub(super) start_id: u64,
    started_at: Duration,
    pub(super) is_alive: bool,
    pub(super) is_leaving: bool,
    /// Whether it has sent a departure notice.
    pub(super) has_departed: bool,
    /// When the agent received the report that the back end is leaving.
    pub(super) leaving_since: Option<Duration>,
    pub(super) report_sequence: u64,
    /// How it fails new requests, while that fault lasts.
    pub(super) failing: Option<FailureMode>,
    slots: usize,
    busy: usize,
    queue: VecDeque<FlowKey>,
    flows: HashMap<FlowKey, Flow>,
    next_sequence: u32,
}

impl SimulatedBackend {
    pub(super) fn new(
        service: &'static str,
        slots: usize,
        start_id: u64,
        started_at: Duration,
    ) -> Self {
        SimulatedBackend {
            service,
            start_id,
            started_at,
            is_alive: true,
            is_leaving: false,
            has_departed: false,
            leaving_since: None,
            report_sequence: 0,
            failing: None,
            slots,
            busy: 0,
            queue: VecDeque::new(),
            flows: HashMap::new(),
            // A multiplier other than the step between flows: with the same one, a start would
            // repeat the sequence numbers of the previous start, one flow later.
            next_sequence: (start_id as u32).wrapping_mul(0x85eb_ca6b),
        }
    }

    /// The id of this start in its reports.
    pub(super) fn id(&self) -> String {
        format!("start-{}", self.start_id)
    }

    /// The next heartbeat, sent at `now`.
    pub(super) fn report(&mut self, now: Duration) -> BackendReport {
        self.report_sequence += 1;
        BackendReport {
            incarnation: Incarnation::without_start_time(self.id()),
            service: self.service.to_owned(),
            capacity: self.slots as u16,
            is_ready: !self.is_leaving,
            warm_up_left: (self.started_at + WARM_UP).saturating_sub(now),
            sequence: self.report_sequence,
        }
    }

    /// Handles a packet forwarded by the agent.
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
        let acknowledged = segment.acknowledgement.wrapping_sub(flow.sequence);
        flow.acknowledged = flow.acknowledged.max(acknowledged);
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
        // A large odd step keeps the initial sequence numbers of one run's flows far apart.
        self.next_sequence = self.next_sequence.wrapping_add(0x9e37_79b9);
        let sequence = self.next_sequence;
        let flow = Flow {
            sequence,
            stage: Stage::Opened,
            request: Vec::new(),
            answer_offset: 0,
            caller_sequence: 0,
            syn_sequence: segment.sequence,
            acknowledged: 0,
        };
        self.flows.insert(key, flow);
        reaction.accepted_flow = true;
        reaction.packets.push(syn_ack(&key, sequence));
    }

    /// Moves queued requests into free slots and returns their flows.
    fn start_queued(&mut self) -> Vec<FlowKey> {
        let mut started = Vec::new();
        while self.busy < self.slots {
            let Some(key) = self.queue.pop_front() else { break };
            self.busy += 1;
            started.push(key);
        }
        started
    }

    /// The answer to a flow's last request, if its caller has not acknowledged it.
    pub(super) fn unacknowledged_answer(&self, key: &FlowKey) -> Option<Vec<u8>> {
        let flow = self.flows.get(key).filter(|flow| flow.stage == Stage::Answered)?;
        let sent = flow.answer_offset + flow.request.len() as u32;
        let fin = self.is_leaving || !flow.request.starts_with(KEEP_FLOW_PREFIX);
        (flow.acknowledged < sent).then(|| answer(key, flow, fin))
    }

    /// The current or last request of a flow.
    pub(super) fn request(&self, key: &FlowKey) -> Option<&[u8]> {
        self.flows.get(key).map(|flow| flow.request.as_slice())
    }

    /// Answers a request whose processing is complete and starts queued ones.
    pub(super) fn finish(&mut self, key: &FlowKey) -> Reaction {
        let mut reaction = Reaction::default();
        self.busy = self.busy.saturating_sub(1);
        if let Some(flow) = self.flows.get_mut(key) {
            flow.stage = Stage::Answered;
            // A leaving back end closes each flow after its next answer.
            let fin = self.is_leaving || !flow.request.starts_with(KEEP_FLOW_PREFIX);
            reaction.packets.push(answer(key, flow, fin));
        }
        reaction.started = self.start_queued();
        reaction
    }
}

/// Whether a packet belongs to this flow: its acknowledgement lies within what the back end sent.
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

/// An answer echoes the bytes of its request, so that a caller recognizes its own.
fn answer(key: &FlowKey, flow: &Flow, fin: bool) -> Vec<u8> {
    let head = Segment::between(key.service, key.caller);
    let sequence = flow.sequence.wrapping_add(flow.answer_offset);
    let segment = Segment { ack: true, fin, sequence, ..head };
    PlainFormat::write(&segment, &flow.request)
}
