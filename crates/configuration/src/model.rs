//! The configuration's model. It serializes to the documents in the key-value store.

use crate::lifecycle::BackendState;
use loftdrift_wire::{BackendId, Candidate, ServiceId, Transport};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Most generations of a service's members that are kept for flows that live on.
pub const MAX_GENERATIONS: usize = 6;

/// Names a configuration; a node adopts only higher ones.
///
/// The incarnation rises when the store was lost or restored from an older copy, so that its
/// revisions may start over without rolling any node back.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// Rises when the store starts over.
    pub incarnation: u64,
    /// Rises by one with each accepted script.
    pub revision: u64,
}

impl std::fmt::Display for Version {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}.{}", self.incarnation, self.revision)
    }
}

/// Everything that operators have configured.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Configuration {
    /// Which one this is.
    pub version: Version,
    /// The next service's identity.
    pub next_service: u32,
    /// The next back end's identity; identities are never used again.
    pub next_backend: u16,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
}

impl Configuration {
    /// The service and the back end of that name, back ends' names being unique.
    pub fn find_backend(&self, name: &str) -> Option<(&Service, &Backend)> {
        self.services.values().find_map(|service| Some((service, service.backends.get(name)?)))
    }
}

/// How a service's flows are carried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceTransport {
    /// TCP, spliced to the back end's socket.
    Tcp,
    /// UDP.
    Udp,
}

impl From<ServiceTransport> for Transport {
    fn from(transport: ServiceTransport) -> Self {
        match transport {
            ServiceTransport::Tcp => Transport::Tcp,
            ServiceTransport::Udp => Transport::Udp,
        }
    }
}

/// Which data centre of a migration a back end stands in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Site {
    /// The side being left.
    Left,
    /// The side being joined.
    Right,
}

/// A service: one address that callers dial.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Identity, carried as GENEVE virtual network identifier.
    pub id: u32,
    /// Address that callers dial.
    pub address: SocketAddrV4,
    /// TCP or UDP.
    pub transport: ServiceTransport,
    /// How many candidates a new flow's tour asks.
    pub candidates: u8,
    /// Version that last changed this service.
    pub changed: Version,
    /// Back ends by name.
    pub backends: BTreeMap<String, Backend>,
    /// The members that took new flows, newest first; never empty once a back end is attached.
    pub generations: Vec<Generation>,
    /// How new flows are shared between the sites; without it, sites do not matter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shift: Option<SiteShift>,
}

/// A share of new flows that moves to the right site over time. Flows that exist stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteShift {
    /// The right site's share at the start, in thousandths.
    pub from_permille: u16,
    /// Its share at the end, in thousandths.
    pub to_permille: u16,
    /// When it starts, in seconds since the Unix epoch.
    #[serde(rename = "starts")]
    pub start_seconds: u64,
    /// How long it takes, in seconds.
    #[serde(rename = "seconds")]
    pub duration_seconds: u64,
}

impl SiteShift {
    /// The right site's share at a time since the Unix epoch, in thousandths.
    pub fn right_permille(&self, now: Duration) -> u16 {
        let elapsed = now.saturating_sub(Duration::from_secs(self.start_seconds));
        let duration = Duration::from_secs(self.duration_seconds);
        if elapsed >= duration {
            return self.to_permille;
        }
        let progress = elapsed.as_secs_f64() / duration.as_secs_f64();
        let from = f64::from(self.from_permille);
        (from + (f64::from(self.to_permille) - from) * progress).round() as u16
    }
}

impl Service {
    /// The identity as it stands in packets.
    pub fn service_id(&self) -> ServiceId {
        ServiceId(self.id)
    }

    /// Records a new generation when the set of back ends that take new flows has changed. All
    /// statements of one script make one generation, so that scripts do not use up the history.
    pub fn record_generation(&mut self, epoch: u64) {
        self.generations.retain(|generation| generation.epoch != epoch);
        let members: Vec<Member> = self
            .backends
            .values()
            .filter(|backend| backend.state.accepts_new_flows())
            .map(|backend| Member { backend: backend.id, agent: backend.agent, site: backend.site })
            .collect();
        if self.generations.first().is_some_and(|newest| newest.members == members) {
            return;
        }
        self.generations.insert(0, Generation { epoch, members });
        self.generations.truncate(MAX_GENERATIONS);
    }
}

/// The back ends that took new flows from one configuration on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generation {
    /// The configuration's revision from which it was in force.
    pub epoch: u64,
    /// Its members in the order of their names.
    pub members: Vec<Member>,
}

/// A back end in a generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its identity.
    pub backend: u16,
    /// UDP address of its agent.
    pub agent: SocketAddrV4,
    /// Side of a migration it stands on.
    pub site: Site,
}

impl Member {
    /// The member as it stands in packets.
    pub fn candidate(&self) -> Candidate {
        Candidate { backend: BackendId(self.backend), agent: self.agent }
    }
}

/// A back end of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Identity, unique over all services.
    pub id: u16,
    /// UDP address of the agent beside it.
    pub agent: SocketAddrV4,
    /// Address at which the agent reaches it.
    pub server: SocketAddrV4,
    /// Zone it stands in.
    pub zone: String,
    /// Side of a migration it stands on.
    pub site: Site,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Flows that it holds at most.
    pub connections: u32,
    /// Where it stands in its life.
    pub state: BackendState,
}
