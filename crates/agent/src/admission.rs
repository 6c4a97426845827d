//! Whether this agent takes a new flow, and what load it tells a tour.

use crate::health::BackendHealth;
use crate::offers::Offers;
use loftdrift_configuration::{Backend, BackendState};
use std::time::Duration;

/// Loads compare in sixteenths of flows per slot.
const LOAD_SCALE: f64 = 16.0;
/// A back end that is joining, or has just come up, counts each flow so many times.
const COLD_LOAD_FACTOR: f64 = 2.0;

/// Why no new flow is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The back end is leaving or the agent is stopping.
    Leaving,
    /// The back end accepts no connections.
    Unreachable,
    /// The back end holds as many flows as it may.
    Full,
}

/// What admission rests on besides the configuration.
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

    /// The load with `busy` flows, in units that only compare.
    pub(crate) fn load(
        &mut self,
        now: Duration,
        backend: &Backend,
        busy: usize,
    ) -> Result<u16, Refusal> {
        if self.stopping || !backend.state.accepts_new_flows() {
            return Err(Refusal::Leaving);
        }
        if !self.health.accepts() {
            return Err(Refusal::Unreachable);
        }
        if busy as u64 >= u64::from(backend.connections) {
            return Err(Refusal::Full);
        }
        let coldness = match backend.state {
            BackendState::Joining => 1.0,
            _ => self.health.coldness(now, self.ramp),
        };
        let factor = 1.0 + (COLD_LOAD_FACTOR - 1.0) * coldness;
        // Counting the flow to come keeps a cold back end without flows from taking all new ones.
        let flows = (busy + self.offers.count(now) + 1) as f64 * factor;
        let load = flows * LOAD_SCALE / f64::from(backend.slots.max(1));
        Ok(load.min(f64::from(u16::MAX)) as u16)
    }
}
