//! Adapts the balancer's core to the [`Core`] trait that the driver uses.

use crate::command::{CoreMetrics, MemberUpdate, NodeStatus};
use crate::core::Core;
use loftdrift_carried::{
    CarriedBalancer, CarriedConfiguration, NodeList, Output, SegmentFormat, Snapshot,
};
use loftdrift_counters::CounterSet;
use std::net::SocketAddrV4;
use std::time::Duration;

/// After this time without packets from callers, stopping the process interrupts no flow.
const IDLE_PERIOD: Duration = Duration::from_millis(400);

/// A balancer's core with the UDP port at which callers receive packets.
pub(crate) struct BalancerCore<F> {
    pub(crate) balancer: CarriedBalancer<F>,
    pub(crate) caller_port: u16,
    pub(crate) last_packet: Duration,
}

impl<F: SegmentFormat> Core for BalancerCore<F> {
    fn handle_local(&mut self, now: Duration, datagram: &[u8]) {
        self.last_packet = now;
        self.balancer.handle_caller(now, datagram);
    }

    fn handle_peer(&mut self, now: Duration, from: SocketAddrV4, datagram: &[u8]) {
        self.balancer.handle_peer(now, from, datagram);
    }

    fn handle_timeout(&mut self, now: Duration) {
        self.balancer.handle_timeout(now);
    }

    fn next_timeout(&self) -> Option<Duration> {
        self.balancer.next_timeout()
    }

    fn take_output(&mut self) -> Option<Output> {
        self.balancer.take_output()
    }

    fn caller_port(&self) -> u16 {
        self.caller_port
    }

    fn adopt(&mut self, now: Duration, configuration: CarriedConfiguration) {
        self.balancer.adopt(now, configuration);
    }

    fn learn_members(&mut self, now: Duration, update: &MemberUpdate) {
        match update.is_complete {
            true => self.balancer.learn_members(now, &update.members),
            false => self.balancer.add_members(now, &update.members),
        }
    }

    fn audit(&mut self, now: Duration, list: &NodeList) -> Vec<SocketAddrV4> {
        self.balancer.audit_members(now, list)
    }

    fn install_snapshot(&mut self, now: Duration, snapshot: Snapshot) {
        self.balancer.take_snapshot(now, snapshot);
    }

    fn snapshot(&self) -> Snapshot {
        self.balancer.snapshot()
    }

    fn metrics(&self, now: Duration) -> CoreMetrics {
        let samples = self.balancer.counters(now).samples();
        CoreMetrics { samples, histograms: self.balancer.histograms() }
    }

    fn status(&self, now: Duration) -> NodeStatus {
        NodeStatus {
            is_ready: self.balancer.is_ready(now),
            is_drained: now.saturating_sub(self.last_packet) > IDLE_PERIOD,
            configuration: self.balancer.configuration_version(),
            watches_store: self.balancer.watches_store(now),
            ..NodeStatus::default()
        }
    }

    fn resume(&mut self, now: Duration) {
        self.balancer.resume(now);
    }

    fn note_local_wait(&mut self, max_wait: Duration) {
        self.balancer.note_input_age(max_wait);
    }

    fn note_store(&mut self, now: Duration, is_reachable: bool) {
        self.balancer.note_store(now, is_reachable);
    }

    fn start_draining(&mut self, _now: Duration) {
        self.balancer.start_draining();
    }
}
