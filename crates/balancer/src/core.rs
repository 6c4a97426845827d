//! The balancer's forwarding path.

use crate::counters::BalancerCounters;
use loftdrift_configuration::{Configuration, Version};
use loftdrift_liveness::{ProbeSettings, Prober};
use loftdrift_steering::SteeringMap;
use loftdrift_wire::{
    ECHO_BYTES, Echo, EchoKind, FlowCookie, GENEVE_HEADER_BYTES, GenevePacket, MAX_OPTION_BYTES,
    SegmentKind, SteeringOption, parse_inner, write_header,
};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Free space that the buffer must have in front of each received datagram, in bytes. The balancer
/// writes the new GENEVE header there.
pub const HEADROOM_BYTES: usize = GENEVE_HEADER_BYTES + 4 + MAX_OPTION_BYTES;

/// Largest inner packet that is forwarded, in bytes: that of a jumbo frame.
pub const MAX_INNER_BYTES: usize = 9_000;

/// A datagram to send: `buffer[start..end]`, to the address `to`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Forward {
    /// Address of the agent.
    pub to: SocketAddrV4,
    /// Offset of the datagram's first byte in the buffer.
    pub start: usize,
    /// Offset just past the datagram's last byte.
    pub end: usize,
}

/// What to do with a received datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Forward it.
    Forward(Forward),
    /// Reply to the sender with this echo.
    Reply(Echo),
    /// Nothing to send: the datagram was dropped, which a counter shows, or was a liveness reply.
    Done,
}

/// A balancer: forwards callers' packets to agents and keeps no state per flow.
#[derive(Debug)]
pub struct Balancer {
    map: SteeringMap,
    prober: Prober,
    draining: bool,
    /// The time since the Unix epoch at the last tick.
    unix_now: Duration,
    /// Counters since the start.
    pub counters: BalancerCounters,
}

impl Balancer {
    /// Creates a balancer without configuration.
    pub fn new(probing: ProbeSettings) -> Self {
        Balancer {
            map: SteeringMap::default(),
            prober: Prober::new(probing),
            draining: false,
            unix_now: Duration::ZERO,
            counters: BalancerCounters::default(),
        }
    }

    /// Applies a configuration if it is newer than the current one; returns whether it did.
    pub fn adopt(&mut self, now: Duration, configuration: &Configuration) -> bool {
        if configuration.version <= self.map.version() {
            self.counters.configurations_passed_over += 1;
            return false;
        }
        self.map = SteeringMap::new(configuration);
        self.map.set_time(self.unix_now);
        self.prober.set_peers(now, self.map.agents().map(|candidate| candidate.agent));
        self.refresh_suspects();
        self.counters.configurations_adopted += 1;
        self.counters.configuration_incarnation = configuration.version.incarnation;
        self.counters.configuration_revision = configuration.version.revision;
        true
    }

    /// Version of the current configuration.
    pub fn version(&self) -> Version {
        self.map.version()
    }

    /// Stops answering liveness echoes, so that the fabric stops sending packets here. Packets that
    /// still arrive are forwarded.
    pub fn start_draining(&mut self) {
        self.draining = true;
    }

    /// Updates the shares of new flows in running shifts between sites, and returns the liveness
    /// probes to send now. Call it about every 100 ms. `unix_now` is the time since the Unix epoch.
    pub fn tick(&mut self, now: Duration, unix_now: Duration) -> Vec<loftdrift_liveness::Probe> {
        self.unix_now = unix_now;
        self.map.set_time(unix_now);
        let probes = self.prober.tick(now);
        self.counters.control_bytes += (probes.len() * ECHO_BYTES) as u64;
        if self.prober.take_changed() {
            self.refresh_suspects();
        }
        probes
    }

    /// Handles the datagram in `buffer[HEADROOM_BYTES..end]`, received from `from`.
    pub fn handle(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        buffer: &mut [u8],
        end: usize,
    ) -> Action {
        self.counters.received += 1;
        let packet = match GenevePacket::parse(&buffer[HEADROOM_BYTES..end]) {
            Ok(packet) => packet,
            Err(error) => {
                self.counters.packets.count_geneve_error(error);
                return Action::Done;
            }
        };
        if packet.control {
            return self.handle_control(now, from, &packet);
        }
        if packet.inner.len() > MAX_INNER_BYTES {
            self.counters.dropped_oversized += 1;
            return Action::Done;
        }
        if packet.steering.is_some() {
            self.counters.packets.dropped_steering_option += 1;
            return Action::Done;
        }
        let inner = match parse_inner(packet.inner) {
            Ok(inner) => inner,
            Err(error) => {
                self.counters.packets.count_inner_error(error);
                return Action::Done;
            }
        };
        let Some(service) = self.map.service(&inner.flow) else {
            self.counters.dropped_unknown_service += 1;
            return Action::Done;
        };
        let option = match inner.kind {
            SegmentKind::Syn | SegmentKind::Datagram => service.new_flow_option(&inner.flow),
            SegmentKind::Established { .. } => {
                service.existing_flow_option(&inner.flow, inner.timestamp_echo)
            }
        };
        let vni = service.id().0;
        let inner_start = HEADROOM_BYTES + packet.inner_offset;
        let by_cookie = inner
            .timestamp_echo
            .is_some_and(|echo| FlowCookie::backend(echo, service.id()).is_some());
        self.counters.forwarded_opens += u64::from(inner.kind == SegmentKind::Syn);
        self.counters.forwarded_by_cookie += u64::from(by_cookie);
        self.encapsulate(buffer, inner_start, end, vni, &option)
    }

    fn encapsulate(
        &mut self,
        buffer: &mut [u8],
        inner_start: usize,
        end: usize,
        vni: u32,
        option: &SteeringOption,
    ) -> Action {
        let Some(first) = option.current() else {
            self.counters.dropped_no_candidate += 1;
            return Action::Done;
        };
        let Some(start) = write_header(&mut buffer[..inner_start], vni, Some(option)) else {
            self.counters.dropped_oversized += 1;
            return Action::Done;
        };
        self.counters.forwarded += 1;
        Action::Forward(Forward { to: first.agent, start, end })
    }

    fn handle_control(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        packet: &GenevePacket<'_>,
    ) -> Action {
        self.counters.control_bytes += ECHO_BYTES as u64;
        match Echo::decode(packet) {
            Some(Echo { kind: EchoKind::Request, sequence }) => {
                if self.draining || self.version() == Version::default() {
                    self.counters.echoes_unanswered += 1;
                    return Action::Done;
                }
                self.counters.echoes_answered += 1;
                self.counters.control_bytes += ECHO_BYTES as u64;
                Action::Reply(Echo { kind: EchoKind::Reply, sequence })
            }
            Some(Echo { kind: EchoKind::Reply, .. }) => {
                self.prober.on_reply(now, from);
                Action::Done
            }
            None => {
                self.counters.packets.dropped_control += 1;
                Action::Done
            }
        }
    }

    fn refresh_suspects(&mut self) {
        let prober = &self.prober;
        self.map.set_suspects(|candidate| prober.is_dead(candidate.agent));
        let suspects = self.map.agents().filter(|agent| prober.is_dead(agent.agent)).count();
        self.counters.suspects = suspects as u64;
    }
}
