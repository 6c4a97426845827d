//! The configuration's entry for this agent's back end.

use loftdrift_configuration::{Backend, Service};
use loftdrift_steering::ServiceTable;
use loftdrift_wire::{BackendId, ServiceId, Transport};
use std::net::SocketAddrV4;

/// This agent's back end and its service, as configured.
#[derive(Debug)]
pub(crate) struct BackendSpec {
    pub(crate) table: ServiceTable,
    pub(crate) backend: Backend,
    pub(crate) backend_id: BackendId,
    pub(crate) service_id: ServiceId,
    pub(crate) transport: Transport,
    pub(crate) address: SocketAddrV4,
}

impl BackendSpec {
    pub(crate) fn new(service: &Service, backend: &Backend) -> Self {
        BackendSpec {
            table: ServiceTable::new(service),
            backend: backend.clone(),
            backend_id: BackendId(backend.id),
            service_id: service.service_id(),
            transport: service.transport.into(),
            address: service.address,
        }
    }
}
