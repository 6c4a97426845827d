//! A small deployment: store, balancers, agents beside back ends, callers behind routers.

use crate::backend::{Backend, Place};
use crate::caller::Callers;
use crate::ledger::{Ledger, OpenFlow, Outcome, Reset};
use crate::nodes::{Deployment, Machine, Node, Ports};
use crate::record::Record;
use crate::store::Store;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::time::{Duration, Instant};

pub const SERVICE: &str = "portal";
const ZONE: &str = "bornova";
const CALLERS_HOST: u8 = 250;
const STORE_HOST: u8 = 251;
const FIRST_AGENT_HOST: u8 = 100;
/// The configuration is old enough for a stale read when the nodes start.
const OPERATOR_LEAD: Duration = Duration::from_millis(3_000);
/// How long the system may take to serve its first request.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Machines are in touch only after this time without any disruption (`contact_ms`).
pub const CONTACT: Duration = Duration::from_millis(4_000);

/// What kept a case from being run.
#[derive(Debug)]
pub struct CannotRun(pub String);

pub struct World {
    pub deployment: Deployment,
    pub store: Store,
    pub balancers: Vec<Node>,
    pub agents: Vec<Node>,
    pub backends: Vec<Backend>,
    pub callers: Callers,
    pub ledger: Ledger,
    pub record: Record,
    pub work: Duration,
    network: (u8, u8),
}

pub fn route() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

impl World {
    /// Starts everything and waits until requests are served.
    pub fn start(
        root: PathBuf,
        folder: PathBuf,
        record: Record,
        balancers: u8,
        agents: u8,
        work: Duration,
    ) -> Result<World, CannotRun> {
        let process = std::process::id();
        let network = (64 + (process % 120) as u8, (process / 120 % 250) as u8);
        let ports = Ports::choose();
        let ledger = Ledger::default();
        let host = |number: u8| Ipv4Addr::new(127, network.0, network.1, number);
        let store_address = SocketAddrV4::new(host(STORE_HOST), ports.store);
        let store = Store::start(store_address, record.clone());
        store.configure(1, route(), SERVICE);
        std::thread::sleep(OPERATOR_LEAD);
        let callers_address = SocketAddrV4::new(host(CALLERS_HOST), ports.packets);
        let callers = Callers::start(callers_address, ledger.clone(), record.clone());
        let deployment =
            Deployment { root, folder, ports, store: store_address, record: record.clone() };
        let mut world = World {
            deployment,
            store,
            balancers: Vec::new(),
            agents: Vec::new(),
            backends: Vec::new(),
            callers,
            ledger,
            record,
            work,
            network,
        };
        for number in 0..agents {
            world.add_agent(number, true);
        }
        for _ in 0..balancers {
            world.add_balancer(true);
        }
        std::thread::sleep(Duration::from_millis(300));
        for number in 0..agents {
            let backend = world.start_backend(number, 1, true);
            world.backends.push(backend);
        }
        let is_ready = |world: &World| {
            world.callers.balancers_in() == usize::from(balancers)
                && world.callers.request(route()) == Outcome::Served
        };
        let until = Instant::now() + START_TIMEOUT;
        while !is_ready(&world) {
            if Instant::now() >= until {
                return Err(CannotRun("the system serves no request".to_owned()));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        // Every heartbeat of a first start has come.
        std::thread::sleep(Duration::from_millis(2_500));
        world.record.say("the system serves");
        Ok(world)
    }

    fn host(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network.0, self.network.1, number)
    }

    fn side_machine(&self, number: u8) -> Machine {
        Machine {
            name: format!("side-{ZONE}-{}", number + 1),
            host: self.host(FIRST_AGENT_HOST + number),
            zone: ZONE.to_owned(),
            service: Some(SERVICE.to_owned()),
        }
    }

    /// Adds a `side` machine; its back end is started apart.
    pub fn add_agent(&mut self, number: u8, is_first_start: bool) {
        let node = self.deployment.start(self.side_machine(number), is_first_start);
        self.agents.push(node);
    }

    /// Adds a `frontend` machine at a new address.
    pub fn add_balancer(&mut self, is_first_start: bool) {
        let number = self.balancers.len() as u8 + 1;
        let machine = Machine {
            name: format!("frontend-{ZONE}-{number}"),
            host: self.host(number),
            zone: ZONE.to_owned(),
            service: None,
        };
        let ports = self.deployment.ports;
        let address = |port: u16| SocketAddrV4::new(machine.host, port);
        self.callers.add_balancer(address(ports.packets), address(ports.readiness));
        let node = self.deployment.start(machine, is_first_start);
        self.balancers.push(node);
    }

    /// Starts the back end of an agent's machine, under an id of its own.
    pub fn start_backend(&self, number: u8, start: u32, sends_heartbeats: bool) -> Backend {
        let host = self.host(FIRST_AGENT_HOST + number);
        let ports = self.deployment.ports;
        let place = Place {
            service: SERVICE.to_owned(),
            zone: ZONE.to_owned(),
            app: SocketAddrV4::new(host, ports.app),
            outbound: SocketAddrV4::new(host, ports.outbound),
            control: SocketAddrV4::new(host, ports.control),
        };
        let id = format!("i-{}{start}", char::from(b'a' + number));
        let (ledger, record) = (self.ledger.clone(), self.record.clone());
        Backend::start(&id, place, self.work, sends_heartbeats, ledger, record)
    }

    /// Waits until `seconds` of the record's time.
    pub fn wait_until(&self, seconds: f64) {
        let left = seconds - self.record.now();
        if left > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(left));
        }
    }

    /// Ends the traffic and says how the requests ended.
    pub fn finish(&mut self) -> Result<(), CannotRun> {
        self.callers.stop();
        std::thread::sleep(Duration::from_millis(3_500));
        let outcomes = self.ledger.read(|entries| {
            let mut counts: HashMap<Outcome, u32> = HashMap::new();
            for ended in &entries.ended {
                *counts.entry(ended.outcome).or_default() += 1;
            }
            counts
        });
        self.record.say(&format!("how attempts ended: {outcomes:?}"));
        let changed = self.ledger.read(|entries| entries.changed.len());
        self.record.say(&format!("packets in a form that their sender did not write: {changed}"));
        let mut nodes = self.balancers.iter_mut().chain(&mut self.agents);
        let wanted = ["backend_changed", "backend_heard", "stopped", "flow_reset", "panicked"];
        let lines: Vec<String> = nodes.by_ref().flat_map(|node| node.log_lines(&wanted)).collect();
        for line in lines {
            self.record.line(&format!("log: {line}"));
        }
        match outcomes.get(&Outcome::Served) {
            None => Err(CannotRun("no request was served".to_owned())),
            Some(_) => Ok(()),
        }
    }
}

/// A reset of the system's own on a flow that is open at a back end.
pub struct WrongReset {
    pub reset: Reset,
    pub open: OpenFlow,
}

impl World {
    /// Resets of open flows from `since` on whose back end lives and was not disrupted within the
    /// last `contact_ms`.
    pub fn wrong_resets(&self, since: f64) -> Vec<WrongReset> {
        self.ledger.read(|entries| {
            let opened = |reset: &Reset| {
                let is_it =
                    |open: &&OpenFlow| open.flow == reset.flow && open.initial == reset.initial;
                entries.opened.iter().find(is_it).cloned()
            };
            let is_undisturbed = |backend: &str, at: f64| {
                let started = entries.starts.get(backend).copied().unwrap_or(at);
                let ended = entries.ends.get(backend).copied().unwrap_or(f64::MAX);
                started + CONTACT.as_secs_f64() <= at && at < ended
            };
            let of_system =
                entries.resets.iter().filter(|reset| reset.is_of_system && reset.at >= since);
            let found = of_system.filter_map(|reset| {
                let open = opened(reset)?;
                let is_wrong = is_undisturbed(&open.backend, reset.at);
                is_wrong.then(|| WrongReset { reset: reset.clone(), open })
            });
            found.collect()
        })
    }

    /// Records the wrong resets.
    pub fn say_wrong_resets(&self, wrong: &[WrongReset]) {
        for WrongReset { reset, open } in wrong {
            self.record.say(&format!(
                "at {:.3} the caller of {} (request {}) got a reset of the system's own; the flow is \
                 open at {}, which lives, since {:.3}",
                reset.at, reset.flow, reset.request, open.backend, open.at
            ));
        }
        self.record.say(&format!("open flows that the system reset: {}", wrong.len()));
    }
}
