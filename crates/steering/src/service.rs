//! One service's steering table.
//!
//! A generation is the set of back ends that accepted new flows from one configuration on. The
//! configuration keeps the newest generations, so that flows opened under older ones are found.

use crate::buckets::{best_members, bucket_count};
use loftdrift_configuration::{Member, Service, Site, SiteShift};
use loftdrift_wire::flow_hash;
use loftdrift_wire::{
    BackendId, Candidate, CandidateList, FlowCookie, FlowKey, MAX_CANDIDATES, ServiceId,
    SteeringMode, SteeringOption,
};
use std::time::Duration;

/// Maximum number of times that agents forward one packet, for each candidate list: to every
/// candidate once, back to the least loaded, and to candidates that an agent with a newer
/// configuration adds.
pub const MAX_HOPS: u8 = 16;

/// The site is chosen by the upper 32 bits of the flow hash, so that it does not depend on the bits
/// that choose the bucket.
const SITE_HASH_SHIFT: u32 = 32;

/// The candidates of a bucket, as indices into [`ServiceTable::agents`].
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    length: u8,
    /// Number of candidates, from the start, that belong to the newest generation.
    eligible_count: u8,
    agents: [u16; MAX_CANDIDATES],
}

impl Bucket {
    fn agents(&self) -> &[u16] {
        &self.agents[..usize::from(self.length)]
    }

    fn push(&mut self, agent: u16) {
        let length = usize::from(self.length);
        if length == MAX_CANDIDATES || self.agents[..length].contains(&agent) {
            return;
        }
        self.agents[length] = agent;
        self.length += 1;
    }
}

/// The buckets, by the site to which a new flow is assigned.
#[derive(Clone, Debug)]
enum SiteBuckets {
    /// Flows are not assigned to sites.
    Any(Vec<Bucket>),
    /// A shift between sites is configured: each new flow is assigned to one site.
    Shared { left: Vec<Bucket>, right: Vec<Bucket> },
}

/// The steering table of one service: the candidates for its flows.
#[derive(Clone, Debug)]
pub struct ServiceTable {
    id: ServiceId,
    epoch: u64,
    /// Mask of the hash bits that choose the bucket.
    bucket_mask: usize,
    buckets: SiteBuckets,
    shift: Option<SiteShift>,
    /// Current share of new flows for the right site, in thousandths.
    right_permille: u16,
    /// All back ends of the kept generations and of the configuration, sorted by id.
    agents: Vec<Candidate>,
    /// Whether this node suspects the agent with the same index in `agents` to be dead.
    suspects: Vec<bool>,
    any_suspect: bool,
}

impl ServiceTable {
    /// Builds the table of a configured service.
    pub fn new(service: &Service) -> Self {
        let agents = all_agents(service);
        let count = service.generations.iter().map(bucket_count).max().unwrap_or(1);
        let mut table = ServiceTable {
            id: service.service_id(),
            epoch: service.generations.first().map_or(0, |newest| newest.epoch),
            bucket_mask: count - 1,
            buckets: SiteBuckets::Any(Vec::new()),
            shift: service.shift,
            right_permille: service.shift.map_or(0, |shift| shift.from_permille),
            suspects: vec![false; agents.len()],
            any_suspect: false,
            agents,
        };
        table.buckets = match service.shift {
            None => SiteBuckets::Any(table.build_buckets(service, None)),
            Some(_) => SiteBuckets::Shared {
                left: table.build_buckets(service, Some(Site::Left)),
                right: table.build_buckets(service, Some(Site::Right)),
            },
        };
        table
    }

    fn build_buckets(&self, service: &Service, site: Option<Site>) -> Vec<Bucket> {
        (0..=self.bucket_mask).map(|bucket| self.build_bucket(service, site, bucket)).collect()
    }

    /// Updates the sites' shares of new flows to the time `unix_now` since the Unix epoch.
    pub fn set_time(&mut self, unix_now: Duration) {
        if let Some(shift) = &self.shift {
            self.right_permille = shift.right_permille(unix_now);
        }
    }

    /// Index of a back end in [`ServiceTable::agents`].
    fn agent_index(&self, backend: BackendId) -> Option<u16> {
        let found = self.agents.binary_search_by_key(&backend, |candidate| candidate.backend);
        found.ok().map(|index| index as u16)
    }

    /// Builds a bucket: the best members of each generation, newest generation first. If `site` is
    /// given and has members in a generation, only those count.
    fn build_bucket(&self, service: &Service, site: Option<Site>, bucket: usize) -> Bucket {
        let limit = usize::from(service.candidates);
        let mut filled = Bucket::default();
        for (age, generation) in service.generations.iter().enumerate() {
            let generation_bucket = bucket & (bucket_count(generation) - 1);
            let best = best_members(generation, site, generation_bucket, limit).into_iter();
            let best = best.map(|index| BackendId(generation.members[index].backend));
            best.filter_map(|backend| self.agent_index(backend))
                .for_each(|agent| filled.push(agent));
            if age == 0 {
                filled.eligible_count = filled.length;
            }
        }
        // Flows that are older than the kept generations may be on any other back end.
        (0..self.agents.len()).for_each(|agent| filled.push(agent as u16));
        filled
    }

    /// Id of the service.
    pub fn id(&self) -> ServiceId {
        self.id
    }

    /// The configuration revision at which the service's members last changed.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The agents of all back ends of the service, including leaving ones.
    pub fn agents(&self) -> &[Candidate] {
        &self.agents
    }

    /// Sets which agents this node suspects to be dead.
    pub fn set_suspects(&mut self, is_suspect: impl Fn(&Candidate) -> bool) {
        self.suspects = self.agents.iter().map(is_suspect).collect();
        self.any_suspect = self.suspects.contains(&true);
    }

    /// The steering option of a packet that may open a flow. It makes the candidates of the newest
    /// generation compare their loads.
    ///
    /// Suspected agents are replaced by the next candidates. After the eligible candidates the
    /// list holds a reserve, with suspected agents last: a UDP datagram may belong to a flow there,
    /// and a SYN moves on to the reserve if no eligible candidate accepts the flow.
    pub fn new_flow_option(&self, flow: &FlowKey) -> SteeringOption {
        let (bucket, _) = self.buckets(flow);
        let agents = bucket.agents();
        let mut candidates = CandidateList::new();
        self.push(&mut candidates, agents.iter().filter(|agent| self.is_alive(**agent)));
        let alive = candidates.as_slice().len();
        self.push(&mut candidates, agents.iter().filter(|agent| !self.is_alive(**agent)));
        let selectable = if alive == 0 { agents.len() } else { alive };
        let eligible_count = selectable.min(usize::from(bucket.eligible_count));
        self.option(SteeringMode::Select, eligible_count, candidates)
    }

    /// The steering option of a packet of an existing flow: the back end that its cookie names,
    /// then the candidates of all kept generations, newest first, with suspected agents last.
    pub fn existing_flow_option(
        &self,
        flow: &FlowKey,
        timestamp_echo: Option<u32>,
    ) -> SteeringOption {
        let (bucket, other) = self.buckets(flow);
        let mut candidates = CandidateList::new();
        let named = timestamp_echo.and_then(|echo| FlowCookie::backend(echo, self.id));
        let named = named.and_then(|backend| self.agent_index(backend));
        if let Some(index) = named {
            candidates.push_distinct(self.agents[usize::from(index)]);
        }
        let Some(other) = other else {
            self.push_others(&mut candidates, bucket.agents(), named);
            return self.option(SteeringMode::Locate, 0, candidates);
        };
        // The flow may have been opened while the sites had other shares, and so be on either site.
        let mut both = *bucket;
        other.agents().iter().for_each(|agent| both.push(*agent));
        self.push_others(&mut candidates, both.agents(), named);
        self.option(SteeringMode::Locate, 0, candidates)
    }

    /// Appends all agents except `named`, which is already listed, with suspected agents last.
    fn push_others(&self, candidates: &mut CandidateList, agents: &[u16], named: Option<u16>) {
        let others = agents.iter().filter(|agent| Some(**agent) != named);
        if self.any_suspect {
            let alive = others.clone().filter(|agent| self.is_alive(**agent));
            self.push(candidates, alive);
            self.push(candidates, others.filter(|agent| !self.is_alive(**agent)));
        } else {
            self.push(candidates, others);
        }
    }

    /// The flow's bucket for the site to which the flow is assigned, and its bucket for the other
    /// site if there are two.
    fn buckets(&self, flow: &FlowKey) -> (&Bucket, Option<&Bucket>) {
        let hash = flow_hash(flow);
        let index = hash as usize & self.bucket_mask;
        match &self.buckets {
            SiteBuckets::Any(buckets) => (&buckets[index], None),
            SiteBuckets::Shared { left, right } => {
                let is_right = (hash >> SITE_HASH_SHIFT) % 1_000 < u64::from(self.right_permille);
                let (own, other) = if is_right { (right, left) } else { (left, right) };
                (&own[index], Some(&other[index]))
            }
        }
    }

    /// Appends agents, none of which may be listed yet.
    fn push<'a>(&self, candidates: &mut CandidateList, agents: impl Iterator<Item = &'a u16>) {
        agents.for_each(|agent| candidates.push_distinct(self.agents[usize::from(*agent)]));
    }

    fn is_alive(&self, agent: u16) -> bool {
        !self.suspects[usize::from(agent)]
    }

    fn option(
        &self,
        mode: SteeringMode,
        eligible_count: usize,
        candidates: CandidateList,
    ) -> SteeringOption {
        SteeringOption {
            mode,
            cursor: 0,
            hops_left: MAX_HOPS,
            page: 0,
            eligible_count: eligible_count as u8,
            least_loaded: None,
            epoch: self.epoch,
            candidates,
        }
    }
}

/// All back ends of the kept generations and of the configuration, sorted by id.
fn all_agents(service: &Service) -> Vec<Candidate> {
    let members = service.generations.iter().flat_map(|generation| &generation.members);
    let attached = service.backends.values();
    let attached =
        attached.map(|backend| Candidate { backend: BackendId(backend.id), agent: backend.agent });
    let mut agents: Vec<Candidate> = members.map(Member::candidate).chain(attached).collect();
    agents.sort_by_key(|candidate| candidate.backend);
    agents.dedup_by_key(|candidate| candidate.backend);
    agents
}
