//! Adapts the agent's core to the [`Core`] trait that the driver uses.

use crate::command::{CoreMetrics, MemberUpdate, NodeStatus};
use crate::core::Core;
use loftdrift_carried::{
    BackendReport, CarriedAgent, CarriedConfiguration, Incarnation, Output, ProbeOutcome,
    ReportOutcome, SegmentFormat, Snapshot,
};
use loftdrift_counters::CounterSet;
use std::net::SocketAddrV4;
use std::time::Duration;

/// An agent's core with the addresses to which the driver sends its packets.
pub(crate) struct AgentCore<F> {
    pub(crate) agent: CarriedAgent<F>,
    pub(crate) backend: SocketAddrV4,
    pub(crate) caller_port: u16,
}

impl<F: SegmentFormat> Core for AgentCore<F> {
    fn handle_local(&mut self, now: Duration, datagram: &[u8]) {
        self.agent.handle_backend(now, datagram.to_vec());
    }

    fn handle_peer(&mut self, now: Duration, from: SocketAddrV4, datagram: &[u8]) {
        self.agent.handle_peer(now, from, datagram);
    }

    fn handle_timeout(&mut self, now: Duration) {
        self.agent.handle_timeout(now);
    }

    fn next_timeout(&self) -> Option<Duration> {
        self.agent.next_timeout()
    }

    fn take_output(&mut self) -> Option<Output> {
        self.agent.take_output()
    }

    fn caller_port(&self) -> u16 {
        self.caller_port
    }

    fn backend(&self) -> Option<SocketAddrV4> {
        Some(self.backend)
    }

    fn adopt(&mut self, now: Duration, configuration: CarriedConfiguration) {
        self.agent.adopt(now, configuration);
    }

    fn learn_members(&mut self, now: Duration, update: &MemberUpdate) {
        self.agent.learn_members(now, &update.members);
    }

    fn install_snapshot(&mut self, now: Duration, snapshot: Snapshot) {
        self.agent.take_snapshot(now, snapshot);
    }

    fn snapshot(&self) -> Snapshot {
        self.agent.snapshot()
    }

    fn metrics(&self, now: Duration) -> CoreMetrics {
        let samples = self.agent.counters(now).samples();
        CoreMetrics { samples, histograms: self.agent.histograms() }
    }

    fn status(&self, now: Duration) -> NodeStatus {
        NodeStatus {
            is_ready: true,
            is_drained: self.agent.is_drained(now),
            backend_ended: self.agent.backend_has_ended(),
            configuration: self.agent.configuration_version(),
            watches_store: false,
            health_check: self.agent.health_check().map(str::to_owned),
            departures: self.agent.acknowledged_departures(),
            knows_earlier_departures: self.agent.knows_earlier_departures(),
        }
    }

    fn resume(&mut self, now: Duration) {
        self.agent.resume(now);
    }

    fn note_store(&mut self, now: Duration, is_reachable: bool) {
        self.agent.note_store(now, is_reachable);
    }

    fn start_draining(&mut self, now: Duration) {
        self.agent.start_draining(now);
    }

    fn handle_report(&mut self, now: Duration, report: &BackendReport) -> ReportOutcome {
        self.agent.take_report(now, report)
    }

    fn note_unreadable_request(&mut self) {
        self.agent.note_unreadable();
    }

    fn handle_departure(&mut self, now: Duration, departed: &Incarnation) {
        self.agent.take_departure(now, departed);
    }

    fn handle_healthy(&mut self, now: Duration) {
        self.agent.take_healthy(now);
    }

    fn take_earlier_departures(&mut self, now: Duration, departed: Option<&[Incarnation]>) {
        self.agent.take_earlier_departures(now, departed);
    }

    fn handle_probe(&mut self, now: Duration, outcome: ProbeOutcome) {
        self.agent.take_probe(now, outcome);
    }
}
