//! What the shell needs of a core, whatever its role.

use crate::command::{CoreMetrics, MemberUpdate, NodeStatus};
use loftdrift_carried::{
    BackendReport, CarriedConfiguration, Incarnation, NodeList, Output, ProbeOutcome,
    ReportOutcome, Snapshot,
};
use std::net::SocketAddrV4;
use std::time::Duration;

/// A core behind the shell. The local socket is the one to callers or to the back end.
pub(crate) trait Core: Send + 'static {
    fn handle_local(&mut self, now: Duration, datagram: &[u8]);
    fn handle_peer(&mut self, now: Duration, from: SocketAddrV4, datagram: &[u8]);
    fn handle_timeout(&mut self, now: Duration);
    fn next_timeout(&self) -> Option<Duration>;
    fn take_output(&mut self) -> Option<Output>;
    /// Port at which callers take packets.
    fn caller_port(&self) -> u16;
    /// The back end, beside an agent.
    fn backend(&self) -> Option<SocketAddrV4> {
        None
    }
    fn adopt(&mut self, now: Duration, configuration: CarriedConfiguration);
    fn learn_members(&mut self, now: Duration, update: &MemberUpdate);
    /// Compares the shared store's list with who lives; no core but a balancer's asks for it.
    fn audit(&mut self, _now: Duration, _list: &NodeList) -> Vec<SocketAddrV4> {
        Vec::new()
    }
    fn install_snapshot(&mut self, now: Duration, snapshot: Snapshot);
    fn snapshot(&self) -> Snapshot;
    fn metrics(&self, now: Duration) -> CoreMetrics;
    fn status(&self, now: Duration) -> NodeStatus;
    fn start_draining(&mut self, now: Duration);

    /// The process stood still.
    fn resume(&mut self, now: Duration);
    /// Datagrams of the local socket that come next may have waited for so long.
    fn note_local_wait(&mut self, _max_wait: Duration) {}
    /// Whether the shared store has answered.
    fn note_store(&mut self, now: Duration, is_reachable: bool);
    /// A back end's heartbeat; no core but an agent's is sent any.
    fn handle_report(&mut self, _now: Duration, _report: &BackendReport) -> ReportOutcome {
        ReportOutcome::Foreign
    }
    /// A back end's word that could not be read.
    fn note_unreadable_report(&mut self) {}
    /// A back end's departure.
    fn handle_departure(&mut self, _now: Duration, _departed: &Incarnation) {}
    /// A back end's health.
    fn handle_health(&mut self, _now: Duration, _is_healthy: bool) {}
    /// What became of an attempt to connect to the back end.
    fn handle_probe(&mut self, _now: Duration, _outcome: ProbeOutcome) {}
}
