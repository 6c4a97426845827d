//! What operators say about carried flows: which service answers at which address, and which zones
//! are evacuated.
//!
//! Both stand in one document with one version, so that they spread, are confirmed and outlive
//! processes in the same way.

use crate::version::Version;
use bincode::{Decode, Encode};
use siphasher::sip::SipHasher13;
use std::collections::{BTreeSet, HashMap};
use std::hash::Hasher;
use std::net::SocketAddrV4;

/// A service's share of a route's new flows.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RouteTarget {
    /// The service's name.
    pub service: String,
    /// Its weight beside the route's other parts.
    pub weight: u32,
}

/// Where the new flows of one address go.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Route {
    /// The address that callers dial.
    pub address: SocketAddrV4,
    /// The services that share its new flows; one for most routes.
    pub targets: Vec<RouteTarget>,
    /// Within how many milliseconds an answer is worth all that it can be; 0 when not told.
    pub target_latency_ms: u32,
    /// How urgent its requests are; 0 is the most urgent.
    pub priority: u8,
    /// The regions whose back ends may take its flows; any where none is named.
    pub regions: Vec<String>,
}

/// What holds for one service.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ServiceSettings {
    /// Its name.
    pub name: String,
    /// Path of its back ends' health page.
    pub health_path: String,
    /// Most flows at one back end; 0 when not told.
    pub max_connections: u32,
    /// Thousandths of a new flow that a cold back end bears in a second; 0 when not told.
    pub cold_flows_milli: u32,
}

/// All that operators have said.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct CarriedConfiguration {
    /// Documents of different versions may say the same, since each reader takes the revision of the
    /// store that it read at.
    pub version: Version,
    /// The routes, one an address.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<ServiceSettings>,
    /// A flow may be forgotten when it has rested for so many milliseconds.
    pub idle_timeout_ms: u32,
    /// Zones whose back ends take no new flows.
    pub evacuated: BTreeSet<String>,
}

impl CarriedConfiguration {
    /// Tells documents apart by what they say; the version does not count.
    pub fn digest(&self) -> u64 {
        let content = (&self.routes, &self.services, self.idle_timeout_ms, &self.evacuated);
        // Plain data in a growing buffer always encodes.
        let bytes = bincode::encode_to_vec(content, bincode::config::standard());
        let mut hasher = SipHasher13::new();
        hasher.write(&bytes.unwrap_or_default());
        hasher.finish()
    }

    /// The document that lacks nothing of either. The store may have come back without the newest
    /// configuration: a reading that is newer then brings its evacuations, and the configuration with the
    /// operator's higher number stays.
    #[must_use]
    pub fn join(self, other: CarriedConfiguration) -> CarriedConfiguration {
        let version = self.version.join(other.version);
        let (later, earlier) = match self.version.position >= other.version.position {
            true => (self, other),
            false => (other, self),
        };
        let evacuated = later.evacuated.clone();
        let newer = if later.version.number >= earlier.version.number { later } else { earlier };
        CarriedConfiguration { version, evacuated, ..newer }
    }

    /// What holds for a service.
    pub fn service(&self, name: &str) -> Option<&ServiceSettings> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// Routes by address, with what each address stood for before.
#[derive(Debug, Default)]
pub(crate) struct RoutingTable {
    routes: HashMap<SocketAddrV4, TableEntry>,
}

/// Most services that an address remembers to have stood for.
const MAX_FORMER_SERVICES: usize = 4;

#[derive(Debug)]
struct TableEntry {
    route: Route,
    /// Services that once took new flows of the address and may still hold some, newest first.
    former: Vec<String>,
    /// What each part is owed: smooth weighted round robin.
    credits: Vec<i64>,
}

impl RoutingTable {
    /// The table of a newer configuration; what addresses stood for before is kept.
    pub(crate) fn replace(&mut self, configuration: &CarriedConfiguration) {
        let mut previous = std::mem::take(&mut self.routes);
        for route in &configuration.routes {
            let before = previous.remove(&route.address);
            self.routes.insert(route.address, TableEntry::new(route.clone(), before));
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    pub(crate) fn route(&self, address: &SocketAddrV4) -> Option<&Route> {
        self.routes.get(address).map(|entry| &entry.route)
    }

    /// The services that may hold flows of an address: the route's parts, then former ones.
    pub(crate) fn candidate_services(&self, address: &SocketAddrV4) -> impl Iterator<Item = &str> {
        let entry = self.routes.get(address);
        let parts = entry.into_iter().flat_map(|entry| &entry.route.targets);
        let former = entry.into_iter().flat_map(|entry| &entry.former);
        parts.map(|part| part.service.as_str()).chain(former.map(String::as_str))
    }

    /// The service that the next new flow of an address goes to.
    pub(crate) fn next_service(&mut self, address: &SocketAddrV4) -> Option<String> {
        self.routes.get_mut(address)?.next_service()
    }
}

impl TableEntry {
    fn new(route: Route, before: Option<TableEntry>) -> Self {
        let mut former = Vec::new();
        let mut credits = vec![0; route.targets.len()];
        if let Some(before) = before {
            if before.route.targets == route.targets {
                credits = before.credits;
            }
            let earlier = before.route.targets.into_iter().map(|part| part.service);
            for service in earlier.chain(before.former) {
                let is_part = route.targets.iter().any(|part| part.service == service);
                if !is_part && !former.contains(&service) && former.len() < MAX_FORMER_SERVICES {
                    former.push(service);
                }
            }
        }
        TableEntry { route, former, credits }
    }

    fn next_service(&mut self) -> Option<String> {
        let total: i64 = self.route.targets.iter().map(|part| i64::from(part.weight)).sum();
        for (credit, part) in self.credits.iter_mut().zip(&self.route.targets) {
            *credit += i64::from(part.weight);
        }
        let owed =
            self.credits.iter().enumerate().filter(|(at, _)| self.route.targets[*at].weight > 0);
        let (best, _) = owed.max_by_key(|(at, credit)| (**credit, std::cmp::Reverse(*at)))?;
        self.credits[best] -= total;
        Some(self.route.targets[best].service.clone())
    }
}
