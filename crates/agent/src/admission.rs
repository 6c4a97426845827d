//! Admission control: whether this agent accepts a new flow, and the load it reports when the
//! candidates for a new flow are compared.

use crate::health::BackendHealth;
use crate::offers::Offers;
use loftdrift_configuration::{Backend, BackendState};
use std::time::Duration;

/// Loads are integers in units of 1/16 flow per slot. A slot is one request that the back end works
/// on at a time.
const LOAD_SCALE: f64 = 16.0;
/// Factor on the load of a back end that is joining or has just come up (slow start). It falls to 1
/// over the warm-up.
const COLD_LOAD_FACTOR: f64 = 2.0;

/// Why a new flow is declined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DeclineReason {
    /// The back end is leaving or the agent is stopping.
    Leaving,
    /// The back end accepts no connections.
    Unreachable,
    /// The back end has as many flows as its configured connection limit allows.
    Full,
}

/// State that admission depends on, besides the configuration.
#[derive(Debug)]
pub(crate) struct Admission {
    pub(crate) health: BackendHealth,
    pub(crate) offers: Offers,
    pub(crate) stopping: bool,
    ramp: Duration,
}

impl Admission {
    pub(crate) fn new(ramp: Duration) -> Self {
        Admission {
            health: BackendHealth::default(),
            offers: Offers::default(),
            stopping: false,
            ramp,
        }
    }

    /// The load with `active_flows` flows, in units of [`LOAD_SCALE`]. Only useful for comparison
    /// with other agents' loads.
    pub(crate) fn load(
        &mut self,
        now: Duration,
        backend: &Backend,
        active_flows: usize,
    ) -> Result<u16, DeclineReason> {
        if self.stopping || !backend.state.accepts_new_flows() {
            return Err(DeclineReason::Leaving);
        }
        if !self.health.accepts() {
            return Err(DeclineReason::Unreachable);
        }
        if active_flows as u64 >= u64::from(backend.connections) {
            return Err(DeclineReason::Full);
        }
        let warm_up_left = match backend.state {
            BackendState::Joining => 1.0,
            _ => self.health.warm_up_left(now, self.ramp),
        };
        let factor = 1.0 + (COLD_LOAD_FACTOR - 1.0) * warm_up_left;
        // The new flow is counted too. Otherwise a cold back end without flows would have load 0
        // and attract all new flows.
        let flows = (active_flows + self.offers.count(now) + 1) as f64 * factor;
        let load = flows * LOAD_SCALE / f64::from(backend.slots.max(1));
        Ok(load.min(f64::from(u16::MAX)) as u16)
    }
}
