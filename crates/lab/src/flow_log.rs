//! When flows began and ended, and which back ends took new ones: what assigners are compared on.

use std::time::Duration;

/// One flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowSpan {
    /// When it was opened.
    pub opened: Duration,
    /// When it ended.
    pub ended: Duration,
    /// Place of its service in the scenario.
    pub service: usize,
    /// Requests, spread evenly from opening to end.
    pub packets: u32,
}

/// The agents that take new flows from one time on, by number, for each service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Members {
    /// From then on.
    pub at: Duration,
    /// Per service.
    pub services: Vec<Vec<u32>>,
}

/// Flows and members of one run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FlowLog {
    /// The flows in the order of their opening.
    pub flows: Vec<FlowSpan>,
    /// The members in the order of time; the first from time zero.
    pub members: Vec<Members>,
}

impl FlowLog {
    /// The agents of a service that take new flows at a time.
    pub fn members_at(&self, service: usize, at: Duration) -> &[u32] {
        let newest = self.members.iter().rev().find(|members| members.at <= at);
        newest.map_or(&[], |members| &members.services[service])
    }
}
