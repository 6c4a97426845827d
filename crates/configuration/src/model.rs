//! Data model of the configuration, which is serialized into documents in the key-value store.

use crate::lifecycle::BackendState;
use loftdrift_wire::{BackendId, Candidate, ServiceId, Transport};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Maximum number of generations of members that a service keeps. Older generations are needed to
/// find flows that were opened under them and still exist.
pub const MAX_GENERATIONS: usize = 6;

/// Version of a configuration. A node adopts only versions higher than its current one.
///
/// The incarnation increases when the store was lost or restored from an older copy, so that
/// revisions can start over without any node going back to an older configuration.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// Increases when the store was lost or restored from an older copy.
    pub incarnation: u64,
    /// Increases by one with each accepted script.
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
    /// Version of this configuration.
    pub version: Version,
    /// The id assigned to a service last; the next service gets the one after it.
    pub last_service_id: u32,
    /// The id assigned to a back end last; the next back end gets the one after it. Ids are never
    /// reused.
    pub last_backend_id: u16,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
}

impl Configuration {
    /// Finds a back end and its service by the back end's name, which is unique over all services.
    pub fn find_backend(&self, name: &str) -> Option<(&Service, &Backend)> {
        self.services.values().find_map(|service| Some((service, service.backends.get(name)?)))
    }
}

/// Transport protocol of a service's flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceTransport {
    /// TCP; the agent forwards data between the caller's connection and a socket to the back end.
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

/// Data centre of a back end during a migration between two data centres.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Site {
    /// The data centre that the migration leaves.
    Left,
    /// The data centre that the migration moves to.
    Right,
}

/// A service: one address to which callers connect, served by a set of back ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Id, carried in packets as the GENEVE virtual network identifier (VNI).
    pub id: u32,
    /// Address to which callers connect.
    pub address: SocketAddrV4,
    /// TCP or UDP.
    pub transport: ServiceTransport,
    /// Number of candidates that the SYN of a new flow visits to find the least loaded one.
    pub candidates: u8,
    /// Version of the configuration that last changed this service.
    pub changed: Version,
    /// Back ends by name.
    pub backends: BTreeMap<String, Backend>,
    /// The sets of back ends that accepted new flows over time, newest first. Never empty once a
    /// back end has been attached.
    pub generations: Vec<Generation>,
    /// How new flows are split between the sites. Without it, a back end's site is ignored.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shift: Option<SiteShift>,
}

/// Gradual change of the share of new flows that go to the right site. Existing flows stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteShift {
    /// The right site's share at the start, in thousandths.
    pub from_permille: u16,
    /// The right site's share at the end, in thousandths.
    pub to_permille: u16,
    /// Start of the shift, in seconds since the Unix epoch.
    #[serde(rename = "starts")]
    pub start_seconds: u64,
    /// Duration of the shift, in seconds.
    #[serde(rename = "seconds")]
    pub duration_seconds: u64,
}

impl SiteShift {
    /// The right site's share in thousandths at `now`, the time since the Unix epoch.
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
    /// The id as used in packets.
    pub fn service_id(&self) -> ServiceId {
        ServiceId(self.id)
    }

    /// Adds a generation if the set of back ends that accept new flows has changed. All statements
    /// of one script share one generation, so that a long script does not push older generations
    /// out of the history, which holds [`MAX_GENERATIONS`].
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

/// The back ends that accepted new flows from one revision of the configuration on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generation {
    /// Revision of the configuration that introduced this generation.
    pub epoch: u64,
    /// Its members, ordered by name.
    pub members: Vec<Member>,
}

/// A back end as a member of a generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Id of the back end.
    pub backend: u16,
    /// UDP address of its agent.
    pub agent: SocketAddrV4,
    /// Its side of a migration between two data centres.
    pub site: Site,
}

impl Member {
    /// The member as used in packets.
    pub fn candidate(&self) -> Candidate {
        Candidate { backend: BackendId(self.backend), agent: self.agent }
    }
}

/// A back end of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Id, unique over all services.
    pub id: u16,
    /// UDP address of its agent.
    pub agent: SocketAddrV4,
    /// Address at which the agent connects to it.
    pub server: SocketAddrV4,
    /// Zone in which it runs.
    pub zone: String,
    /// Its side of a migration between two data centres.
    pub site: Site,
    /// Maximum number of requests that it processes concurrently.
    pub slots: u32,
    /// Maximum number of its flows.
    pub connections: u32,
    /// Life cycle state.
    pub state: BackendState,
}
