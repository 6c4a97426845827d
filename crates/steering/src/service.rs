//! One service's steering table.

use crate::buckets::{best_members, bucket_count};
use loftdrift_configuration::{Member, Service, Site, SiteShift};
use loftdrift_wire::flow_hash;
use loftdrift_wire::{
    BackendId, Candidate, CandidateList, FlowCookie, FlowKey, MAX_CANDIDATES, ServiceId,
    SteeringMode, SteeringOption,
};
use std::time::Duration;

/// Most times that agents pass one packet on, for each list: every candidate once, the way back to
/// the best of a tour, and room for the candidates that a newer agent adds.
pub const MAX_HOPS: u8 = 16;

/// The hash's bits that choose the site stand above those that choose the bucket.
const SHARE_HASH_SHIFT: u32 = 32;

/// A bucket's candidates as places in [`ServiceTable::agents`].
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    length: u8,
    /// The first so many are of the newest generation.
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

/// Bucket tables by the site that a new flow is meant for.
#[derive(Clone, Debug)]
enum SiteBuckets {
    /// Sites do not matter.
    Any(Vec<Bucket>),
    /// New flows are shared between the sites.
    Shared { left: Vec<Bucket>, right: Vec<Bucket> },
}

/// The candidates of one service's flows.
#[derive(Clone, Debug)]
pub struct ServiceTable {
    id: ServiceId,
    epoch: u64,
    /// The hash's bits that choose the bucket.
    mask: usize,
    buckets: SiteBuckets,
    shift: Option<SiteShift>,
    /// The right site's share of new flows now, in thousandths.
    right_permille: u16,
    /// Every back end of the kept generations and of the configuration, in the order of identity.
    agents: Vec<Candidate>,
    /// Whether the agent in that place is believed dead by this node.
    suspects: Vec<bool>,
    any_suspect: bool,
}

impl ServiceTable {
    /// The table of a service as it stands in a configuration.
    pub fn new(service: &Service) -> Self {
        let agents = all_agents(service);
        let count = service.generations.iter().map(bucket_count).max().unwrap_or(1);
        let mut table = ServiceTable {
            id: service.service_id(),
            epoch: service.generations.first().map_or(0, |newest| newest.epoch),
            mask: count - 1,
            buckets: SiteBuckets::Any(Vec::new()),
            shift: service.shift,
            right_permille: service.shift.map_or(0, |shift| shift.from_permille),
            suspects: vec![false; agents.len()],
            any_suspect: false,
            agents,
        };
        table.buckets = match service.shift {
            None => SiteBuckets::Any(table.fill_all(service, None)),
            Some(_) => SiteBuckets::Shared {
                left: table.fill_all(service, Some(Site::Left)),
                right: table.fill_all(service, Some(Site::Right)),
            },
        };
        table
    }

    fn fill_all(&self, service: &Service, site: Option<Site>) -> Vec<Bucket> {
        (0..=self.mask).map(|bucket| self.fill(service, site, bucket)).collect()
    }

    /// Moves the shares of the sites to where they are at a time since the Unix epoch.
    pub fn set_time(&mut self, unix_now: Duration) {
        if let Some(shift) = &self.shift {
            self.right_permille = shift.right_permille(unix_now);
        }
    }

    /// Where a back end stands in [`ServiceTable::agents`].
    fn place(&self, backend: BackendId) -> Option<u16> {
        let found = self.agents.binary_search_by_key(&backend, |candidate| candidate.backend);
        found.ok().map(|place| place as u16)
    }

    /// A bucket's candidates; those on `site` first, unless there is none.
    fn fill(&self, service: &Service, site: Option<Site>, bucket: usize) -> Bucket {
        let most = usize::from(service.candidates);
        let mut filled = Bucket::default();
        for (age, generation) in service.generations.iter().enumerate() {
            let own_bucket = bucket & (bucket_count(generation) - 1);
            let best = best_members(generation, site, own_bucket, most).into_iter();
            let best = best.map(|index| BackendId(generation.members[index].backend));
            best.filter_map(|backend| self.place(backend)).for_each(|agent| filled.push(agent));
            if age == 0 {
                filled.eligible_count = filled.length;
            }
        }
        // Flows older than the kept generations may live on any other back end.
        (0..self.agents.len()).for_each(|agent| filled.push(agent as u16));
        filled
    }

    /// The service's identity.
    pub fn id(&self) -> ServiceId {
        self.id
    }

    /// The configuration's revision at which the service's members changed last.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Every agent of the service, also of leaving back ends.
    pub fn agents(&self) -> &[Candidate] {
        &self.agents
    }

    /// Takes this node's opinion on each agent: `true` for those believed dead.
    pub fn set_suspects(&mut self, believed_dead: impl Fn(&Candidate) -> bool) {
        self.suspects = self.agents.iter().map(believed_dead).collect();
        self.any_suspect = self.suspects.contains(&true);
    }

    /// The option of a packet that may open a flow: a tour of the newest generation's candidates.
    ///
    /// Others take the places of suspects. Behind the tour's candidates stands a reserve, suspects
    /// last: a datagram may be of a flow that lives there, and a SYN goes on to it when no candidate
    /// takes the flow.
    pub fn new_flow_option(&self, flow: &FlowKey) -> SteeringOption {
        let (bucket, _) = self.buckets(flow);
        let agents = bucket.agents();
        let mut candidates = CandidateList::new();
        self.push(&mut candidates, agents.iter().filter(|agent| self.is_living(**agent)));
        let living = candidates.as_slice().len();
        self.push(&mut candidates, agents.iter().filter(|agent| !self.is_living(**agent)));
        let open_to = if living == 0 { agents.len() } else { living };
        let eligible_count = open_to.min(usize::from(bucket.eligible_count));
        self.option(SteeringMode::Select, eligible_count, candidates)
    }

    /// The option of a packet of a flow that exists: the back end that its cookie names, then the
    /// candidates of every kept generation, newest first, suspects last.
    pub fn existing_flow_option(
        &self,
        flow: &FlowKey,
        timestamp_echo: Option<u32>,
    ) -> SteeringOption {
        let (bucket, other) = self.buckets(flow);
        let mut candidates = CandidateList::new();
        let named = timestamp_echo.and_then(|echo| FlowCookie::backend(echo, self.id));
        let named = named.and_then(|backend| self.place(backend));
        if let Some(place) = named {
            candidates.push_distinct(self.agents[usize::from(place)]);
        }
        let Some(other) = other else {
            self.push_others(&mut candidates, bucket.agents(), named);
            return self.option(SteeringMode::Locate, 0, candidates);
        };
        // The flow may have been opened when the shares of the sites were others.
        let mut both = *bucket;
        other.agents().iter().for_each(|agent| both.push(*agent));
        self.push_others(&mut candidates, both.agents(), named);
        self.option(SteeringMode::Locate, 0, candidates)
    }

    /// Appends agents but the one listed already, suspects last.
    fn push_others(&self, candidates: &mut CandidateList, agents: &[u16], named: Option<u16>) {
        let others = agents.iter().filter(|agent| Some(**agent) != named);
        if self.any_suspect {
            let living = others.clone().filter(|agent| self.is_living(**agent));
            self.push(candidates, living);
            self.push(candidates, others.filter(|agent| !self.is_living(**agent)));
        } else {
            self.push(candidates, others);
        }
    }

    /// The flow's bucket for the site that it is meant for, and that for the other site.
    fn buckets(&self, flow: &FlowKey) -> (&Bucket, Option<&Bucket>) {
        let hash = flow_hash(flow);
        let place = hash as usize & self.mask;
        match &self.buckets {
            SiteBuckets::Any(buckets) => (&buckets[place], None),
            SiteBuckets::Shared { left, right } => {
                let is_right = (hash >> SHARE_HASH_SHIFT) % 1_000 < u64::from(self.right_permille);
                let (own, other) = if is_right { (right, left) } else { (left, right) };
                (&own[place], Some(&other[place]))
            }
        }
    }

    /// Appends agents that are not listed yet.
    fn push<'a>(&self, candidates: &mut CandidateList, agents: impl Iterator<Item = &'a u16>) {
        agents.for_each(|agent| candidates.push_distinct(self.agents[usize::from(*agent)]));
    }

    fn is_living(&self, agent: u16) -> bool {
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

/// Every back end of the kept generations and of the configuration, in the order of identity.
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
