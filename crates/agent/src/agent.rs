//! The agent's state machine.

use crate::admission::Admission;
use crate::backend_spec::BackendSpec;
use crate::counters::AgentCounters;
use crate::forwarding::{self, Action};
use crate::output::Output;
use crate::settings::AgentSettings;
use crate::udp::{self, UdpFlow};
use crate::unknown::UnknownFlows;
use bytes::Bytes;
use loftdrift_configuration::{BackendState, Configuration, Version};
use loftdrift_findings::Findings;
use loftdrift_flow::{
    Endpoint, EndpointSettings, FlowChart, FlowId, FlowState, FlowTable, SocketCommand,
    SocketEvent, SplicedFlow, Timestamps, flow_chart, tcp_checksum_is_valid,
};
use loftdrift_wire::{
    ECHO_BYTES, Echo, EchoKind, FlowCookie, FlowKey, GenevePacket, InnerPacket, SegmentKind,
    SteeringMode, SteeringOption, Transport, encode_packet, parse_inner, reset_for,
};
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// A flow whose caller has not acknowledged the SYN-ACK after this time is removed.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(15);

#[derive(Debug)]
enum FlowBody {
    Tcp(Box<SplicedFlow>),
    Udp(UdpFlow),
}

/// An agent: the packets and flows of one back end.
#[derive(Debug)]
pub struct Agent {
    settings: AgentSettings,
    chart: Arc<FlowChart>,
    version: Version,
    spec: Option<BackendSpec>,
    admission: Admission,
    flows: FlowTable<FlowBody>,
    unknown: UnknownFlows,
    outputs: VecDeque<Output>,
    sequence_seed: u64,
    /// Counters since the start.
    pub counters: AgentCounters,
}

impl Agent {
    /// Creates an agent without configuration. Fails only if the built-in state chart is invalid.
    pub fn new(settings: AgentSettings) -> Result<Self, Findings> {
        Ok(Agent {
            chart: Arc::new(flow_chart()?),
            version: Version::default(),
            spec: None,
            admission: Admission::new(settings.ramp),
            flows: FlowTable::default(),
            unknown: UnknownFlows::new(settings.unknown_grace),
            outputs: VecDeque::new(),
            sequence_seed: settings.seed,
            settings,
            counters: AgentCounters::default(),
        })
    }

    /// Applies a configuration if it is newer than the current one; returns whether it did.
    pub fn adopt(&mut self, now: Duration, configuration: &Configuration) -> bool {
        if configuration.version <= self.version {
            self.counters.configurations_passed_over += 1;
            return false;
        }
        self.version = configuration.version;
        if let Some((service, backend)) = configuration.find_backend(&self.settings.backend) {
            self.spec = Some(BackendSpec::new(service, backend));
            self.admission.health.start(now);
        } else if let Some(spec) = &mut self.spec {
            // Detached while it still has flows: it serves them until they end.
            spec.backend.state = BackendState::Leaving;
        }
        self.counters.configurations_adopted += 1;
        self.counters.configuration_incarnation = self.version.incarnation;
        self.counters.configuration_revision = self.version.revision;
        true
    }

    /// Version of the current configuration.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Whether a configuration has listed this agent's back end.
    pub fn is_placed(&self) -> bool {
        self.spec.is_some()
    }

    /// Stops accepting new flows.
    pub fn start_draining(&mut self) {
        self.admission.stopping = true;
    }

    /// Number of flows that load the back end. Closing and resetting flows are not counted.
    pub fn flow_count(&self) -> usize {
        self.flows.active_flows()
    }

    /// Takes the next output for the embedder to carry out.
    pub fn take_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// When [`Agent::handle_timeout`] must be called next, if at all.
    pub fn next_timeout(&self) -> Option<Duration> {
        let deadlines = [self.flows.next_wake_up(), self.admission.health.next_check()];
        deadlines.into_iter().flatten().min()
    }

    /// Runs all timers that are due at `now`.
    pub fn handle_timeout(&mut self, now: Duration) {
        if self.admission.health.take_due_check(now) {
            self.check_backend(now);
        }
        while let Some(flow) = self.flows.pop_due(now) {
            match self.flows.get_mut(flow).map(|flow| &mut flow.body) {
                Some(FlowBody::Tcp(splice)) => splice.poll(now),
                Some(FlowBody::Udp(body)) if body.expires_at(self.settings.udp_idle) <= now => {
                    self.remove_flow(flow);
                    continue;
                }
                Some(FlowBody::Udp(_)) => {}
                None => {}
            }
            self.collect_outputs(now, flow);
        }
    }

    fn check_backend(&mut self, now: Duration) {
        match &self.spec {
            Some(spec) if spec.transport == Transport::Tcp => {
                self.outputs.push_back(Output::OpenHealthCheck { server: spec.backend.server });
            }
            _ => self.handle_health_check(now, true), // UDP has no connections to check.
        }
    }

    /// Handles a health check report: whether the connection was accepted, or was refused or ended.
    pub fn handle_health_check(&mut self, now: Duration, accepts: bool) {
        self.admission.health.on_check_result(now, accepts);
        self.counters.backend_accepts = u64::from(accepts);
    }

    /// Handles an event of a flow's socket task. Events of flows that have ended are ignored.
    pub fn handle_socket(&mut self, now: Duration, flow: FlowId, event: SocketEvent) {
        let Some(entry) = self.flows.get_mut(flow) else {
            return;
        };
        let is_connecting = match &entry.body {
            FlowBody::Tcp(splice) => splice.state() == FlowState::Connecting,
            FlowBody::Udp(_) => false,
        };
        if event == SocketEvent::Failed {
            self.counters.flows_failed += 1;
        }
        if event == SocketEvent::Failed && is_connecting {
            self.admission.health.on_connect_failed(now);
            self.counters.backend_accepts = 0;
        }
        match (&mut entry.body, event) {
            (FlowBody::Tcp(splice), event) => splice.on_socket_event(now, event),
            (FlowBody::Udp(body), SocketEvent::Received(payload)) => {
                body.touch(now);
                let reply = udp::reply_packet(&entry.key, &payload);
                if let Some(reply) = reply {
                    self.send_to_caller(reply);
                }
            }
            (FlowBody::Udp(_), SocketEvent::Failed) => return self.remove_flow(flow),
            (FlowBody::Udp(_), _) => {}
        }
        self.collect_outputs(now, flow);
    }

    /// Handles a datagram received from `from`.
    pub fn handle_datagram(&mut self, now: Duration, from: SocketAddrV4, datagram: &[u8]) {
        self.counters.received += 1;
        let packet = match GenevePacket::parse(datagram) {
            Ok(packet) => packet,
            Err(error) => return self.counters.packets.count_geneve_error(error),
        };
        if packet.control {
            return self.handle_control(from, &packet);
        }
        let Some(spec) = &self.spec else {
            self.counters.dropped_unconfigured += 1;
            return;
        };
        if packet.vni != spec.service_id.0 {
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
        if inner.flow.service != spec.address || inner.flow.transport != spec.transport {
            self.counters.refused_other_service += 1;
            return;
        }
        if !transport_checksum_is_valid(packet.inner, inner.flow.transport) {
            self.counters.dropped_transport_checksum += 1;
            return;
        }
        match self.local_flow(&inner) {
            Some(flow) => self.deliver(now, flow, &inner, packet.inner),
            None => self.handle_nonlocal(now, &option, &inner, packet.inner),
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

    /// The packet's flow, if this agent owns it. During a handshake the packet must acknowledge
    /// this agent's own SYN-ACK: another candidate may have been offered the same flow.
    fn local_flow(&self, inner: &InnerPacket) -> Option<FlowId> {
        let id = self.flows.find(&inner.flow)?;
        let FlowBody::Tcp(splice) = &self.flows.get(id)?.body else {
            return Some(id);
        };
        let acknowledgement = match inner.kind {
            SegmentKind::Established { acknowledgement: Some(number), .. } => number,
            _ => return Some(id),
        };
        let in_handshake = splice.state() == FlowState::Handshake;
        let is_own = !in_handshake || splice.endpoint().acknowledges_handshake(acknowledgement);
        is_own.then_some(id)
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
        self.collect_outputs(now, flow);
    }

    fn handle_nonlocal(
        &mut self,
        now: Duration,
        option: &SteeringOption,
        inner: &InnerPacket,
        packet: &[u8],
    ) {
        let next = match option.mode {
            SteeringMode::Locate if self.cookie_names_this_backend(inner) => {
                return self.reset(inner, packet);
            }
            SteeringMode::Locate => {
                forwarding::locate(option, inner, self.spec.as_ref().map(|spec| &spec.table))
            }
            SteeringMode::Select => {
                let load = self.selection_load(now, inner);
                let table = self.spec.as_ref().map(|spec| &spec.table);
                let next = forwarding::select(option, load, inner.kind, table);
                if matches!(
                    &next,
                    Action::Forward(_, on) if on.least_loaded_index() == Some(option.cursor)
                ) {
                    self.admission.offers.record(now);
                }
                next
            }
            SteeringMode::Open => match self.load(now) {
                Some(_) => {
                    self.admission.offers.complete();
                    Action::OpenHere
                }
                None => forwarding::restart_selection(option),
            },
        };
        match next {
            Action::Forward(candidate, option) => self.forward(candidate.agent, &option, packet),
            Action::OpenHere => self.open_flow(now, inner, packet),
            Action::Refuse => {
                self.counters.opens_refused += 1;
                self.send_reset(packet);
            }
            Action::Unknown => self.handle_unknown_flow(now, inner, packet),
            Action::HopLimitExceeded => self.counters.dropped_hops += 1,
        }
    }

    fn forward(&mut self, to: SocketAddrV4, option: &SteeringOption, packet: &[u8]) {
        let Some(spec) = &self.spec else { return };
        self.counters.passed_on += 1;
        let datagram = encode_packet(spec.service_id.0, Some(option), packet);
        self.outputs.push_back(Output::Transmit { to, datagram });
    }

    /// Whether the cookie names this back end and the flow is not here, so that no agent owns it.
    fn cookie_names_this_backend(&self, inner: &InnerPacket) -> bool {
        let Some(spec) = &self.spec else {
            return false;
        };
        let named =
            inner.timestamp_echo.and_then(|echo| FlowCookie::backend(echo, spec.service_id));
        named == Some(spec.backend_id) && self.flows.find(&inner.flow).is_none()
    }

    fn handle_unknown_flow(&mut self, now: Duration, inner: &InnerPacket, packet: &[u8]) {
        if self.unknown.should_reset(now, inner.flow) {
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
            self.send_to_caller(reset);
        }
    }

    /// This agent's load; `None` if it accepts no new flow.
    fn load(&mut self, now: Duration) -> Option<u16> {
        let spec = self.spec.as_ref()?;
        let load = self.admission.load(now, &spec.backend, self.flows.active_flows());
        match load {
            Ok(load) => Some(load),
            Err(reason) => {
                self.counters.count_declined(reason);
                None
            }
        }
    }

    /// The load to compare with other candidates. For UDP it is zero: all datagrams of a flow must
    /// select the same agent although loads change, so the first one that accepts new flows wins.
    fn selection_load(&mut self, now: Duration, inner: &InnerPacket) -> Option<u16> {
        let load = self.load(now);
        match inner.kind {
            SegmentKind::Datagram => load.map(|_| 0),
            _ => load,
        }
    }

    fn open_flow(&mut self, now: Duration, inner: &InnerPacket, packet: &[u8]) {
        let Some(spec) = &self.spec else { return };
        let server = spec.backend.server;
        let transport = spec.transport;
        let body = match transport {
            Transport::Tcp => FlowBody::Tcp(Box::new(self.new_splice(now, &inner.flow, spec))),
            Transport::Udp => FlowBody::Udp(UdpFlow::new(now)),
        };
        self.sequence_seed = self.sequence_seed.wrapping_mul(0x5851_F42D_4C95_7F2D).wrapping_add(1);
        let flow = self.flows.insert(inner.flow, body);
        self.counters.flows_opened += 1;
        self.outputs.push_back(Output::StartSocket { flow, server, transport });
        self.deliver(now, flow, inner, packet);
    }

    fn new_splice(&self, now: Duration, flow: &FlowKey, spec: &BackendSpec) -> SplicedFlow {
        let timestamps = match self.settings.cookies {
            true => Timestamps::Cookie(FlowCookie::new(spec.service_id, spec.backend_id)),
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

    /// Queues a flow's packets and commands, and removes the flow once it has ended.
    fn collect_outputs(&mut self, now: Duration, flow: FlowId) {
        let Some(entry) = self.flows.get_mut(flow) else {
            return;
        };
        let splice = match &mut entry.body {
            FlowBody::Tcp(splice) => splice,
            FlowBody::Udp(body) => {
                let deadline = body.expires_at(self.settings.udp_idle);
                self.flows.wake_by(flow, Some(deadline));
                self.counters.flows = self.flows.active_flows() as u64;
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
        let no_longer_active = matches!(splice.state(), FlowState::Closing | FlowState::Resetting);
        let deadline = splice.next_timeout(now);
        for packet in packets {
            self.send_to_caller(packet);
        }
        if gone {
            self.remove_flow(flow);
        } else {
            self.flows.wake_by(flow, deadline);
        }
        if no_longer_active {
            self.flows.mark_inactive(flow);
        }
        self.counters.flows = self.flows.active_flows() as u64;
    }

    fn remove_flow(&mut self, flow: FlowId) {
        self.flows.remove(flow);
        self.counters.flows_ended += 1;
        self.counters.flows = self.flows.active_flows() as u64;
        self.outputs.push_back(Output::Ended { flow });
    }

    /// Sends an IPv4 packet to the caller through the fabric, not through a balancer.
    fn send_to_caller(&mut self, packet: Vec<u8>) {
        let datagram = encode_packet(0, None, &packet);
        self.outputs.push_back(Output::Transmit { to: self.settings.fabric, datagram });
    }
}

fn transport_checksum_is_valid(packet: &[u8], transport: Transport) -> bool {
    match transport {
        Transport::Tcp => tcp_checksum_is_valid(packet),
        Transport::Udp => udp::checksum_is_valid(packet),
    }
}
