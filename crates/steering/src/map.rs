//! The steering tables of all services, by service address.

use crate::service::ServiceTable;
use loftdrift_configuration::{Configuration, Version};
use loftdrift_wire::{Candidate, FlowKey, ServiceId, Transport};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ServiceAddress {
    address: SocketAddrV4,
    transport: Transport,
}

/// The steering tables of a configuration.
#[derive(Clone, Debug, Default)]
pub struct SteeringMap {
    version: Version,
    tables: Vec<ServiceTable>,
    by_address: HashMap<ServiceAddress, usize>,
    by_id: HashMap<ServiceId, usize>,
}

impl SteeringMap {
    /// Builds the tables of `configuration`.
    pub fn new(configuration: &Configuration) -> Self {
        let mut map = SteeringMap { version: configuration.version, ..SteeringMap::default() };
        for service in configuration.services.values() {
            let index = map.tables.len();
            let transport = Transport::from(service.transport);
            let address = ServiceAddress { address: service.address, transport };
            map.by_address.insert(address, index);
            map.by_id.insert(service.service_id(), index);
            map.tables.push(ServiceTable::new(service));
        }
        map
    }

    /// The configuration's version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The table of the service to which a flow is addressed.
    pub fn service(&self, flow: &FlowKey) -> Option<&ServiceTable> {
        let address = ServiceAddress { address: flow.service, transport: flow.transport };
        self.by_address.get(&address).map(|index| &self.tables[*index])
    }

    /// The table of a service by its id.
    pub fn service_by_id(&self, id: ServiceId) -> Option<&ServiceTable> {
        self.by_id.get(&id).map(|index| &self.tables[*index])
    }

    /// The agents of all services.
    pub fn agents(&self) -> impl Iterator<Item = &Candidate> {
        self.tables.iter().flat_map(ServiceTable::agents)
    }

    /// Updates the sites' shares of new flows to the time `unix_now` since the Unix epoch.
    pub fn set_time(&mut self, unix_now: Duration) {
        self.tables.iter_mut().for_each(|table| table.set_time(unix_now));
    }

    /// Sets which agents this node suspects to be dead.
    pub fn set_suspects(&mut self, is_suspect: impl Fn(&Candidate) -> bool) {
        for table in &mut self.tables {
            table.set_suspects(&is_suspect);
        }
    }
}
