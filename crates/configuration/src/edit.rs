//! Applies statements to a configuration: either all of them or none.

use crate::language::{Statement, StatementKind};
use crate::lifecycle::{BackendEvent, BackendState, backend_chart};
use crate::model::{Backend, Configuration, Service, Site, SiteShift, Version};
use loftdrift_charts::{ChartNames, TypedTransition};
use loftdrift_wire::MAX_VNI;
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;

/// Why a statement cannot be applied. One such statement causes the whole script to be refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EditError {
    /// A service of that name already exists.
    #[error("service `{0}` already exists")]
    ServiceExists(String),
    /// There is no such service.
    #[error("there is no service `{0}`")]
    UnknownService(String),
    /// Another service, named here, has the same address and transport.
    #[error("service `{0}` already uses that address")]
    AddressInUse(String),
    /// The service still has back ends.
    #[error("service `{0}` still has back ends; detach them first")]
    ServiceInUse(String),
    /// A back end of that name already exists.
    #[error("back end `{0}` already exists")]
    BackendExists(String),
    /// There is no such back end.
    #[error("there is no back end `{0}`")]
    UnknownBackend(String),
    /// Another back end, named here, has the same agent address.
    #[error("back end `{0}` already uses that agent address")]
    AgentInUse(String),
    /// The back end's state does not allow the command.
    #[error("back end `{name}` is {state}, which does not allow {event}")]
    NotAllowed {
        /// The back end.
        name: String,
        /// Its state, as named in its chart.
        state: &'static str,
        /// The command, as named in the chart.
        event: &'static str,
    },
    /// Every id of a service or back end has been assigned; ids are never reused.
    #[error("no id is left for another {0}")]
    IdsExhausted(&'static str),
    /// The state chart of back ends, which is part of the program, is invalid.
    #[error("{0}")]
    Chart(#[from] loftdrift_findings::Findings),
}

/// A refused statement: its byte offset in the script and the reason.
pub type LocatedEditError = (usize, EditError);

/// Returns the configuration after all `statements`, with the next revision, or every statement
/// that cannot be applied. `show` statements change nothing.
pub fn apply(
    configuration: &Configuration,
    statements: &[Statement],
) -> Result<Configuration, Vec<LocatedEditError>> {
    let mut edited = configuration.clone();
    edited.version.revision += 1;
    let mut errors = Vec::new();
    for statement in statements {
        if let Err(error) = apply_one(&mut edited, &statement.kind) {
            errors.push((statement.offset, error));
        }
    }
    if errors.is_empty() { Ok(edited) } else { Err(errors) }
}

fn apply_one(
    configuration: &mut Configuration,
    statement: &StatementKind,
) -> Result<(), EditError> {
    match statement {
        StatementKind::CreateService { .. } => create_service(configuration, statement),
        StatementKind::DeleteService { name } => delete_service(configuration, name),
        StatementKind::AttachBackend { .. } => attach_backend(configuration, statement),
        StatementKind::ChangeBackend { name, event } => change_backend(configuration, name, *event),
        StatementKind::Shift { .. } => shift(configuration, statement),
        StatementKind::Show(_) => Ok(()),
    }
}

fn create_service(
    configuration: &mut Configuration,
    statement: &StatementKind,
) -> Result<(), EditError> {
    let StatementKind::CreateService { name, address, transport, candidates } = statement else {
        return Ok(());
    };
    if configuration.services.contains_key(name) {
        return Err(EditError::ServiceExists(name.clone()));
    }
    let name_in_use = configuration
        .services
        .iter()
        .find(|(_, service)| service.address == *address && service.transport == *transport);
    if let Some((name_in_use, _)) = name_in_use {
        return Err(EditError::AddressInUse(name_in_use.clone()));
    }
    let id = configuration.last_service_id + 1;
    if id > MAX_VNI {
        return Err(EditError::IdsExhausted("service"));
    }
    configuration.last_service_id = id;
    let service = Service {
        id,
        address: *address,
        transport: *transport,
        candidates: *candidates,
        changed: configuration.version,
        backends: BTreeMap::new(),
        generations: Vec::new(),
        shift: None,
    };
    configuration.services.insert(name.clone(), service);
    Ok(())
}

fn delete_service(configuration: &mut Configuration, name: &str) -> Result<(), EditError> {
    let service = configuration.services.get(name);
    let service = service.ok_or_else(|| EditError::UnknownService(name.to_owned()))?;
    if !service.backends.is_empty() {
        return Err(EditError::ServiceInUse(name.to_owned()));
    }
    configuration.services.remove(name);
    Ok(())
}

fn attach_backend(
    configuration: &mut Configuration,
    statement: &StatementKind,
) -> Result<(), EditError> {
    let StatementKind::AttachBackend {
        name,
        service,
        server,
        agent,
        zone,
        site,
        slots,
        connections,
        state,
    } = statement
    else {
        return Ok(());
    };
    if configuration.find_backend(name).is_some() {
        return Err(EditError::BackendExists(name.clone()));
    }
    let mut backends = configuration.services.values().flat_map(|service| &service.backends);
    if let Some((name_in_use, _)) = backends.find(|(_, backend)| backend.agent == *agent) {
        return Err(EditError::AgentInUse(name_in_use.clone()));
    }
    let version = configuration.version;
    let id = configuration.last_backend_id.checked_add(1);
    let id = id.ok_or(EditError::IdsExhausted("back end"))?;
    let target = configuration.services.get_mut(service);
    let target = target.ok_or_else(|| EditError::UnknownService(service.clone()))?;
    configuration.last_backend_id = id;
    let backend = Backend {
        id,
        agent: *agent,
        server: *server,
        zone: zone.clone(),
        site: *site,
        slots: *slots,
        connections: *connections,
        state: *state,
    };
    target.backends.insert(name.clone(), backend);
    mark_changed(target, version);
    Ok(())
}

fn change_backend(
    configuration: &mut Configuration,
    name: &str,
    event: BackendEvent,
) -> Result<(), EditError> {
    let chart = backend_chart()?;
    let version = configuration.version;
    let mut services = configuration.services.values_mut();
    let service = services.find(|service| service.backends.contains_key(name));
    let unknown = || EditError::UnknownBackend(name.to_owned());
    let service = service.ok_or_else(unknown)?;
    let backend = service.backends.get_mut(name).ok_or_else(unknown)?;
    match chart.transition(backend.state, event) {
        TypedTransition::To(BackendState::Detached) => {
            service.backends.remove(name);
        }
        TypedTransition::To(state) => backend.state = state,
        TypedTransition::Stay => return Ok(()),
        TypedTransition::Refuse => {
            let state = backend.state.name();
            let event = event.name();
            return Err(EditError::NotAllowed { name: name.to_owned(), state, event });
        }
    }
    mark_changed(service, version);
    Ok(())
}

/// Starts a shift from the share that the service's previous shift has reached by now.
fn shift(configuration: &mut Configuration, statement: &StatementKind) -> Result<(), EditError> {
    const PERMILLE_PER_PERCENT: u16 = 10;
    const WHOLE_PERMILLE: u16 = 1_000;
    let StatementKind::Shift { service, site, percent, duration_seconds, start_seconds } =
        statement
    else {
        return Ok(());
    };
    let version = configuration.version;
    let target = configuration.services.get_mut(service);
    let target = target.ok_or_else(|| EditError::UnknownService(service.clone()))?;
    let share = u16::from(*percent) * PERMILLE_PER_PERCENT;
    let to_permille = match site {
        Site::Right => share,
        Site::Left => WHOLE_PERMILLE - share,
    };
    let now = Duration::from_secs(*start_seconds);
    let from_permille = target.shift.map_or(0, |shift| shift.right_permille(now));
    target.shift = Some(SiteShift {
        from_permille,
        to_permille,
        start_seconds: *start_seconds,
        duration_seconds: *duration_seconds,
    });
    mark_changed(target, version);
    Ok(())
}

fn mark_changed(service: &mut Service, version: Version) {
    service.changed = version;
    service.record_generation(version.revision);
}
