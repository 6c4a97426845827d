//! The interface between the driver and a core, whatever the node's role.

use crate::command::{CoreMetrics, MemberUpdate, NodeStatus};
use loftdrift_carried::{
    BackendReport, CarriedConfiguration, Incarnation, NodeList, Output, ProbeOutcome,
    ReportOutcome, Snapshot,
};
use std::net::SocketAddrV4;
use std::time::Duration;

/// A state machine without I/O that the driver runs. The local socket is the one towards callers
/// (balancer) or towards the back end (agent).
pub(crate) trait Core: Send + 'static {
    fn handle_local(&mut self, now: Duration, datagram: &[u8]);
    fn handle_peer(&mut self, now: Duration, from: SocketAddrV4, datagram: &[u8]);
    fn handle_timeout(&mut self, now: Duration);
    fn next_timeout(&self) -> Option<Duration>;
    fn take_output(&mut self) -> Option<Output>;
    /// Port at which callers receive packets.
    fn caller_port(&self) -> u16;
    /// Address of an agent's back end; `None` for a balancer.
    fn backend(&self) -> Option<SocketAddrV4> {
        None
    }
    /// Applies a configuration if it is newer than the one in force.
    fn adopt(&mut self, now: Duration, configuration: CarriedConfiguration);
    fn learn_members(&mut self, now: Duration, update: &MemberUpdate);
    /// Compares the shared store's member list with the nodes that are alive and returns the
    /// addresses whose entries are to be removed. Only a balancer's core requests it.
    fn audit(&mut self, _now: Duration, _list: &NodeList) -> Vec<SocketAddrV4> {
        Vec::new()
    }
    fn install_snapshot(&mut self, now: Duration, snapshot: Snapshot);
    fn snapshot(&self) -> Snapshot;
    fn metrics(&self, now: Duration) -> CoreMetrics;
    fn status(&self, now: Duration) -> NodeStatus;
    fn start_draining(&mut self, now: Duration);

    /// Notifies the core that the process did not run for longer than any peer waits.
    fn resume(&mut self, now: Duration);
    /// Sets how long the datagrams read next from the local socket may have waited there.
    fn note_local_wait(&mut self, _max_wait: Duration) {}
    /// Notifies the core whether the shared store has answered.
    fn note_store(&mut self, now: Duration, is_reachable: bool);
    /// Applies a heartbeat of the back end. Only agents receive heartbeats.
    fn handle_report(&mut self, _now: Duration, _report: &BackendReport) -> ReportOutcome {
        ReportOutcome::OtherService
    }
    /// Counts a request of the back end that could not be parsed.
    fn note_unreadable_request(&mut self) {}
    /// Handles the back end's departure notice.
    fn handle_departure(&mut self, _now: Duration, _departed: &Incarnation) {}
    /// Handles the answer of the back end's health page: the back end takes flows.
    fn handle_healthy(&mut self, _now: Duration) {}
    /// Handles the record of the departures that earlier processes have acknowledged.
    fn take_earlier_departures(&mut self, _now: Duration, _departed: Option<&[Incarnation]>) {}
    /// Handles the result of an attempt to connect to the back end.
    fn handle_probe(&mut self, _now: Duration, _outcome: ProbeOutcome) {}
}
