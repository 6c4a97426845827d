//! The agent.

use crate::admission::Admission;
use crate::counters::AgentCounters;
use crate::output::Output;
use crate::pass_on::{self, Next};
use crate::place::Place;
use crate::settings::AgentSettings;
use crate::udp::{self, UdpFlow};
use crate::unknown::UnknownFlows;
use bytes::Bytes;
use loftdrift_configuration::{BackendState, Configuration, Version};
use loftdrift_findings::Findings;
use loftdrift_flow::{
    Endpoint, EndpointSettings, FlowChart, FlowId, FlowState, FlowTable, SocketCommand,
    SocketEvent, SplicedFlow, Timestamps, flow_chart, segment_checksum_is_right,
};
use loftdrift_wire::{
    ECHO_BYTES, Echo, EchoKind, FlowCookie, FlowKey, GenevePacket, InnerPacket, SegmentKind,
    SteeringMode, SteeringOption, Transport, encode_packet, parse_inner, reset_for,
};
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// A caller that does not acknowledge the SYN-ACK for so long is forgotten.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(15);

/// A flow's protocol part.
#[derive(Debug)]
enum FlowBody {
    Tcp(Box<SplicedFlow>),
    Udp(UdpFlow),
}

/// An agent.
#[derive(Debug)]
pub struct Agent {
    settings: AgentSettings,
    chart: Arc<FlowChart>,
    version: Version,
    place: Option<Place>,
    admission: Admission,
    flows: FlowTable<FlowBody>,
    unknown: UnknownFlows,
    outputs: VecDeque<Output>,
    sequence_seed: u64,
    /// What was counted so far.
    pub counters: AgentCounters,
}

impl Agent {
    /// An agent without configuration. Fails only when the built-in chart is broken.
    pub fn new(settings: AgentSettings) -> Result<Self, Findings> {
        Ok(Agent {
            chart: Arc::new(flow_chart()?),
            version: Version::default(),
            place: None,
            admission: Admission::new(settings.ramp),
            flows: FlowTable::default(),
            unknown: UnknownFlows::new(settings.unknown_grace),
            outputs: VecDeque::new(),
            sequence_seed: settings.seed,
            settings,
            counters: AgentCounters::default(),
        })
    }

    /// Puts a configuration in force when it is newer than the one in force.
    pub fn adopt(&mut self, now: Duration, configuration: &Configuration) -> bool {
        if configuration.version <= self.version {
            self.counters.configurations_passed_over += 1;
            return false;
        }
        self.version = configuration.version;
        if let Some((service, backend)) = configuration.find_backend(&self.settings.backend) {
            self.place = Some(Place::new(service, backend));
            self.admission.health.start(now);
        } else if let Some(place) = &mut self.place {
            // Detached before its last flow has ended: it serves those to their end.
            place.backend.state = BackendState::Leaving;
        }
        self.counters.configurations_adopted += 1;
        self.counters.configuration_incarnation = self.version.incarnation;
        self.counters.configuration_revision = self.version.revision;
        true
    }

    /// The version in force.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Whether the configuration in force names this agent's back end.
    pub fn is_placed(&self) -> bool {
        self.place.is_some()
    }

    /// Opens no new flows from now on.
    pub fn start_draining(&mut self) {
        self.admission.stopping = true;
    }

    /// How many flows burden the back end; those that only wait for stray segments do not.
    pub fn flow_count(&self) -> usize {
        self.flows.busy()
    }

    /// The next thing to do.
    pub fn take_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// When [`Agent::handle_timeout`] must be called next.
    pub fn next_timeout(&self) -> Option<Duration> {
        let deadlines = [self.flows.next_wake_up(), self.admission.health.next_watch()];
        deadlines.into_iter().flatten().min()
    }

    /// Does what is due at `now`.
    pub fn handle_timeout(&mut self, now: Duration) {
        if self.admission.health.take_due_watch(now) {
            self.watch_backend(now);
        }
        while let Some(flow) = self.flows.pop_due(now) {
            match self.flows.get_mut(flow).map(|flow| &mut flow.body) {
                Some(FlowBody::Tcp(splice)) => splice.pump(now),
                Some(FlowBody::Udp(body)) if body.ends_at(self.settings.udp_idle) <= now => {
                    self.end(flow);
                    continue;
                }
                Some(FlowBody::Udp(_)) => {}
                None => {}
            }
            self.settle(now, flow);
        }
    }

    fn watch_backend(&mut self, now: Duration) {
        match &self.place {
            Some(place) if place.transport == Transport::Tcp => {
                self.outputs.push_back(Output::WatchBackend { server: place.backend.server });
            }
            // UDP has no connections to try.
            _ => self.handle_watch(now, true),
        }
    }

    /// Takes what [`Output::WatchBackend`] asks for: the connection was accepted, or it was refused
    /// or has ended.
    pub fn handle_watch(&mut self, now: Duration, accepts: bool) {
        self.admission.health.on_watch(now, accepts);
        self.counters.backend_accepts = u64::from(accepts);
    }

    /// Takes what a flow's socket task reports; reports of flows that are over are passed over.
    pub fn handle_socket(&mut self, now: Duration, flow: FlowId, event: SocketEvent) {
        let Some(entry) = self.flows.get_mut(flow) else {
            return;
        };
        let is_refused = match &entry.body {
            FlowBody::Tcp(splice) => splice.state() == FlowState::Connecting,
            FlowBody::Udp(_) => false,
        };
        if event == SocketEvent::Failed {
            self.counters.flows_failed += 1;
        }
        if event == SocketEvent::Failed && is_refused {
            self.admission.health.on_refused(now);
            self.counters.backend_accepts = 0;
        }
        match (&mut entry.body, event) {
            (FlowBody::Tcp(splice), event) => splice.on_socket(now, event),
            (FlowBody::Udp(body), SocketEvent::Received(payload)) => {
                body.touch(now);
                let answer = udp::answer(&entry.key, &payload);
                if let Some(answer) = answer {
                    self.answer(answer);
                }
            }
            (FlowBody::Udp(_), SocketEvent::Failed) => return self.end(flow),
            (FlowBody::Udp(_), _) => {}
        }
        self.settle(now, flow);
    }

    /// Takes a datagram that came from `from`.
    pub fn handle_datagram(&mut self, now: Duration, from: SocketAddrV4, datagram: &[u8]) {
        self.counters.received += 1;
        let packet = match GenevePacket::parse(datagram) {
            Ok(packet) => packet,
            Err(error) => return self.counters.packets.count_geneve_error(error),
        };
        if packet.control {
            return self.handle_control(from, &packet);
        }
        let Some(place) = &self.place else {
            self.counters.dropped_unconfigured += 1;
            return;
        };
        if packet.vni != place.service_id.0 {
            self.counters.refused_other_service += 1;
            return;
        }
        let Some(option) = packet.steering else {
            self.counters.packets.dropped_steering_option += 1;
            return;
        };
        let inner = match parse_inner(packet.inner) {
            Ok(inner) => inner,
            Err(error) => return self.counters.packets.count_inner_error(error),
        };
        if inner.flow.service != place.address || inner.flow.transport != place.transport {
            self.counters.refused_other_service += 1;
            return;
        }
        if !checksum_is_right(packet.inner, inner.flow.transport) {
            self.counters.dropped_transport_checksum += 1;
            return;
        }
        match self.holder(&inner) {
            Some(flow) => self.deliver(now, flow, &inner, packet.inner),
            None => self.handle_foreign(now, &option, &inner, packet.inner),
        }
    }

    fn handle_control(&mut self, from: SocketAddrV4, packet: &GenevePacket<'_>) {
        match Echo::decode(packet) {
            Some(Echo { kind: EchoKind::Request, sequence }) => {
                self.counters.echoes_answered += 1;
                self.counters.control_bytes += 2 * ECHO_BYTES as u64;
                let datagram = Echo { kind: EchoKind::Reply, sequence }.encode();
                self.outputs.push_back(Output::Transmit { to: from, datagram });
            }
            _ => self.counters.packets.dropped_control += 1,
        }
    }

    /// The flow that lives here and that the packet is of. During a handshake the acknowledgement
    /// must be of this agent's own SYN: another candidate may have been offered the same flow.
    fn holder(&self, inner: &InnerPacket) -> Option<FlowId> {
        let id = self.flows.find(&inner.flow)?;
        let FlowBody::Tcp(splice) = &self.flows.get(id)?.body else {
            return Some(id);
        };
        let acknowledgement = match inner.kind {
            SegmentKind::Established { acknowledgement: Some(number), .. } => number,
            _ => return Some(id),
        };
        let in_handshake = splice.state() == FlowState::Handshake;
        let mine = !in_handshake || splice.endpoint().acknowledges_handshake(acknowledgement);
        mine.then_some(id)
    }

    fn deliver(&mut self, now: Duration, flow: FlowId, inner: &InnerPacket, packet: &[u8]) {
        self.counters.delivered += 1;
        let Some(entry) = self.flows.get_mut(flow) else {
            return;
        };
        match &mut entry.body {
            FlowBody::Tcp(splice) => splice.on_packet(now, packet),
            FlowBody::Udp(body) => {
                body.touch(now);
                let payload = udp::payload(packet, inner.transport_offset);
                let command = SocketCommand::Write(Bytes::copy_from_slice(payload));
                self.outputs.push_back(Output::Socket { flow, command });
            }
        }
        self.settle(now, flow);
    }

    fn handle_foreign(
        &mut self,
        now: Duration,
        option: &SteeringOption,
        inner: &InnerPacket,
        packet: &[u8],
    ) {
        let next = match option.mode {
            SteeringMode::Locate if self.cookie_names_me(inner) => {
                return self.reset(inner, packet);
            }
            SteeringMode::Locate => {
                pass_on::locate(option, inner, self.place.as_ref().map(|place| &place.table))
            }
            SteeringMode::Tour => {
                let load = self.tour_load(now, inner);
                let table = self.place.as_ref().map(|place| &place.table);
                let next = pass_on::tour(option, load, inner.kind, table);
                if matches!(&next, Next::PassOn(_, on) if on.best_index() == Some(option.cursor)) {
                    self.admission.offers.make(now);
                }
                next
            }
            SteeringMode::Place => match self.load(now) {
                Some(_) => {
                    self.admission.offers.take();
                    Next::OpenHere
                }
                None => pass_on::tour_again(option),
            },
        };
        match next {
            Next::PassOn(candidate, option) => self.pass_on(candidate.agent, &option, packet),
            Next::OpenHere => self.open(now, inner, packet),
            Next::Refused => {
                self.counters.opens_refused += 1;
                self.send_reset(packet);
            }
            Next::Unknown => self.handle_unknown(now, inner, packet),
            Next::TooManyHops => self.counters.dropped_hops += 1,
        }
    }

    fn pass_on(&mut self, to: SocketAddrV4, option: &SteeringOption, packet: &[u8]) {
        let Some(place) = &self.place else { return };
        self.counters.passed_on += 1;
        let datagram = encode_packet(place.service_id.0, Some(option), packet);
        self.outputs.push_back(Output::Transmit { to, datagram });
    }

    /// Whether the packet's cookie says that the flow can live nowhere but here.
    fn cookie_names_me(&self, inner: &InnerPacket) -> bool {
        let Some(place) = &self.place else {
            return false;
        };
        let named =
            inner.timestamp_echo.and_then(|echo| FlowCookie::backend(echo, place.service_id));
        named == Some(place.backend_id) && self.flows.find(&inner.flow).is_none()
    }

    fn handle_unknown(&mut self, now: Duration, inner: &InnerPacket, packet: &[u8]) {
        if self.unknown.is_gone(now, inner.flow) {
            self.reset(inner, packet);
        } else {
            self.counters.unknown_silent += 1;
        }
    }

    fn reset(&mut self, inner: &InnerPacket, packet: &[u8]) {
        let is_reset = matches!(inner.kind, SegmentKind::Established { reset: true, .. });
        if !is_reset {
            self.counters.unknown_reset += 1;
            self.send_reset(packet);
        }
    }

    fn send_reset(&mut self, packet: &[u8]) {
        if let Some(reset) = reset_for(packet) {
            self.answer(reset);
        }
    }

    /// This agent's load, `None` when it takes no new flow.
    fn load(&mut self, now: Duration) -> Option<u16> {
        let place = self.place.as_ref()?;
        let load = self.admission.load(now, &place.backend, self.flows.busy());
        match load {
            Ok(load) => Some(load),
            Err(refusal) => {
                self.counters.count_refusal(refusal);
                None
            }
        }
    }

    /// The load that a tour compares. Datagrams of one flow must all choose alike, though loads
    /// move between them, so every candidate that takes new flows says zero and the first wins.
    fn tour_load(&mut self, now: Duration, inner: &InnerPacket) -> Option<u16> {
        let load = self.load(now);
        match inner.kind {
            SegmentKind::Datagram => load.map(|_| 0),
            _ => load,
        }
    }

    fn open(&mut self, now: Duration, inner: &InnerPacket, packet: &[u8]) {
        let Some(place) = &self.place else { return };
        let server = place.backend.server;
        let transport = place.transport;
        let body = match transport {
            Transport::Tcp => FlowBody::Tcp(Box::new(self.new_splice(now, &inner.flow, place))),
            Transport::Udp => FlowBody::Udp(UdpFlow::new(now)),
        };
        self.sequence_seed = self.sequence_seed.wrapping_mul(0x5851_F42D_4C95_7F2D).wrapping_add(1);
        let flow = self.flows.insert(inner.flow, body);
        self.counters.flows_opened += 1;
        self.outputs.push_back(Output::StartSocket { flow, server, transport });
        self.deliver(now, flow, inner, packet);
    }

    fn new_splice(&self, now: Duration, flow: &FlowKey, place: &Place) -> SplicedFlow {
        let timestamps = match self.settings.cookies {
            true => Timestamps::Cookie(FlowCookie::new(place.service_id, place.backend_id)),
            false => Timestamps::Off,
        };
        let settings = EndpointSettings {
            buffer_bytes: self.settings.flow_buffer_bytes,
            timestamps,
            sequence_seed: self.sequence_seed,
        };
        let endpoint = Endpoint::listen(now, flow, &settings);
        SplicedFlow::new(endpoint, Arc::clone(&self.chart), Some(now + HANDSHAKE_TIMEOUT))
    }

    /// Collects what a flow wants done, and forgets it when it is over.
    fn settle(&mut self, now: Duration, flow: FlowId) {
        let Some(entry) = self.flows.get_mut(flow) else {
            return;
        };
        let splice = match &mut entry.body {
            FlowBody::Tcp(splice) => splice,
            FlowBody::Udp(body) => {
                let deadline = body.ends_at(self.settings.udp_idle);
                self.flows.wake_by(flow, Some(deadline));
                self.counters.flows = self.flows.busy() as u64;
                return;
            }
        };
        let mut packets = Vec::new();
        while let Some(packet) = splice.take_packet() {
            packets.push(packet);
        }
        while let Some(command) = splice.take_command() {
            self.outputs.push_back(Output::Socket { flow, command });
        }
        let gone = splice.state() == FlowState::Gone;
        let released = matches!(splice.state(), FlowState::Closing | FlowState::Resetting);
        let deadline = splice.next_timeout(now);
        for packet in packets {
            self.answer(packet);
        }
        if gone {
            self.end(flow);
        } else {
            self.flows.wake_by(flow, deadline);
        }
        if released {
            self.flows.release(flow);
        }
        self.counters.flows = self.flows.busy() as u64;
    }

    fn end(&mut self, flow: FlowId) {
        self.flows.remove(flow);
        self.counters.flows_ended += 1;
        self.counters.flows = self.flows.busy() as u64;
        self.outputs.push_back(Output::Ended { flow });
    }

    /// Sends an IPv4 packet straight back to the caller, through the fabric.
    fn answer(&mut self, packet: Vec<u8>) {
        let datagram = encode_packet(0, None, &packet);
        self.outputs.push_back(Output::Transmit { to: self.settings.fabric, datagram });
    }
}

fn checksum_is_right(packet: &[u8], transport: Transport) -> bool {
    match transport {
        Transport::Tcp => segment_checksum_is_right(packet),
        Transport::Udp => udp::datagram_checksum_is_right(packet),
    }
}
