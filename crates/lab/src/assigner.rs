//! Replays a log of flows, lets a function assign each one to a back end, and samples the
//! imbalance that results.

use crate::flow_log::FlowLog;
use crate::run::{SAMPLE_INTERVAL, max_to_mean_ratio};
use crate::scenario::Scenario;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// Open flows per service index and agent number at one moment of a replay.
pub(crate) type Loads = BTreeMap<(usize, u32), usize>;

/// Samples of each service's imbalance when `assign` chooses the back end of every flow.
///
/// `assign` gets the flow's index in the log, the agents that accept new flows, and the loads at
/// the time when the flow opens. Sample times are those of a simulated run.
pub(crate) fn replay(
    log: &FlowLog,
    scenario: &Scenario,
    mut assign: impl FnMut(usize, &[u32], &Loads) -> Option<u32>,
) -> Vec<Vec<(Duration, f64)>> {
    let mut loads = Loads::new();
    let mut flow_ends: BinaryHeap<Reverse<(Duration, usize, u32)>> = BinaryHeap::new();
    let mut samples = vec![Vec::new(); scenario.services.len()];
    let mut next_sample = scenario.warm_up;
    for (index, flow) in log.flows.iter().enumerate() {
        while next_sample < scenario.duration && next_sample < flow.opened {
            remove_ended_flows(&mut flow_ends, &mut loads, next_sample);
            record_sample(log, &loads, next_sample, &mut samples);
            next_sample += SAMPLE_INTERVAL;
        }
        remove_ended_flows(&mut flow_ends, &mut loads, flow.opened);
        let members = log.members_at(flow.service, flow.opened);
        if let Some(chosen) = assign(index, members, &loads) {
            *loads.entry((flow.service, chosen)).or_default() += 1;
            flow_ends.push(Reverse((flow.ended, flow.service, chosen)));
        }
    }
    while next_sample < scenario.duration {
        remove_ended_flows(&mut flow_ends, &mut loads, next_sample);
        record_sample(log, &loads, next_sample, &mut samples);
        next_sample += SAMPLE_INTERVAL;
    }
    samples
}

/// Removes the flows that have ended by `until` from the loads.
fn remove_ended_flows(
    flow_ends: &mut BinaryHeap<Reverse<(Duration, usize, u32)>>,
    loads: &mut Loads,
    until: Duration,
) {
    while flow_ends.peek().is_some_and(|Reverse((at, _, _))| *at <= until) {
        let Some(Reverse((_, service, chosen))) = flow_ends.pop() else { return };
        if let Some(load) = loads.get_mut(&(service, chosen)) {
            *load -= 1;
        }
    }
}

fn record_sample(log: &FlowLog, loads: &Loads, at: Duration, samples: &mut [Vec<(Duration, f64)>]) {
    for (service, samples) in samples.iter_mut().enumerate() {
        let members = log.members_at(service, at);
        let load = |agent: &u32| loads.get(&(service, *agent)).copied().unwrap_or(0);
        let loads: Vec<usize> = members.iter().map(load).collect();
        samples.extend(max_to_mean_ratio(&loads).map(|ratio| (at, ratio)));
    }
}

/// The mean of the sampled ratios; 1 (perfect balance) when there are no samples.
pub(crate) fn mean(samples: &[(Duration, f64)]) -> f64 {
    if samples.is_empty() {
        return 1.0;
    }
    samples.iter().map(|(_, ratio)| ratio).sum::<f64>() / samples.len() as f64
}

/// The least loaded member; the first one on a tie.
pub(crate) fn least_loaded(service: usize, members: &[u32], loads: &Loads) -> Option<u32> {
    let load = |agent: &&u32| loads.get(&(service, **agent)).copied().unwrap_or(0);
    members.iter().min_by_key(load).copied()
}

/// Mean imbalance of each service under an assigner that always knows the current loads: the
/// reference that a run is compared with.
pub(crate) fn ideal_imbalance_per_service(log: &FlowLog, scenario: &Scenario) -> Vec<f64> {
    let services: Vec<usize> = log.flows.iter().map(|flow| flow.service).collect();
    let samples = replay(log, scenario, |index, members, loads| {
        least_loaded(services[index], members, loads)
    });
    samples.iter().map(|samples| mean(samples)).collect()
}
