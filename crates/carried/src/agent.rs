//! The agent's core: the truth about the one back end beside it and the flows that live there.
//!
//! Invariants:
//! - A new flow reaches the back end only while the back end accepts, is of the offer's service, and
//!   has room within the offer's admission; whatever balancers believe decides nothing here.
//! - An offer gets one final answer, `Placed` or `Declined`; a declined flow has never been at work.
//! - A packet of a flow that does not live here goes back to the balancer as its sender wrote it.

use crate::backend::{Backend, BackendReport, ReportOutcome};
use crate::configuration::CarriedConfiguration;
use crate::counters::CarriedAgentCounters;
use crate::load::WorkMeter;
use crate::membership::{Membership, Node};
use crate::message::{Admission, BackendCondition, DeclineReason, LoadReport, Message, Snapshot};
use crate::segment::{Segment, SegmentFormat, flow_name};
use loftdrift_flow::{FlowId, FlowTable};
use loftdrift_wire::FlowKey;
use std::collections::{HashSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

/// An opening packet that the back end has not answered for so long speaks for its silence.
const OPENING_PATIENCE: Duration = Duration::from_millis(60);
/// So many unanswered opening packets in a row, and the back end counts as silent.
const SILENT_AFTER: u32 = 2;
/// A silent back end is tried again after so long.
const SILENCE_LASTS: Duration = Duration::from_millis(800);
/// A caller that does not go on after the back end's answer has gone elsewhere.
const HANDSHAKE_PATIENCE: Duration = Duration::from_millis(400);
/// A request that gets no answer for so long burdens the back end no more.
const WAITING_PATIENCE: Duration = Duration::from_secs(6);
/// A flow that both ends may still speak of after its end is remembered for so long.
const CLOSING_LASTS: Duration = Duration::from_secs(3);
/// A back end whose first heartbeat heard here is one of its first began beside this very process.
const FRESH_SEQUENCE: u64 = 2;
/// Flows that are known not to live here are remembered, so that they are not tried again.
const MOST_FOREIGN: usize = 2_048;

/// Settings of an agent of carried flows.
#[derive(Clone, Debug)]
pub struct CarriedAgentSettings {
    /// The agent itself.
    pub node: Node,
    /// The service of the back end beside it.
    pub service: String,
    /// Age that no flow exceeds.
    pub longest_flow: Duration,
    /// No process of the system has run before: the agent cannot have forgotten any flow.
    pub is_first_start: bool,
}

/// What the embedder does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentOutput {
    /// Send a packet to the back end.
    ToBackend(Vec<u8>),
    /// Send a packet to a caller.
    ToCaller {
        /// The caller's host.
        host: Ipv4Addr,
        /// The packet.
        datagram: Vec<u8>,
    },
    /// Send a message to a node.
    ToPeer {
        /// The node.
        to: SocketAddrV4,
        /// The message.
        message: Message,
    },
    /// Fetch a snapshot from a node whose configuration is newer.
    FetchSnapshot {
        /// The node.
        from: SocketAddrV4,
    },
}

/// Where a flow stands, as far as its packets tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The back end has the opening packet.
    Offered {
        /// The offer's number.
        number: u64,
    },
    /// The back end has answered the opening packet.
    Answered,
    /// A request waits for its answer.
    Waiting {
        /// Requests in the system when it began, this one included.
        in_system: u32,
    },
    /// Nothing is owed.
    Resting,
    /// One end has finished.
    Closing,
    /// Forgotten or never known here; the back end is to tell.
    Tried,
}

impl Phase {
    /// Whether the back end has something to do, or is about to.
    fn burdens(self) -> bool {
        matches!(self, Phase::Offered { .. } | Phase::Answered | Phase::Waiting { .. })
    }
}

#[derive(Debug)]
struct CarriedFlow {
    /// The balancer that sent a packet of the flow last.
    balancer: SocketAddrV4,
    phase: Phase,
    since: Duration,
    /// End of the caller's data so far, in its sequence numbers.
    caller_end: Option<u32>,
    /// End of the back end's data so far, in the numbers that the caller acknowledges.
    backend_end: Option<u32>,
}

impl CarriedFlow {
    fn new(now: Duration, balancer: SocketAddrV4, phase: Phase) -> Self {
        CarriedFlow { balancer, phase, since: now, caller_end: None, backend_end: None }
    }

    /// Whether a caller's packet can be of this flow and not of another one between the same
    /// addresses: it acknowledges what this flow's back end has sent.
    fn acknowledges_here(&self, segment: &Segment) -> bool {
        let Some(end) = self.backend_end.filter(|_| segment.acknowledges) else {
            return true;
        };
        let distance = segment.acknowledgement.wrapping_sub(end) as i32;
        distance.unsigned_abs() <= LARGEST_WINDOW
    }
}

/// Further apart, in bytes, are no two packets of one flow that are under way.
const LARGEST_WINDOW: u32 = 1 << 18;

/// An agent.
pub struct CarriedAgent {
    settings: CarriedAgentSettings,
    format: Arc<dyn SegmentFormat>,
    membership: Membership,
    configuration: CarriedConfiguration,
    backend: Backend,
    flows: FlowTable<CarriedFlow>,
    foreign: HashSet<FlowKey>,
    foreign_order: VecDeque<FlowKey>,
    waiting: u32,
    work: WorkMeter,
    /// The back end may hold flows that an earlier process of this agent knew.
    may_have_forgotten: bool,
    unanswered: u32,
    silent_until: Option<Duration>,
    stopping: bool,
    outputs: VecDeque<AgentOutput>,
    counters: CarriedAgentCounters,
}

impl CarriedAgent {
    /// An agent that has just started and knows nothing but its settings.
    pub fn new(settings: CarriedAgentSettings, format: Arc<dyn SegmentFormat>) -> Self {
        CarriedAgent {
            membership: Membership::new(settings.node.clone()),
            backend: Backend::new(settings.service.clone()),
            may_have_forgotten: !settings.is_first_start,
            settings,
            format,
            configuration: CarriedConfiguration::default(),
            flows: FlowTable::default(),
            foreign: HashSet::new(),
            foreign_order: VecDeque::new(),
            waiting: 0,
            work: WorkMeter::default(),
            unanswered: 0,
            silent_until: None,
            stopping: false,
            outputs: VecDeque::new(),
            counters: CarriedAgentCounters::default(),
        }
    }

    /// The next thing to do.
    pub fn take_output(&mut self) -> Option<AgentOutput> {
        self.outputs.pop_front()
    }

    /// The nodes known.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Version of the configuration in force.
    pub fn configuration_version(&self) -> u64 {
        self.configuration.version
    }

    /// Path of the health page of the back end's service, once the configuration tells.
    pub fn health_path(&self) -> Option<&str> {
        let service = self.configuration.service(self.backend.service())?;
        Some(&service.health_path)
    }

    /// Whether the back end has sent a heartbeat, or has answered for its health.
    pub fn knows_backend(&self) -> bool {
        self.backend.condition() != BackendCondition::Unknown
    }

    /// What this node gives to whoever asks.
    pub fn snapshot(&self) -> Snapshot {
        snapshot_of(&self.membership, &self.configuration)
    }

    /// Takes a node's snapshot.
    pub fn take_snapshot(&mut self, now: Duration, snapshot: Snapshot) {
        self.learn_members(now, &snapshot.members);
        if let Some(configuration) = snapshot.configuration {
            self.adopt(configuration);
        }
    }

    /// Learns of nodes by hearsay.
    pub fn learn_members(&mut self, now: Duration, members: &[(SocketAddrV4, crate::NodeRole)]) {
        for (address, role) in members {
            self.membership.learn(now, *address, *role);
        }
    }

    /// Puts a configuration in force when it is newer than the one in force.
    pub fn adopt(&mut self, configuration: CarriedConfiguration) -> bool {
        if configuration.version <= self.configuration.version {
            self.counters.configurations_passed_over += 1;
            log::debug!(
                offered = configuration.version, in_force = self.configuration.version;
                "configuration_passed_over"
            );
            return false;
        }
        log::info!(
            from = self.configuration.version, to = configuration.version; "configuration_adopted"
        );
        self.configuration = configuration;
        self.counters.configurations_adopted += 1;
        true
    }

    /// Takes no new flows from now on and tells every balancer so.
    pub fn start_draining(&mut self, now: Duration) {
        self.stopping = true;
        self.membership.hurry(now);
        log::info!(waiting = self.waiting; "draining");
    }

    /// Whether nothing waits for an answer.
    pub fn is_drained(&self) -> bool {
        self.waiting == 0
    }

    /// Takes a heartbeat of the back end.
    pub fn take_report(&mut self, now: Duration, report: &BackendReport) -> ReportOutcome {
        self.counters.backend_reports += 1;
        let before = self.condition(now);
        let is_first = !self.backend.has_reported();
        let outcome = self.backend.take_report(now, report);
        if is_first && report.sequence <= FRESH_SEQUENCE {
            self.may_have_forgotten = false;
        }
        match outcome {
            ReportOutcome::Started => self.doubt_flows(now),
            ReportOutcome::Outdated => self.counters.backend_reports_outdated += 1,
            ReportOutcome::Updated => {}
        }
        if outcome != ReportOutcome::Outdated {
            self.silent_until = None;
        }
        self.tell_change(now, before, &report.id);
        outcome
    }

    /// Takes the back end's word that it leaves.
    pub fn take_departure(&mut self, now: Duration, id: &str) {
        let before = self.condition(now);
        self.backend.take_departure(id);
        self.tell_change(now, before, id);
    }

    /// Takes the answer to a question about the back end's health.
    pub fn take_health(&mut self, now: Duration, is_healthy: bool) {
        let before = self.condition(now);
        self.backend.take_health(is_healthy);
        self.tell_change(now, before, "asked");
    }

    fn tell_change(&mut self, now: Duration, before: BackendCondition, id: &str) {
        let after = self.condition(now);
        if before != after {
            let (from, to) = (format!("{before:?}"), format!("{after:?}"));
            log::info!(backend = id, from = from.as_str(), to = to.as_str(), waiting = self.waiting; "backend_changed");
            self.membership.hurry(now);
        }
    }

    /// The back end has started anew. Flows of its earlier start are over, but some may have opened
    /// since, before this heartbeat came: the back end tells which it holds.
    fn doubt_flows(&mut self, now: Duration) {
        self.work = WorkMeter::default();
        for id in self.flows.ids() {
            self.set_phase(now, id, Phase::Tried);
        }
    }

    fn condition(&self, now: Duration) -> BackendCondition {
        if self.stopping {
            return BackendCondition::Leaving;
        }
        match self.backend.condition() {
            BackendCondition::Accepting if self.silent_until.is_some_and(|until| now < until) => {
                BackendCondition::Silent
            }
            condition => condition,
        }
    }

    fn report(&self, now: Duration) -> LoadReport {
        LoadReport {
            service: self.backend.service().to_owned(),
            condition: self.condition(now),
            capacity: self.backend.capacity(),
            waiting: self.waiting.min(u32::from(u16::MAX)) as u16,
            work_us: (self.work.reported_seconds(now) * 1e6) as u32,
            is_cold: self.backend.is_cold(now),
        }
    }

    /// Takes a datagram of another node.
    pub fn handle_peer(&mut self, now: Duration, from: SocketAddrV4, datagram: &[u8]) {
        match Message::decode(datagram) {
            Some(Message::Offer { number, service, admission, datagram }) => {
                self.handle_offer(now, from, number, &service, admission, datagram);
            }
            Some(Message::Forward { datagram }) => self.deliver(now, from, datagram, true),
            Some(Message::Locate { datagram }) => self.deliver(now, from, datagram, false),
            Some(Message::Heartbeat(heartbeat)) => {
                let heard = self.membership.on_heartbeat(now, from, &heartbeat);
                if heartbeat.configuration > self.configuration.version {
                    self.outputs.push_back(AgentOutput::FetchSnapshot { from });
                }
                if heard.is_new {
                    self.send_heartbeat(now, from, false);
                }
            }
            _ => self.counters.messages_malformed += 1,
        }
    }

    fn handle_offer(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        number: u64,
        service: &str,
        admission: Admission,
        datagram: Vec<u8>,
    ) {
        self.counters.offers_received += 1;
        let Ok(segment) = self.format.parse(&datagram) else {
            self.counters.packets_malformed += 1;
            return;
        };
        let flow = segment.flow();
        if let Some(id) = self.flows.find(&flow) {
            match self.flows.get_mut(id).map(|flow| &mut flow.body) {
                // A copy, perhaps through another balancer: the back end answers it again.
                Some(body) if matches!(body.phase, Phase::Offered { .. } | Phase::Answered) => {
                    body.balancer = from;
                    self.set_phase(now, id, Phase::Offered { number });
                    self.outputs.push_back(AgentOutput::ToBackend(datagram));
                    return;
                }
                // The caller uses its port again.
                _ => self.remove(id),
            }
        }
        if let Some(reason) = self.refusal(now, service, admission) {
            return self.decline(now, from, number, &flow, reason);
        }
        self.counters.offers_taken += 1;
        let id = self.flows.insert(flow, CarriedFlow::new(now, from, Phase::Resting));
        self.set_phase(now, id, Phase::Offered { number });
        self.outputs.push_back(AgentOutput::ToBackend(datagram));
    }

    fn refusal(&self, now: Duration, service: &str, admission: Admission) -> Option<DeclineReason> {
        if service != self.backend.service() {
            return Some(DeclineReason::OtherService);
        }
        if self.condition(now) != BackendCondition::Accepting {
            return Some(DeclineReason::NotAccepting);
        }
        let capacity = u32::from(self.backend.capacity());
        let limit = match admission {
            Admission::FreeSlot => capacity,
            Admission::Within(milliseconds) => {
                let budget = Duration::from_millis(u64::from(milliseconds));
                self.work.admission_limit(capacity, budget)
            }
        };
        (self.waiting >= limit).then_some(DeclineReason::Busy)
    }

    fn decline(
        &mut self,
        now: Duration,
        to: SocketAddrV4,
        number: u64,
        flow: &FlowKey,
        reason: DeclineReason,
    ) {
        match reason {
            DeclineReason::Busy => self.counters.declined_busy += 1,
            DeclineReason::Returned => self.counters.declined_returned += 1,
            DeclineReason::NotAccepting => self.counters.declined_not_accepting += 1,
            DeclineReason::OtherService => self.counters.declined_other_service += 1,
        }
        let report = self.report(now);
        log::info!(
            flow = flow_name(flow).as_str(), reason = reason.name(), balancer:% = to, waiting = report.waiting,
            capacity = report.capacity, work_us = report.work_us; "offer_declined"
        );
        let message = Message::Declined { number, reason, report };
        self.outputs.push_back(AgentOutput::ToPeer { to, message });
    }

    /// Passes a caller's packet to the back end when its flow lives here. A forwarded packet goes
    /// back to the balancer when it does not; a located one was sent to others as well.
    fn deliver(&mut self, now: Duration, from: SocketAddrV4, datagram: Vec<u8>, forwarded: bool) {
        let Ok(segment) = self.format.parse(&datagram) else {
            self.counters.packets_malformed += 1;
            return;
        };
        let flow = segment.flow();
        let id = match self.flows.find(&flow) {
            Some(id) => id,
            None if self.may_have_forgotten(now, &flow) => self.start_trial(now, flow, from),
            None => return self.pass_back(from, datagram, forwarded),
        };
        let Some(entry) = self.flows.get_mut(id) else { return };
        if !entry.body.acknowledges_here(&segment) {
            return self.pass_back(from, datagram, forwarded);
        }
        entry.body.balancer = from;
        let is_trial = entry.body.phase == Phase::Tried;
        let may_begin = matches!(entry.body.phase, Phase::Answered | Phase::Tried);
        let begins_request = segment.payload_bytes > 0 && may_begin;
        if begins_request && let Some(request) = self.format.request_id(&datagram) {
            log::info!(
                flow = flow_name(&flow).as_str(), request, balancer:% = from,
                waiting = self.waiting, capacity = self.backend.capacity(); "request_arrived"
            );
        }
        self.counters.packets_delivered += 1;
        self.outputs.push_back(AgentOutput::ToBackend(datagram));
        if !is_trial {
            self.follow_caller(now, id, &segment);
            if !forwarded {
                self.tell_held(from, &flow);
            }
        }
    }

    fn pass_back(&mut self, to: SocketAddrV4, datagram: Vec<u8>, forwarded: bool) {
        self.counters.packets_not_held += 1;
        if forwarded {
            let message = Message::NotHeld { datagram };
            self.outputs.push_back(AgentOutput::ToPeer { to, message });
        }
    }

    fn tell_held(&mut self, to: SocketAddrV4, flow: &FlowKey) {
        let message = Message::Held { caller: flow.caller, service: flow.service };
        self.outputs.push_back(AgentOutput::ToPeer { to, message });
    }

    /// An agent that has not run for as long as a flow may last cannot know that a flow does not
    /// live here; its back end can.
    fn may_have_forgotten(&self, now: Duration, flow: &FlowKey) -> bool {
        let is_young = now < self.settings.longest_flow;
        self.may_have_forgotten && is_young && !self.foreign.contains(flow)
    }

    fn start_trial(&mut self, now: Duration, flow: FlowKey, balancer: SocketAddrV4) -> FlowId {
        self.counters.packets_tried += 1;
        let id = self.flows.insert(flow, CarriedFlow::new(now, balancer, Phase::Tried));
        self.set_phase(now, id, Phase::Tried);
        id
    }

    /// Follows what a caller's packet says about its flow.
    fn follow_caller(&mut self, now: Duration, id: FlowId, segment: &Segment) {
        let Some(flow) = self.flows.get_mut(id) else { return };
        let body = &mut flow.body;
        if segment.resets || segment.finishes {
            if !matches!(body.phase, Phase::Waiting { .. }) || segment.resets {
                self.set_phase(now, id, Phase::Closing);
            }
            return;
        }
        if segment.payload_bytes == 0 {
            if body.phase == Phase::Answered {
                // The request follows at once.
                body.since = now;
            }
            return;
        }
        let end = segment.end();
        let is_new = body.caller_end.is_none_or(|known| end.wrapping_sub(known) as i32 > 0);
        if !is_new {
            return;
        }
        body.caller_end = Some(end);
        if matches!(body.phase, Phase::Waiting { .. }) {
            return;
        }
        let already = u32::from(body.phase.burdens());
        let in_system = self.waiting + 1 - already;
        self.set_phase(now, id, Phase::Waiting { in_system });
    }

    /// Takes a packet that the back end sent.
    pub fn handle_backend(&mut self, now: Duration, mut datagram: Vec<u8>) {
        let Ok(segment) = self.format.parse(&datagram) else {
            self.counters.packets_malformed += 1;
            return;
        };
        if segment.returned {
            self.format.clear_returned(&mut datagram);
            return self.handle_returned(now, &segment, datagram);
        }
        self.unanswered = 0;
        self.silent_until = None;
        let flow = segment.flow_of_answer();
        if segment.resets && self.is_trial(&flow) {
            // The back end speaks of an earlier flow between the same addresses.
            return self.end_trial(flow);
        }
        self.counters.packets_answered += 1;
        match self.flows.find(&flow) {
            Some(id) => self.follow_backend(now, id, &segment),
            None => self.remember(now, flow),
        }
        let host = *flow.caller.ip();
        self.outputs.push_back(AgentOutput::ToCaller { host, datagram });
    }

    fn is_trial(&self, flow: &FlowKey) -> bool {
        let id = self.flows.find(flow);
        let known = id.and_then(|id| self.flows.get(id));
        known.is_some_and(|flow| flow.body.phase == Phase::Tried)
    }

    fn end_trial(&mut self, flow: FlowKey) {
        if let Some(id) = self.flows.find(&flow) {
            self.remove(id);
        }
        self.remember_foreign(flow);
    }

    /// A flow that the back end speaks of and this agent has forgotten.
    fn remember(&mut self, now: Duration, flow: FlowKey) {
        let me = self.settings.node.address;
        let id = self.flows.insert(flow, CarriedFlow::new(now, me, Phase::Resting));
        self.set_phase(now, id, Phase::Resting);
    }

    fn follow_backend(&mut self, now: Duration, id: FlowId, segment: &Segment) {
        let Some(flow) = self.flows.get_mut(id) else { return };
        flow.body.backend_end = Some(segment.end());
        let (balancer, phase, since) = (flow.body.balancer, flow.body.phase, flow.body.since);
        let key = flow.key;
        match phase {
            Phase::Offered { number } if segment.opens => {
                let message = Message::Placed { number, report: self.report(now) };
                self.outputs.push_back(AgentOutput::ToPeer { to: balancer, message });
                self.set_phase(now, id, Phase::Answered);
            }
            Phase::Waiting { in_system } if segment.payload_bytes > 0 => {
                let capacity = u32::from(self.backend.capacity());
                self.work.record(now, now.saturating_sub(since), in_system, capacity);
                self.set_phase(now, id, Phase::Resting);
            }
            Phase::Tried => {
                self.tell_held(balancer, &key);
                self.set_phase(now, id, Phase::Resting);
            }
            _ => {}
        }
        if segment.finishes || segment.resets {
            self.set_phase(now, id, Phase::Closing);
        }
    }

    /// The back end did not take a packet.
    fn handle_returned(&mut self, now: Duration, segment: &Segment, datagram: Vec<u8>) {
        self.counters.packets_returned += 1;
        let flow = segment.flow();
        let Some(id) = self.flows.find(&flow) else { return };
        let Some(entry) = self.flows.get(id) else { return };
        let (balancer, phase) = (entry.body.balancer, entry.body.phase);
        self.remove(id);
        match phase {
            Phase::Offered { number } if segment.is_opening() => {
                self.decline(now, balancer, number, &flow, DeclineReason::Returned);
            }
            Phase::Tried => self.remember_foreign(flow),
            _ => {
                log::warn!(
                    flow = flow_name(&flow).as_str(), balancer:% = balancer;
                    "packet_returned_by_backend"
                );
                self.remember_foreign(flow);
                self.pass_back(balancer, datagram, true);
            }
        }
    }

    fn remember_foreign(&mut self, flow: FlowKey) {
        if !self.foreign.insert(flow) {
            return;
        }
        self.foreign_order.push_back(flow);
        if self.foreign_order.len() > MOST_FOREIGN
            && let Some(oldest) = self.foreign_order.pop_front()
        {
            self.foreign.remove(&oldest);
        }
    }

    fn set_phase(&mut self, now: Duration, id: FlowId, phase: Phase) {
        let lasts = self.phase_lasts(phase);
        let Some(flow) = self.flows.get_mut(id) else { return };
        let before = std::mem::replace(&mut flow.body.phase, phase);
        flow.body.since = now;
        self.waiting = self.waiting + u32::from(phase.burdens()) - u32::from(before.burdens());
        self.flows.wake_by(id, Some(now + lasts));
    }

    fn phase_lasts(&self, phase: Phase) -> Duration {
        match phase {
            Phase::Offered { .. } => OPENING_PATIENCE,
            Phase::Answered => HANDSHAKE_PATIENCE,
            Phase::Waiting { .. } => WAITING_PATIENCE,
            Phase::Resting | Phase::Tried => self.idle_timeout(),
            Phase::Closing => CLOSING_LASTS,
        }
    }

    fn idle_timeout(&self) -> Duration {
        match self.configuration.idle_timeout_ms {
            0 => self.settings.longest_flow,
            milliseconds => Duration::from_millis(u64::from(milliseconds)),
        }
    }

    fn remove(&mut self, id: FlowId) {
        if let Some(flow) = self.flows.get(id) {
            self.waiting -= u32::from(flow.body.phase.burdens());
        }
        self.flows.remove(id);
    }

    /// When [`CarriedAgent::handle_timeout`] must be called next.
    pub fn next_timeout(&self) -> Option<Duration> {
        [self.flows.next_wake_up(), self.membership.next_due()].into_iter().flatten().min()
    }

    /// Does what is due at `now`.
    pub fn handle_timeout(&mut self, now: Duration) {
        while let Some(id) = self.flows.pop_due(now) {
            self.wake(now, id);
        }
        for (peer, wants_reply) in self.membership.take_due(now) {
            self.send_heartbeat(now, peer, wants_reply);
        }
    }

    /// What was counted so far, with the gauges of now.
    pub fn counters(&self, now: Duration) -> CarriedAgentCounters {
        CarriedAgentCounters {
            flows: self.flows.busy() as u64,
            waiting: u64::from(self.waiting),
            peers: self.membership.len() as u64,
            configuration_version: self.configuration.version,
            work_microseconds: (self.work.reported_seconds(now) * 1e6) as u64,
            ..self.counters
        }
    }

    fn wake(&mut self, now: Duration, id: FlowId) {
        let Some(flow) = self.flows.get(id) else { return };
        let phase = flow.body.phase;
        let ends_at = flow.body.since + self.phase_lasts(phase);
        if now < ends_at {
            return self.flows.wake_by(id, Some(ends_at));
        }
        match phase {
            Phase::Offered { .. } => {
                log::warn!(
                    flow = flow_name(&flow.key).as_str(), balancer:% = flow.body.balancer,
                    in_a_row = self.unanswered + 1; "opening_unanswered_by_backend"
                );
                self.note_silence(now);
                self.set_phase(now, id, Phase::Resting);
            }
            Phase::Waiting { .. } => {
                log::warn!(
                    flow = flow_name(&flow.key).as_str(), age_ms = WAITING_PATIENCE.as_millis() as u64;
                    "request_unanswered_by_backend"
                );
                self.set_phase(now, id, Phase::Resting);
            }
            Phase::Answered => self.set_phase(now, id, Phase::Resting),
            Phase::Resting | Phase::Tried | Phase::Closing => self.remove(id),
        }
    }

    fn note_silence(&mut self, now: Duration) {
        self.unanswered += 1;
        if self.unanswered < SILENT_AFTER {
            return;
        }
        let before = self.condition(now);
        self.silent_until = Some(now + SILENCE_LASTS);
        self.counters.backend_silences += u64::from(before != BackendCondition::Silent);
        self.tell_change(now, before, "silent");
    }

    fn send_heartbeat(&mut self, now: Duration, to: SocketAddrV4, wants_reply: bool) {
        let mut heartbeat = self.membership.heartbeat(self.configuration.version, wants_reply);
        heartbeat.report = Some(self.report(now));
        self.outputs.push_back(AgentOutput::ToPeer { to, message: Message::Heartbeat(heartbeat) });
    }
}

/// A node's snapshot: the configuration in force and every node known, itself included.
pub(crate) fn snapshot_of(
    membership: &Membership,
    configuration: &CarriedConfiguration,
) -> Snapshot {
    let me = membership.me();
    let peers = membership.peers().map(|(address, peer)| (*address, peer.role));
    Snapshot {
        configuration: (configuration.version > 0).then(|| configuration.clone()),
        members: std::iter::once((me.address, me.role)).chain(peers).collect(),
    }
}
