//! A simulated balancer or agent process: a core whose clock starts at zero with the process.

use super::world::Inbox;
use loftdrift_carried::{CarriedAgent, CarriedBalancer, Output, Snapshot, Version};
use std::net::SocketAddrV4;
use std::time::Duration;

pub(super) enum Core {
    Balancer(Box<CarriedBalancer>),
    Agent(Box<CarriedAgent>),
}

/// A node of the simulated system and the process that currently runs on it.
pub(super) struct Process {
    pub(super) address: SocketAddrV4,
    pub(super) core: Option<Core>,
    /// When the current process started.
    pub(super) started: Duration,
    pub(super) frozen_until: Duration,
    /// When the last freeze began.
    pub(super) frozen_since: Duration,
    pub(super) isolated_until: Duration,
    /// Until when its watch on the store hangs.
    pub(super) watch_hangs_until: Duration,
    /// Number of starts so far. Events that carry an earlier number are ignored.
    pub(super) incarnation: u64,
    /// When its next wake-up is scheduled.
    pub(super) wake_at: Option<Duration>,
    /// Whether it has read the list of nodes since its start.
    pub(super) knows_members: bool,
    /// Input that waits for the processor of a slow balancer.
    pub(super) inbox: Inbox,
    /// Agents only: whether the health page was requested since the start.
    pub(super) has_checked_health: bool,
    /// Balancers only: whether the router sends them new packets.
    pub(super) in_rotation: bool,
    pub(super) missed_probes: u32,
}

impl Process {
    pub(super) fn new(address: SocketAddrV4) -> Self {
        Process {
            address,
            core: None,
            started: Duration::ZERO,
            frozen_until: Duration::ZERO,
            frozen_since: Duration::ZERO,
            isolated_until: Duration::ZERO,
            watch_hangs_until: Duration::ZERO,
            incarnation: 0,
            wake_at: None,
            knows_members: false,
            inbox: Inbox::default(),
            has_checked_health: false,
            in_rotation: false,
            missed_probes: 0,
        }
    }

    /// Time since the process started.
    pub(super) fn uptime(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started)
    }

    pub(super) fn balancer(&mut self) -> Option<&mut CarriedBalancer> {
        match &mut self.core {
            Some(Core::Balancer(balancer)) => Some(balancer),
            _ => None,
        }
    }

    pub(super) fn agent(&mut self) -> Option<&mut CarriedAgent> {
        match &mut self.core {
            Some(Core::Agent(agent)) => Some(agent),
            _ => None,
        }
    }

    pub(super) fn handle_peer(&mut self, now: Duration, from: SocketAddrV4, datagram: &[u8]) {
        let now = self.uptime(now);
        match &mut self.core {
            Some(Core::Balancer(balancer)) => balancer.handle_peer(now, from, datagram),
            Some(Core::Agent(agent)) => agent.handle_peer(now, from, datagram),
            None => {}
        }
    }

    pub(super) fn handle_timeout(&mut self, now: Duration) {
        let now = self.uptime(now);
        match &mut self.core {
            Some(Core::Balancer(balancer)) => balancer.handle_timeout(now),
            Some(Core::Agent(agent)) => agent.handle_timeout(now),
            None => {}
        }
    }

    /// When the core's next timer is due, in simulation time.
    pub(super) fn next_timeout(&self) -> Option<Duration> {
        let next = match self.core.as_ref()? {
            Core::Balancer(balancer) => balancer.next_timeout(),
            Core::Agent(agent) => agent.next_timeout(),
        };
        next.map(|at| self.started + at)
    }

    /// Version of the configuration; `None` while no process runs.
    pub(super) fn configuration_version(&self) -> Option<Version> {
        Some(match self.core.as_ref()? {
            Core::Balancer(balancer) => balancer.configuration_version(),
            Core::Agent(agent) => agent.configuration_version(),
        })
    }

    pub(super) fn snapshot(&self) -> Option<Snapshot> {
        Some(match self.core.as_ref()? {
            Core::Balancer(balancer) => balancer.snapshot(),
            Core::Agent(agent) => agent.snapshot(),
        })
    }

    pub(super) fn take_snapshot(&mut self, now: Duration, snapshot: Snapshot) {
        let now = self.uptime(now);
        match &mut self.core {
            Some(Core::Balancer(balancer)) => balancer.take_snapshot(now, snapshot),
            Some(Core::Agent(agent)) => agent.take_snapshot(now, snapshot),
            None => {}
        }
    }

    /// Whether an agent needs the answer of the health page now.
    pub(super) fn needs_health_check(&self) -> bool {
        matches!(&self.core, Some(Core::Agent(agent)) if agent.health_check().is_some())
    }

    pub(super) fn take_output(&mut self) -> Option<Output> {
        match self.core.as_mut()? {
            Core::Balancer(balancer) => balancer.take_output(),
            Core::Agent(agent) => agent.take_output(),
        }
    }
}
