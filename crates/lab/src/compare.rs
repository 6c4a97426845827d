//! Compares assignment policies on the same flows.

use crate::assigner::mean;
use crate::plan::Plan;
use crate::policies::{Policy, PolicyRun, evaluate};
use crate::run::{Run, run};
use crate::scenario::Scenario;
use anyhow::Result;
use serde::Serialize;
use std::time::Duration;

/// Results of one policy with one seed.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// The seed.
    pub seed: u64,
    /// The policy's name.
    pub policy: &'static str,
    /// Flows that callers opened.
    pub flows: u64,
    /// Flows that broke although their back end and agent were alive.
    pub broken: u64,
    /// Per service, the mean imbalance of open flows: the largest load over the mean load.
    pub imbalance: Vec<f64>,
    /// When each broken flow broke.
    #[serde(skip)]
    pub broken_at: Vec<Duration>,
    /// Per service, the imbalance at each sample.
    #[serde(skip)]
    pub imbalance_over_time: Vec<Vec<(Duration, f64)>>,
}

/// Runs a scenario once with loftdrift's cores and evaluates each policy on the flows of that run.
///
/// Policies other than loftdrift are evaluated on the log of that run, without a simulated network:
/// no back end refuses a flow and no packet is lost, so they break a flow only by choosing another
/// back end for one of its later packets.
pub fn compare(scenario: &Scenario, seed: u64, policies: &[Policy]) -> Result<Vec<Comparison>> {
    let ours = run(&Plan::new(scenario, seed))?;
    let compared = policies.iter().map(|policy| {
        let (broken, evaluated) = match policy {
            Policy::Loftdrift => (ours.report.unexplained_breaks(), loftdrift_policy_run(&ours)),
            other => {
                let evaluated = evaluate(*other, &ours.log, scenario, seed);
                (evaluated.broken_at.len() as u64, evaluated)
            }
        };
        Comparison {
            seed,
            policy: policy.name(),
            flows: ours.report.flows_opened,
            broken,
            imbalance: evaluated.imbalance.iter().map(|samples| mean(samples)).collect(),
            broken_at: evaluated.broken_at,
            imbalance_over_time: evaluated.imbalance,
        }
    });
    Ok(compared.collect())
}

fn loftdrift_policy_run(run: &Run) -> PolicyRun {
    PolicyRun { broken_at: run.broken_at.clone(), imbalance: run.imbalance.clone() }
}
