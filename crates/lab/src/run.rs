//! Runs a plan in a simulated world and reports the results.

use crate::assigner::{ideal_imbalance_per_service, mean};
use crate::backend::BackendBehaviour;
use crate::caller::CallerBehaviour;
use crate::flow_log::{FlowLog, FlowSpan, Members};
use crate::plan::Plan;
use crate::report::{Report, ServiceReport};
use crate::scenario::{Action, Scenario};
use crate::world::{World, WorldSettings};
use anyhow::{Context, Result, anyhow};
use loftdrift_configuration::{BackendState, Configuration, apply, parse_script, set_start_times};
use loftdrift_flow::FlowId;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

/// Interval between two samples of the loads.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// A leaving back end may open flows for this long after the command is accepted, as nodes learn of
/// it with a delay. Flows opened later count as [`Report::opened_after_leaving`].
const LEAVING_GRACE: Duration = Duration::from_secs(3);
/// The fabric withdraws a dead balancer after this long.
const FABRIC_FAILOVER: Duration = Duration::from_millis(300);
/// A stopped balancer keeps forwarding for this long after the fabric has withdrawn it.
const BALANCER_DRAIN: Duration = Duration::from_secs(1);
/// The run gives up on flows still open this long after the last time at which flows are opened.
const MAX_TAIL_DURATION: Duration = Duration::from_secs(600);
const TAIL_STEP: Duration = Duration::from_secs(5);
const FLOW_BUFFER_BYTES: usize = 4 * 1024;
const SERVICE_ADDRESS_BASE: u32 = 0x0A14_0000;
const SERVICE_PORT: u16 = 80;

/// The results of a run and the log of its flows.
#[derive(Clone, Debug)]
pub struct Run {
    /// Summary of the results.
    pub report: Report,
    /// The lifetime of each flow, and the members of each service over time.
    pub log: FlowLog,
    /// Per service, the imbalance of open flows at each sample.
    pub imbalance: Vec<Vec<(Duration, f64)>>,
    /// When each broken flow broke.
    pub broken_at: Vec<Duration>,
}

/// Samples of one service: the largest value over the mean, across its back ends.
#[derive(Clone, Debug, Default)]
struct ServiceSamples {
    /// Of open flows.
    flows: Vec<(Duration, f64)>,
    /// Of busy slots.
    busy: Vec<(Duration, f64)>,
}

/// State of a run, shared by the closures scheduled in its world.
struct RunState {
    scenario: Scenario,
    random: ChaCha8Rng,
    configuration: Configuration,
    /// Numbers of agents by the names of their back ends.
    agents: BTreeMap<String, u32>,
    /// Agents that were killed or whose back end was.
    dead_agents: BTreeSet<u32>,
    next_balancer: u32,
    members: Vec<Members>,
    /// Leaving agents with the number of flows that they had opened by the end of
    /// [`LEAVING_GRACE`]; they must open none after it.
    drain_baselines: Vec<(u32, u64)>,
    /// Each opened flow with its service's index, its time of opening and its number of requests.
    flows: Vec<(FlowId, usize, Duration, u32)>,
    samples: Vec<ServiceSamples>,
    errors: Vec<String>,
}

type SharedState = Rc<RefCell<RunState>>;

/// Runs a plan until its last flow has ended, at most `MAX_TAIL_DURATION` longer than flows are
/// opened. Fails when an event cannot be applied, for example because it names a missing back end.
pub fn run(plan: &Plan) -> Result<Run> {
    let scenario = &plan.scenario;
    let mut world = World::new(WorldSettings {
        seed: plan.seed,
        network: scenario.network,
        cookies: scenario.cookies,
        unknown_grace: scenario.unknown_grace,
        flow_buffer_bytes: FLOW_BUFFER_BYTES,
    })?;
    let shared = Rc::new(RefCell::new(RunState {
        scenario: scenario.clone(),
        random: ChaCha8Rng::seed_from_u64(plan.seed ^ 0x5EED),
        configuration: Configuration::default(),
        agents: BTreeMap::new(),
        dead_agents: BTreeSet::new(),
        next_balancer: 0,
        members: Vec::new(),
        drain_baselines: Vec::new(),
        flows: Vec::new(),
        samples: vec![ServiceSamples::default(); scenario.services.len()],
        errors: Vec::new(),
    }));
    set_up(&mut world, &shared)?;
    schedule_plan(&mut world, &shared, plan);
    world.run_until(scenario.duration);
    let give_up = scenario.duration + MAX_TAIL_DURATION;
    while world.outcome().flows_unfinished() > 0 && world.now() < give_up {
        let next = world.now() + TAIL_STEP;
        world.run_until(next);
    }
    // Closures that never ran still hold references, so the state cannot be moved out.
    let shared = shared.borrow();
    if let Some(problem) = shared.errors.first() {
        return Err(anyhow!("{problem}"));
    }
    Ok(build_run(&world, &shared, plan))
}

/// The address of the service with that index in the scenario.
pub fn service_address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(SERVICE_ADDRESS_BASE + index as u32 + 1), SERVICE_PORT)
}

/// Creates the services, back ends and balancers that exist at the start.
fn set_up(world: &mut World, shared: &SharedState) -> Result<()> {
    let mut state = shared.borrow_mut();
    let services = state.scenario.services.clone();
    let mut script = String::new();
    for (index, service) in services.iter().enumerate() {
        let address = service_address(index);
        let candidates = service.candidates;
        script.push_str(&format!("create service {} at {address} ", service.name));
        script.push_str(&format!("candidates {candidates}\n"));
        for _ in 0..service.backends {
            script.push_str(&state.add_backend(world, &service.name)?);
        }
    }
    state.apply_script(Duration::ZERO, &script).context("cannot create the scenario's services")?;
    for _ in 0..state.scenario.balancers {
        state.next_balancer += 1;
        world.add_balancer(state.next_balancer);
    }
    world.configure_all(&state.configuration);
    state.note_members(Duration::ZERO);
    Ok(())
}

/// Schedules the plan's flows, the scenario's events and the sampling of loads.
fn schedule_plan(world: &mut World, shared: &SharedState, plan: &Plan) {
    for flow in plan.flows.clone() {
        let cell = Rc::clone(shared);
        world.schedule(flow.at(), move |world| {
            let mut state = cell.borrow_mut();
            let service = &state.scenario.services[flow.service];
            let behaviour = CallerBehaviour {
                service: service.name.clone(),
                requests: flow.requests,
                answer_bytes: service.answer_bytes,
                pause: service.pause,
                timestamps: flow.timestamps,
            };
            let id = world.open_flow(service_address(flow.service), &behaviour);
            state.flows.push((id, flow.service, world.now(), flow.requests));
        });
    }
    for event in plan.scenario.events.clone() {
        let cell = Rc::clone(shared);
        world.schedule(event.at, move |world| {
            if let Err(problem) = apply_action(world, &cell, &event.action) {
                let at = event.at.as_secs_f64();
                cell.borrow_mut().errors.push(format!("event at {at} s: {problem:#}"));
            }
        });
    }
    let mut at = plan.scenario.warm_up;
    while at < plan.scenario.duration {
        let cell = Rc::clone(shared);
        world.schedule(at, move |world| cell.borrow_mut().sample(world));
        at += SAMPLE_INTERVAL;
    }
}

fn apply_action(world: &mut World, shared: &SharedState, action: &Action) -> Result<()> {
    let mut state = shared.borrow_mut();
    let now = world.now();
    match action {
        Action::StopBalancer | Action::KillBalancer => {
            let oldest = *world.balancers_in_use().first().context("no balancer is left")?;
            if *action == Action::KillBalancer {
                world.kill_balancer(oldest);
                world.schedule(now + FABRIC_FAILOVER, move |world| world.withdraw_balancer(oldest));
            } else {
                world.withdraw_balancer(oldest);
                world.schedule(now + BALANCER_DRAIN, move |world| world.kill_balancer(oldest));
            }
        }
        Action::StartBalancer => {
            state.next_balancer += 1;
            let number = state.next_balancer;
            world.add_balancer(number);
            world.configure_balancer(number, &state.configuration);
        }
        Action::Command(script) => {
            state.apply_script(now, script)?;
            state.distribute(world, shared);
        }
        Action::AddBackend(service) => {
            let service = service.clone();
            let statement = state.add_backend(world, &service)?;
            state.apply_script(now, &statement)?;
            state.distribute(world, shared);
        }
        Action::KillAgent(name) => {
            let number = state.agent_number(name)?;
            world.kill_agent(number);
            state.note_death(now, number);
        }
        Action::KillBackend(name) => {
            let number = state.agent_number(name)?;
            world.kill_backend(number);
            state.note_death(now, number);
        }
        Action::FreezeAgent(name, time) => world.freeze_agent(state.agent_number(name)?, *time),
    }
    Ok(())
}

impl RunState {
    fn agent_number(&self, name: &str) -> Result<u32> {
        self.agents.get(name).copied().with_context(|| format!("there is no back end `{name}`"))
    }

    /// Starts a back end with its agent; returns the configuration statement that attaches it.
    fn add_backend(&mut self, world: &mut World, service: &str) -> Result<String> {
        let settings = self.scenario.services.iter().find(|one| one.name == service);
        let settings = settings.with_context(|| format!("there is no service `{service}`"))?;
        let prefix = format!("{service}-");
        let number = self.agents.keys().filter(|name| name.starts_with(&prefix)).count() + 1;
        let name = format!("{service}-{number}");
        let agent = self.agents.len() as u32 + 1;
        let slots = settings.slots;
        let site = if number > settings.left_backends as usize { "right" } else { "left" };
        let behaviour = BackendBehaviour {
            service: service.to_owned(),
            processing_time: settings.processing_time,
            slots: slots as usize,
        };
        world.add_agent(agent, &name, behaviour)?;
        self.agents.insert(name.clone(), agent);
        let address = World::agent_address(agent);
        Ok(format!(
            "attach backend {name} to {service} at 127.0.0.1:80 agent {address} slots {slots} \
             site {site} state active\n"
        ))
    }

    fn apply_script(&mut self, now: Duration, script: &str) -> Result<()> {
        let mut statements = parse_script("scenario", script)?;
        set_start_times(&mut statements, now.as_secs());
        let edited = apply(&self.configuration, &statements);
        let edited = edited.map_err(|errors| {
            let list: Vec<String> = errors.iter().map(|(_, error)| error.to_string()).collect();
            anyhow!("{}", list.join("; "))
        });
        self.configuration = edited?;
        Ok(())
    }

    /// Schedules the delivery of the newest configuration to every node, each after its own random
    /// delay.
    fn distribute(&mut self, world: &mut World, shared: &SharedState) {
        let now = world.now();
        self.note_members(now);
        let newest = Rc::new(self.configuration.clone());
        let lag = self.scenario.configuration_lag;
        for number in 1..=self.next_balancer {
            let newest = Rc::clone(&newest);
            let at = now + lag.mul_f64(self.random.random::<f64>());
            world.schedule(at, move |world| world.configure_balancer(number, &newest));
        }
        for number in self.agents.values().copied() {
            let newest = Rc::clone(&newest);
            let at = now + lag.mul_f64(self.random.random::<f64>());
            world.schedule(at, move |world| world.configure_agent(number, &newest));
        }
        for number in self.leaving_agents() {
            let cell = Rc::clone(shared);
            world.schedule(now + LEAVING_GRACE, move |world| {
                let opened = world.agent(number).map_or(0, |agent| agent.counters.flows_opened);
                cell.borrow_mut().drain_baselines.push((number, opened));
            });
        }
    }

    fn leaving_agents(&self) -> Vec<u32> {
        let backends = self.configuration.services.values().flat_map(|one| &one.backends);
        let leaving = backends.filter(|(_, backend)| backend.state == BackendState::Leaving);
        leaving.filter_map(|(name, _)| self.agents.get(name).copied()).collect()
    }

    /// Numbers of the live agents of a service that accept new flows.
    fn accepting_agents(&self, service: usize) -> Vec<u32> {
        let name = &self.scenario.services[service].name;
        let Some(service) = self.configuration.services.get(name) else { return Vec::new() };
        let accepting = service.backends.iter().filter(|(_, one)| one.state.accepts_new_flows());
        let numbers = accepting.filter_map(|(name, _)| self.agents.get(name).copied());
        numbers.filter(|number| !self.dead_agents.contains(number)).collect()
    }

    /// Records the death of an agent or of its back end, which then counts neither as a member nor
    /// in the mean load.
    fn note_death(&mut self, at: Duration, number: u32) {
        self.dead_agents.insert(number);
        self.note_members(at);
    }

    fn note_members(&mut self, at: Duration) {
        let services =
            (0..self.scenario.services.len()).map(|service| self.accepting_agents(service));
        let services = services.collect();
        self.members.push(Members { at, services });
    }

    fn sample(&mut self, world: &World) {
        for service in 0..self.scenario.services.len() {
            let accepting = self.accepting_agents(service);
            let flows = |number: &u32| world.agent(*number).map_or(0, |agent| agent.flow_count());
            let flows = max_to_mean_ratio(&accepting.iter().map(flows).collect::<Vec<_>>());
            let busy = |number: &u32| world.busy_slots(*number);
            let busy = max_to_mean_ratio(&accepting.iter().map(busy).collect::<Vec<_>>());
            let samples = &mut self.samples[service];
            samples.flows.extend(flows.map(|ratio| (world.now(), ratio)));
            samples.busy.extend(busy.map(|ratio| (world.now(), ratio)));
        }
    }
}

/// The largest load over the mean load; `None` when there are no loads or all are zero.
pub(crate) fn max_to_mean_ratio(loads: &[usize]) -> Option<f64> {
    let total: usize = loads.iter().sum();
    let largest = loads.iter().copied().max()?;
    (total > 0).then(|| largest as f64 * loads.len() as f64 / total as f64)
}

fn build_run(world: &World, shared: &RunState, plan: &Plan) -> Run {
    let flows = shared.flows.iter().map(|(id, service, opened, requests)| FlowSpan {
        opened: *opened,
        ended: world.ended_at(*id).unwrap_or_else(|| world.now()),
        service: *service,
        packets: *requests,
    });
    let log = FlowLog { flows: flows.collect(), members: shared.members.clone() };
    let ideal_imbalance = ideal_imbalance_per_service(&log, &plan.scenario);
    let services = shared.scenario.services.iter().enumerate().map(|(index, service)| {
        let samples = &shared.samples[index];
        ServiceReport {
            name: service.name.clone(),
            imbalance: mean(&samples.flows),
            all_knowing: ideal_imbalance[index],
            busy_imbalance: mean(&samples.busy),
        }
    });
    let counters = shared.agents.values().filter_map(|number| world.agent(*number));
    let (mut passed_on, mut delivered) = (0, 0);
    for agent in counters {
        passed_on += agent.counters.passed_on;
        delivered += agent.counters.delivered;
    }
    let opened_after = shared.drain_baselines.iter().map(|(number, opened)| {
        let now = world.agent(*number).map_or(*opened, |agent| agent.counters.flows_opened);
        now.saturating_sub(*opened)
    });
    let outcome = world.outcome();
    let report = Report {
        scenario: plan.scenario.name.clone(),
        seed: plan.seed,
        flows_opened: outcome.flows_opened,
        flows_broken: outcome.flows_broken,
        flows_lost: outcome.flows_lost,
        flows_unfinished: outcome.flows_unfinished(),
        requests_sent: outcome.requests_sent,
        answered_whole: outcome.answered_whole,
        wrong_answers: outcome.wrong_answers,
        misdelivered: outcome.misdelivered,
        doubled: outcome.duplicate_executions(),
        opened_after_leaving: opened_after.sum(),
        extra_hops: if delivered == 0 { 0.0 } else { passed_on as f64 / delivered as f64 },
        packets: world.packets(),
        services: services.collect(),
    };
    let imbalance = shared.samples.iter().map(|samples| samples.flows.clone()).collect();
    Run { report, log, imbalance, broken_at: world.broken_at().to_vec() }
}
