//! Reports of back ends to their agents: sent at one time, delivered at that or a later one.

use super::*;

/// Time after which an unacknowledged departure notice is sent again.
const DEPARTURE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time for which a back end serves its flows after its departure notice was acknowledged.
const DEPARTED_DURATION: Duration = Duration::from_secs(9);

impl CarriedWorld {
    pub(super) fn schedule_heartbeat(&mut self, agent: usize, after: Duration) {
        let start_id = self.backends[agent].start_id;
        self.events.push(self.now + after, Event::BackendHeartbeat { agent, start_id });
    }

    /// A back end sends its regular heartbeat. One that has departed sends no more.
    pub(super) fn heartbeat(&mut self, agent: usize, start_id: u64) {
        let backend = &mut self.backends[agent];
        if backend.start_id != start_id || !backend.is_alive || backend.has_departed {
            return;
        }
        let report = backend.report(self.now);
        self.schedule_heartbeat(agent, HEARTBEAT_INTERVAL);
        let late = self.late_heartbeats[agent].filter(|late| self.now < late.until);
        match late {
            Some(late) => {
                let event = Event::ReportArrives { agent, start_id, report };
                self.events.push(self.now + late.delay, event);
            }
            None => self.deliver_report(agent, start_id, &report),
        }
    }

    /// Delivers a heartbeat to the agent, if its process runs.
    pub(super) fn deliver_report(&mut self, agent: usize, start_id: u64, report: &BackendReport) {
        let node = self.settings.balancers + agent;
        if self.frozen_until(node).is_some() {
            return;
        }
        let uptime = self.nodes[node].uptime(self.now);
        let Some(core) = self.nodes[node].agent() else { return };
        core.take_report(uptime, report);
        if !report.is_ready {
            self.note_leaving_acknowledged(agent, start_id, SHUTDOWN_DELAY);
        }
        self.process_outputs(node);
    }

    /// A back end sends its departure notice until the agent acknowledges it.
    pub(super) fn depart(&mut self, agent: usize, start_id: u64) {
        let node = self.settings.balancers + agent;
        let backend = &mut self.backends[agent];
        if backend.start_id != start_id || !backend.is_alive {
            return;
        }
        backend.is_leaving = true;
        backend.has_departed = true;
        let gone = Incarnation::without_start_time(backend.id());
        let is_frozen = self.frozen_until(node).is_some();
        let uptime = self.nodes[node].uptime(self.now);
        let Some(core) = self.nodes[node].agent().filter(|_| !is_frozen) else {
            let event = Event::Departs { agent, start_id };
            return self.events.push(self.now + DEPARTURE_RETRY_DELAY, event);
        };
        core.take_departure(uptime, &gone);
        self.note_leaving_acknowledged(agent, start_id, DEPARTED_DURATION);
        self.process_outputs(node);
    }

    /// An agent that has started reads what earlier processes have acknowledged.
    pub(super) fn read_departures(&mut self, node: usize) {
        let answers = self.store_answers(node);
        let uptime = self.nodes[node].uptime(self.now);
        let Some(agent) = node.checked_sub(self.settings.balancers) else { return };
        let record = answers.then(|| self.departure_records[agent].clone());
        if let Some(core) = self.nodes[node].agent() {
            core.take_earlier_departures(uptime, record.as_deref());
        }
    }

    /// Writes what the agent has acknowledged, as soon as the store answers.
    pub(super) fn record_departures(&mut self, node: usize) {
        let answers = self.store_answers(node);
        let Some(agent) = node.checked_sub(self.settings.balancers) else { return };
        let Some(core) = self.nodes[node].agent().filter(|_| answers) else { return };
        let departures = core.acknowledged_departures();
        if core.knows_earlier_departures() || !departures.is_empty() {
            self.departure_records[agent] = departures;
        }
    }

    /// The agent has acknowledged that a back end leaves, which ends `after` that.
    fn note_leaving_acknowledged(&mut self, agent: usize, start_id: u64, after: Duration) {
        let backend = &mut self.backends[agent];
        if backend.start_id == start_id && backend.leaving_since.is_none() {
            backend.leaving_since = Some(self.now);
            self.events.push(self.now + after, Event::BackendExited { agent, start_id });
        }
    }
}
