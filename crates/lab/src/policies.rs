//! Assignment policies that loftdrift is compared with, evaluated on the log of a simulated run.

use crate::assigner::{Loads, least_loaded, replay};
use crate::flow_log::{FlowLog, FlowSpan};
use crate::scenario::Scenario;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use siphasher::sip::SipHasher13;
use std::collections::HashMap;
use std::hash::Hasher;
use std::time::Duration;

/// How often the loads that [`Policy::StaleChoices`] sees are refreshed.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Entries of a Maglev table: a prime well above the number of back ends.
const MAGLEV_TABLE_SIZE: usize = 1_021;

/// A policy that assigns flows to back ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// What loftdrift's own cores did in the run.
    Loftdrift,
    /// The flow's hash modulo the number of back ends.
    HashModulo,
    /// Rendezvous hashing: the back end with the highest score for the flow.
    Rendezvous,
    /// A Maglev lookup table, without state per flow.
    Maglev,
    /// A Maglev lookup table and, on each balancer, a table of the flows that it has seen.
    FlowTable,
    /// The less loaded of two random back ends by loads up to 1 s old. Breaks no flow, as if all
    /// balancers shared one flow table instantly.
    StaleChoices,
    /// The least loaded back end by exact current loads. Breaks no flow, as if all balancers shared
    /// one flow table instantly: the ideal that real balancers can only approach.
    AllKnowing,
}

impl Policy {
    /// Every policy with its name on the command line and in results.
    pub const ALL: [(Policy, &'static str); 7] = [
        (Policy::Loftdrift, "loftdrift"),
        (Policy::HashModulo, "hash-modulo"),
        (Policy::Rendezvous, "rendezvous"),
        (Policy::Maglev, "maglev"),
        (Policy::FlowTable, "flow-table"),
        (Policy::StaleChoices, "stale-choices"),
        (Policy::AllKnowing, "all-knowing"),
    ];

    /// The name of the policy.
    pub fn name(self) -> &'static str {
        Self::ALL.iter().find(|(policy, _)| *policy == self).map_or("", |(_, name)| name)
    }

    /// The policy with a given name.
    pub fn parse(name: &str) -> Option<Policy> {
        Self::ALL.iter().find(|(_, known)| *known == name).map(|(policy, _)| *policy)
    }
}

/// Results of one policy on one log of flows.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct PolicyRun {
    /// When each broken flow broke.
    pub(crate) broken_at: Vec<Duration>,
    /// Per service, the imbalance at each sample.
    pub(crate) imbalance: Vec<Vec<(Duration, f64)>>,
}

/// Evaluates a policy other than [`Policy::Loftdrift`] on a log of flows.
pub(crate) fn evaluate(policy: Policy, log: &FlowLog, scenario: &Scenario, seed: u64) -> PolicyRun {
    let mut picker = StatelessPicker { tables: HashMap::new() };
    match policy {
        Policy::AllKnowing | Policy::Loftdrift => PolicyRun {
            broken_at: Vec::new(),
            imbalance: replay(log, scenario, |index, members, loads| {
                least_loaded(log.flows[index].service, members, loads)
            }),
        },
        Policy::StaleChoices => PolicyRun {
            broken_at: Vec::new(),
            imbalance: replay(log, scenario, stale_two_choices(log)),
        },
        Policy::HashModulo | Policy::Rendezvous | Policy::Maglev | Policy::FlowTable => {
            let views = MemberViews::new(log, scenario, seed);
            let mut run = PolicyRun {
                broken_at: Vec::new(),
                imbalance: replay(log, scenario, |index, members, _| {
                    picker.pick(policy, index, log.flows[index].service, members)
                }),
            };
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            for (index, flow) in log.flows.iter().enumerate() {
                run.broken_at.extend(first_break(
                    policy,
                    &mut picker,
                    &views,
                    index,
                    flow,
                    &mut random,
                ));
            }
            run.broken_at.sort_unstable();
            run
        }
    }
}

/// When a packet of the flow first reaches another back end than the flow's first packet did.
///
/// Each packet takes a random balancer. Returns `None` when the flow does not break.
fn first_break(
    policy: Policy,
    picker: &mut StatelessPicker,
    views: &MemberViews<'_>,
    index: usize,
    flow: &FlowSpan,
    random: &mut ChaCha8Rng,
) -> Option<Duration> {
    let packets = flow.packets.max(1);
    let mut first_choice = None;
    // The flow's entry in the flow table of each balancer that has seen it.
    let mut pinned: HashMap<usize, u32> = HashMap::new();
    for packet in 0..packets {
        let at = flow.opened + (flow.ended - flow.opened) * packet / packets;
        let balancer = random.random_range(0..views.balancers());
        let members = views.members(balancer, flow.service, at);
        let picked = picker.pick(policy, index, flow.service, members);
        let chosen = match policy {
            Policy::FlowTable => picked.map(|picked| *pinned.entry(balancer).or_insert(picked)),
            _ => picked,
        };
        match (first_choice, chosen) {
            (None, chosen) => first_choice = chosen,
            (Some(first_choice), chosen) if chosen != Some(first_choice) => return Some(at),
            _ => {}
        }
    }
    None
}

/// The members as each balancer sees them: a change reaches every balancer after a random delay.
struct MemberViews<'a> {
    log: &'a FlowLog,
    /// Per balancer, when it learns of each entry of [`FlowLog::members`].
    arrivals: Vec<Vec<Duration>>,
}

impl<'a> MemberViews<'a> {
    fn new(log: &'a FlowLog, scenario: &Scenario, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x51E0);
        let lag = scenario.configuration_lag;
        let arrivals = (0..scenario.balancers).map(|_| {
            let arrive = |change: usize| match change {
                0 => Duration::ZERO,
                _ => log.members[change].at + lag.mul_f64(random.random::<f64>()),
            };
            (0..log.members.len()).map(arrive).collect()
        });
        MemberViews { log, arrivals: arrivals.collect() }
    }

    fn balancers(&self) -> usize {
        self.arrivals.len()
    }

    fn members(&self, balancer: usize, service: usize, at: Duration) -> &[u32] {
        let arrived = self.arrivals[balancer].iter().rposition(|arrival| *arrival <= at);
        &self.log.members[arrived.unwrap_or(0)].services[service]
    }
}

/// Chooses back ends by hashing, without state per flow.
struct StatelessPicker {
    /// Maglev tables already built, by service and members.
    tables: HashMap<(usize, Vec<u32>), Vec<u32>>,
}

impl StatelessPicker {
    fn pick(
        &mut self,
        policy: Policy,
        flow: usize,
        service: usize,
        members: &[u32],
    ) -> Option<u32> {
        let hash = hash(0, flow as u64);
        match policy {
            Policy::HashModulo if !members.is_empty() => {
                Some(members[hash as usize % members.len()])
            }
            Policy::Rendezvous => {
                members.iter().copied().max_by_key(|agent| self::hash(u64::from(*agent) + 1, hash))
            }
            Policy::Maglev | Policy::FlowTable if !members.is_empty() => {
                let table = self.tables.entry((service, members.to_vec()));
                let table = table.or_insert_with(|| maglev_table(members));
                Some(table[hash as usize % table.len()])
            }
            _ => None,
        }
    }
}

/// Fills a Maglev table: members take turns to claim the next free entry in the order of their own
/// permutation of the entries.
fn maglev_table(members: &[u32]) -> Vec<u32> {
    let mut table: Vec<Option<u32>> = vec![None; MAGLEV_TABLE_SIZE];
    let steps = members.iter().map(|agent| {
        let offset = hash(1, u64::from(*agent)) as usize % MAGLEV_TABLE_SIZE;
        let skip = hash(2, u64::from(*agent)) as usize % (MAGLEV_TABLE_SIZE - 1) + 1;
        (offset, skip)
    });
    let steps: Vec<(usize, usize)> = steps.collect();
    let mut next = vec![0; members.len()];
    let mut filled = 0;
    while filled < MAGLEV_TABLE_SIZE {
        for (index, agent) in members.iter().enumerate() {
            let (offset, skip) = steps[index];
            let mut entry = (offset + next[index] * skip) % MAGLEV_TABLE_SIZE;
            while table[entry].is_some() && filled < MAGLEV_TABLE_SIZE {
                next[index] += 1;
                entry = (offset + next[index] * skip) % MAGLEV_TABLE_SIZE;
            }
            if filled < MAGLEV_TABLE_SIZE {
                table[entry] = Some(*agent);
                next[index] += 1;
                filled += 1;
            }
        }
    }
    table.into_iter().flatten().collect()
}

/// Power of two choices: the less loaded of two random members, by loads refreshed once per
/// [`LOAD_REPORT_INTERVAL`].
fn stale_two_choices(log: &FlowLog) -> impl FnMut(usize, &[u32], &Loads) -> Option<u32> {
    let mut reported = Loads::new();
    let mut next_refresh = Duration::ZERO;
    move |index, members, loads| {
        let flow = &log.flows[index];
        if flow.opened >= next_refresh {
            reported.clone_from(loads);
            next_refresh = flow.opened + LOAD_REPORT_INTERVAL;
        }
        if members.is_empty() {
            return None;
        }
        let choice = |salt| members[hash(salt, index as u64) as usize % members.len()];
        least_loaded(flow.service, &[choice(3), choice(4)], &reported)
    }
}

fn hash(salt: u64, value: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(salt, 0);
    hasher.write_u64(value);
    hasher.finish()
}
