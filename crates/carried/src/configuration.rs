//! The operators' configuration of carried flows: which services answer at which address, and which
//! zones are evacuated.
//!
//! Both are in one document with one version, so that they spread, are confirmed and outlive
//! processes in the same way.

use crate::version::Version;
use bincode::{Decode, Encode};
use siphasher::sip::SipHasher13;
use std::collections::{BTreeSet, HashMap};
use std::hash::Hasher;
use std::net::SocketAddrV4;

/// A service that takes a share of a route's new flows.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Its weight relative to the route's other targets.
    pub weight: u32,
}

/// How the new flows of one address are routed.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Route {
    /// The address that callers connect to.
    pub address: SocketAddrV4,
    /// The services that share its new flows; most routes have one.
    pub targets: Vec<RouteTarget>,
    /// An answer within this many milliseconds has its full value to the caller; 0 if not set.
    pub latency_target_ms: u32,
    /// Priority of its requests; 0 is the most urgent.
    pub priority: u8,
    /// The regions whose back ends may take its flows; all regions if empty.
    pub regions: Vec<String>,
}

/// Settings of one service.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ServiceSettings {
    /// Name of the service.
    pub name: String,
    /// Path of its back ends' health check page.
    pub health_path: String,
    /// Maximum number of flows per back end; 0 if not set.
    pub max_connections: u32,
    /// New flows per second that a cold back end can take, in thousandths of a flow; 0 if not set.
    pub cold_flows_milli: u32,
}

/// The configuration document as written by the operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct CarriedConfiguration {
    /// Documents of different versions may have the same content, since each reader takes the store
    /// revision that it read at.
    pub version: Version,
    /// The routes, one per address.
    pub routes: Vec<Route>,
    /// Settings of the services that routes name.
    pub services: Vec<ServiceSettings>,
    /// A flow may be forgotten after it has been idle for this many milliseconds.
    pub idle_timeout_ms: u32,
    /// Zones whose back ends take no new flows.
    pub evacuated: BTreeSet<String>,
}

impl CarriedConfiguration {
    /// Hash of the content, without the version.
    pub fn digest(&self) -> u64 {
        let content = (&self.routes, &self.services, self.idle_timeout_ms, &self.evacuated);
        // Encoding plain data into a growing buffer cannot fail.
        let bytes = bincode::encode_to_vec(content, bincode::config::standard());
        let mut hasher = SipHasher13::new();
        hasher.write(&bytes.unwrap_or_default());
        hasher.finish()
    }

    /// Merges two documents so that the result contains everything that either has. The store may
    /// have been restored from a copy without the newest configuration. The reading at the later
    /// position then decides the evacuations, while the configuration with the operator's higher
    /// number stays.
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

    /// The settings of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceSettings> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// Routes by address, with the services that each address was routed to before.
#[derive(Debug, Default)]
pub(crate) struct RoutingTable {
    routes: HashMap<SocketAddrV4, TableEntry>,
}

/// Maximum number of former services remembered per address.
const MAX_FORMER_SERVICES: usize = 4;

#[derive(Debug)]
struct TableEntry {
    route: Route,
    /// Services that once took new flows of the address and may still have open ones, newest first.
    former: Vec<String>,
    /// Current weight of each target for smooth weighted round robin.
    credits: Vec<i64>,
}

impl RoutingTable {
    /// Replaces the table with that of a newer configuration; former services of an address are
    /// kept.
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

    /// The services that may have open flows of an address: the route's targets, then former
    /// services.
    pub(crate) fn candidate_services(&self, address: &SocketAddrV4) -> impl Iterator<Item = &str> {
        let entry = self.routes.get(address);
        let targets = entry.into_iter().flat_map(|entry| &entry.route.targets);
        let former = entry.into_iter().flat_map(|entry| &entry.former);
        targets.map(|target| target.service.as_str()).chain(former.map(String::as_str))
    }

    /// Chooses the service for the next new flow of an address.
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
            let previous = before.route.targets.into_iter().map(|target| target.service);
            for service in previous.chain(before.former) {
                let is_target = route.targets.iter().any(|target| target.service == service);
                if !is_target && !former.contains(&service) && former.len() < MAX_FORMER_SERVICES {
                    former.push(service);
                }
            }
        }
        TableEntry { route, former, credits }
    }

    fn next_service(&mut self) -> Option<String> {
        let total: i64 = self.route.targets.iter().map(|target| i64::from(target.weight)).sum();
        for (credit, target) in self.credits.iter_mut().zip(&self.route.targets) {
            *credit += i64::from(target.weight);
        }
        let eligible = self
            .credits
            .iter()
            .enumerate()
            .filter(|(index, _)| self.route.targets[*index].weight > 0);
        let (best, _) =
            eligible.max_by_key(|(index, credit)| (**credit, std::cmp::Reverse(*index)))?;
        self.credits[best] -= total;
        Some(self.route.targets[best].service.clone())
    }
}
