//! Lifetimes of the flows of a run and the agents that accepted new flows: the input on which
//! assignment policies are compared.

use std::time::Duration;

/// Lifetime and size of one flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowSpan {
    /// When it was opened.
    pub opened: Duration,
    /// When it ended.
    pub ended: Duration,
    /// Index of its service in the scenario.
    pub service: usize,
    /// Packets that a policy must route: one per request, spread evenly over the lifetime.
    pub packets: u32,
}

/// The agents that accept new flows, valid until the next entry of [`FlowLog::members`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Members {
    /// The time from which this entry is valid.
    pub at: Duration,
    /// Per service, the numbers of the agents.
    pub services: Vec<Vec<u32>>,
}

/// Flows and members of one run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FlowLog {
    /// The flows, in the order in which they opened.
    pub flows: Vec<FlowSpan>,
    /// The members, in the order of time; the first entry starts at time zero.
    pub members: Vec<Members>,
}

impl FlowLog {
    /// The agents of a service that accept new flows at a given time.
    pub fn members_at(&self, service: usize, at: Duration) -> &[u32] {
        let newest = self.members.iter().rev().find(|members| members.at <= at);
        newest.map_or(&[], |members| &members.services[service])
    }
}
