//! Applies statements to a configuration, whole or not at all.

use crate::language::{Statement, StatementKind};
use crate::lifecycle::{BackendEvent, BackendState, backend_chart};
use crate::model::{Backend, Configuration, Service, Site, SiteShift, Version};
use loftdrift_charts::{ChartNames, TypedTransition};
use loftdrift_wire::MAX_VNI;
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;

/// Why a statement cannot be applied. Nothing of its script is.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EditError {
    /// The service exists.
    #[error("service `{0}` exists already")]
    ServiceExists(String),
    /// There is no such service.
    #[error("there is no service `{0}`")]
    UnknownService(String),
    /// Another service has that address.
    #[error("service `{0}` has that address already")]
    AddressInUse(String),
    /// The service still has back ends.
    #[error("service `{0}` still has back ends; detach them first")]
    ServiceInUse(String),
    /// The back end exists.
    #[error("back end `{0}` exists already")]
    BackendExists(String),
    /// There is no such back end.
    #[error("there is no back end `{0}`")]
    UnknownBackend(String),
    /// Another back end has that agent.
    #[error("back end `{0}` has that agent already")]
    AgentInUse(String),
    /// The back end's state does not allow it.
    #[error("back end `{name}` is {state}, which does not allow {event}")]
    NotAllowed {
        /// The back end.
        name: String,
        /// Its state.
        state: &'static str,
        /// The command.
        event: &'static str,
    },
    /// Identities are used up.
    #[error("no identity is left for another {0}")]
    IdsExhausted(&'static str),
    /// The program's own chart is broken.
    #[error("{0}")]
    Chart(#[from] loftdrift_findings::Findings),
}

/// A refused statement: where it stands and why it is refused.
pub type LocatedEditError = (usize, EditError);

/// The configuration after `statements`, one revision on; queries change nothing.
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
    let id = configuration.next_service + 1;
    if id > MAX_VNI {
        return Err(EditError::IdsExhausted("service"));
    }
    configuration.next_service = id;
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
    let id = configuration.next_backend.checked_add(1);
    let id = id.ok_or(EditError::IdsExhausted("back end"))?;
    let target = configuration.services.get_mut(service);
    let target = target.ok_or_else(|| EditError::UnknownService(service.clone()))?;
    configuration.next_backend = id;
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

/// A new shift begins at the share that the one before it has reached.
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
