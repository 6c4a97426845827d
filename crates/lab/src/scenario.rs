//! Scenarios: topology, load, timeline of events and expected results, read from validated TOML.

use crate::network::NetworkSettings;
use loftdrift_findings::{Collector, Findings};
use loftdrift_settings::{Overrides, Reader};
use std::fmt::Write;
use std::time::Duration;
use toml_edit::{ImDocument, Table};

/// A deployment with its load, its events and its expected results.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Name of the scenario, which says what it tests.
    pub name: String,
    /// How long callers open flows and loads are sampled. The run continues until all flows end.
    pub duration: Duration,
    /// No load is sampled before this time.
    pub warm_up: Duration,
    /// Balancers at the start.
    pub balancers: u32,
    /// Whether agents put flow cookies (the back end's identity) into TCP timestamps.
    pub cookies: bool,
    /// How long agents wait before they reset a flow that no agent owns.
    pub unknown_grace: Duration,
    /// Maximum delay until a node learns of a configuration change. Each node's delay is drawn
    /// uniformly from zero to this.
    pub configuration_lag: Duration,
    /// The network between the nodes.
    pub network: NetworkSettings,
    /// The services.
    pub services: Vec<ScenarioService>,
    /// Changes and faults, in the order of the file.
    pub events: Vec<ScenarioEvent>,
    /// Results that a run must reach.
    pub expect: Expectations,
}

/// A service with its back ends and its load.
#[derive(Clone, Debug, PartialEq)]
pub struct ScenarioService {
    /// Name of the service. Its back ends are `NAME-1`, `NAME-2` and so on.
    pub name: String,
    /// Back ends at the start.
    pub backends: u32,
    /// How many of the back ends, by number, are at the site `left`; the others are at `right`.
    pub left_backends: u32,
    /// Slots of each back end: requests that it processes at the same time.
    pub slots: u32,
    /// Number of candidate agents that the SYN of a new flow visits.
    pub candidates: u32,
    /// Flows opened at the start.
    pub initial_flows: u32,
    /// Time within which the initial flows are opened.
    pub initial_time: Duration,
    /// Mean rate of further flows (Poisson arrivals).
    pub flows_per_second: f64,
    /// Minimum and maximum number of requests on each flow.
    pub requests: (u32, u32),
    /// Pause between an answer and the flow's next request.
    pub pause: Duration,
    /// Size of each answer, in bytes.
    pub answer_bytes: usize,
    /// Time that a back end takes to process a request.
    pub processing_time: Duration,
    /// Share of flows that offer TCP timestamps, from 0 to 1.
    pub timestamps: f64,
}

/// A change or fault at a point in time.
#[derive(Clone, Debug, PartialEq)]
pub struct ScenarioEvent {
    /// Virtual time at which it happens.
    pub at: Duration,
    /// What happens.
    pub action: Action,
}

/// A change or fault.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// The oldest balancer is withdrawn from the fabric and then stopped.
    StopBalancer,
    /// The oldest balancer dies; the fabric notices it after a delay.
    KillBalancer,
    /// A balancer starts.
    StartBalancer,
    /// A script of configuration statements is applied.
    Command(String),
    /// A back end starts with its agent and is attached to the named service.
    AddBackend(String),
    /// The agent of the named back end dies with its flows.
    KillAgent(String),
    /// The named back end dies; its agent keeps running.
    KillBackend(String),
    /// The agent of the named back end does not run for some time.
    FreezeAgent(String, Duration),
}

/// Limits on the results of a run. A limit of `None` is not checked.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Expectations {
    /// Maximum number of flows broken other than by the death of their agent or back end.
    pub flows_broken: Option<u64>,
    /// Maximum imbalance of each service: the largest count of open flows over the mean count,
    /// averaged over time.
    pub imbalance: Option<f64>,
    /// Maximum of that imbalance divided by the one of an assigner that always knows the current
    /// loads, on the same flows.
    pub imbalance_ratio: Option<f64>,
    /// Maximum number of packets forwarded between agents, per packet delivered to a back end.
    pub extra_hops: Option<f64>,
}

impl Scenario {
    /// Reads a scenario from TOML text. Findings (errors with their position) name it as `file`.
    pub fn parse(file: &str, text: &str) -> Result<Scenario, Findings> {
        let mut findings = Collector::new(file, text);
        let document = match ImDocument::parse(text) {
            Ok(document) => document,
            Err(error) => {
                let offset = error.span().map_or(0, |span| span.start);
                findings.add(offset, error.message().trim().to_owned(), "a TOML document");
                return Err(findings.finish(()).err().unwrap_or_else(|| empty_findings(file)));
            }
        };
        let no_overrides = Overrides::default();
        let mut reader = Reader::new(&mut findings, document.as_table(), &no_overrides);
        let scenario = read_scenario(&mut reader, &no_overrides);
        reader.finish();
        match scenario {
            Some(scenario) => findings.finish(scenario),
            None => Err(findings.finish(()).err().unwrap_or_else(|| empty_findings(file))),
        }
    }

    /// Writes the scenario as TOML text that [`Scenario::parse`] reads back unchanged.
    pub fn to_toml(&self) -> String {
        let mut text = String::new();
        let seconds = |time: Duration| format!("{:?}", time.as_secs_f64());
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "name = {:?}\nseconds = {}\nwarm_up_seconds = {}\nbalancers = {}\ncookies = {}\n\
             unknown_grace_seconds = {}\nconfiguration_lag_seconds = {}\n\n[network]\n\
             delay_seconds = {}\njitter_seconds = {}\nloss = {:?}\nduplicates = {:?}",
            self.name,
            seconds(self.duration),
            seconds(self.warm_up),
            self.balancers,
            self.cookies,
            seconds(self.unknown_grace),
            seconds(self.configuration_lag),
            seconds(self.network.delay),
            seconds(self.network.jitter),
            self.network.loss,
            self.network.duplicates,
        );
        for service in &self.services {
            let _ = writeln!(
                text,
                "\n[[services]]\nname = {:?}\nbackends = {}\nleft_backends = {}\nslots = {}\ncandidates = {}\n\
                 initial_flows = {}\ninitial_seconds = {}\nflows_per_second = {:?}\nleast_requests = {}\n\
                 most_requests = {}\npause_seconds = {}\nanswer_bytes = {}\nwork_seconds = {}\n\
                 timestamps = {:?}",
                service.name,
                service.backends,
                service.left_backends,
                service.slots,
                service.candidates,
                service.initial_flows,
                seconds(service.initial_time),
                service.flows_per_second,
                service.requests.0,
                service.requests.1,
                seconds(service.pause),
                service.answer_bytes,
                seconds(service.processing_time),
                service.timestamps,
            );
        }
        for event in &self.events {
            let _ = writeln!(text, "\n[[events]]\nat = {}", seconds(event.at));
            let _ = match &event.action {
                Action::StopBalancer => writeln!(text, "action = \"stop-balancer\""),
                Action::KillBalancer => writeln!(text, "action = \"kill-balancer\""),
                Action::StartBalancer => writeln!(text, "action = \"start-balancer\""),
                Action::Command(command) => {
                    writeln!(text, "action = \"command\"\ncommand = {command:?}")
                }
                Action::AddBackend(service) => {
                    writeln!(text, "action = \"add-backend\"\ntarget = {service:?}")
                }
                Action::KillAgent(name) => {
                    writeln!(text, "action = \"kill-agent\"\ntarget = {name:?}")
                }
                Action::KillBackend(name) => {
                    writeln!(text, "action = \"kill-backend\"\ntarget = {name:?}")
                }
                Action::FreezeAgent(name, time) => writeln!(
                    text,
                    "action = \"freeze-agent\"\ntarget = {name:?}\nfor_seconds = {}",
                    seconds(*time)
                ),
            };
        }
        let _ = writeln!(text, "\n[expect]");
        if let Some(broken) = self.expect.flows_broken {
            let _ = writeln!(text, "flows_broken = {broken}");
        }
        for (name, value) in [
            ("imbalance", self.expect.imbalance),
            ("imbalance_ratio", self.expect.imbalance_ratio),
            ("extra_hops", self.expect.extra_hops),
        ] {
            if let Some(value) = value {
                let _ = writeln!(text, "{name} = {value:?}");
            }
        }
        text
    }
}

/// A fallback that is never used: when no scenario is read, the collector holds a finding.
fn empty_findings(file: &str) -> Findings {
    Findings { file: file.to_owned(), list: Vec::new() }
}

// Each function below reads every setting before its first `?`, so that one pass reports all
// findings.

fn read_scenario(reader: &mut Reader<'_, '_>, no_overrides: &Overrides) -> Option<Scenario> {
    let name = reader.text("name");
    let duration = reader.seconds("seconds", 60.0);
    let warm_up = reader.seconds("warm_up_seconds", 2.0);
    let balancers = reader.count("balancers", 1, 4);
    let cookies = reader.switch("cookies", true);
    let unknown_grace = reader.seconds("unknown_grace_seconds", 20.0);
    let configuration_lag = reader.seconds("configuration_lag_seconds", 2.0);
    let empty = Table::new();
    let network = reader.table("network").unwrap_or(&empty);
    let network = read_table(reader, network, no_overrides, read_network);
    let expect = reader.table("expect").unwrap_or(&empty);
    let expect = read_table(reader, expect, no_overrides, read_expectations);
    let services = reader.tables("services");
    if services.is_empty() {
        reader.finding(0, "there is no service".to_owned(), "at least one [[services]] table");
    }
    let services: Vec<_> = services
        .iter()
        .map(|table| read_table(reader, table, no_overrides, read_services))
        .collect();
    let events = reader.tables("events");
    let events: Vec<_> =
        events.iter().map(|table| read_table(reader, table, no_overrides, read_event)).collect();
    Some(Scenario {
        name: name?,
        duration: duration?,
        warm_up: warm_up?,
        balancers: balancers? as u32,
        cookies: cookies?,
        unknown_grace: unknown_grace?,
        configuration_lag: configuration_lag?,
        network: network?,
        services: services.into_iter().collect::<Option<Vec<_>>>()?.concat(),
        events: events.into_iter().collect::<Option<_>>()?,
        expect: expect?,
    })
}

fn read_table<T>(
    reader: &mut Reader<'_, '_>,
    table: &Table,
    no_overrides: &Overrides,
    read: fn(&mut Reader<'_, '_>) -> Option<T>,
) -> Option<T> {
    let mut inner = reader.inner(table, no_overrides);
    let value = read(&mut inner);
    inner.finish();
    value
}

fn read_network(reader: &mut Reader<'_, '_>) -> Option<NetworkSettings> {
    let defaults = NetworkSettings::default();
    let delay = reader.seconds("delay_seconds", defaults.delay.as_secs_f64());
    let jitter = reader.seconds("jitter_seconds", defaults.jitter.as_secs_f64());
    let loss = reader.number("loss", 0.0, 1.0, 0.0);
    let duplicates = reader.number("duplicates", 0.0, 1.0, 0.0);
    Some(NetworkSettings { delay: delay?, jitter: jitter?, loss: loss?, duplicates: duplicates? })
}

fn read_expectations(reader: &mut Reader<'_, '_>) -> Option<Expectations> {
    const NOT_CHECKED: f64 = -1.0;
    let broken = reader.number("flows_broken", NOT_CHECKED, f64::MAX, NOT_CHECKED);
    let imbalance = reader.number("imbalance", NOT_CHECKED, f64::MAX, NOT_CHECKED);
    let ratio = reader.number("imbalance_ratio", NOT_CHECKED, f64::MAX, NOT_CHECKED);
    let hops = reader.number("extra_hops", NOT_CHECKED, f64::MAX, NOT_CHECKED);
    let stated = |value: f64| (value >= 0.0).then_some(value);
    Some(Expectations {
        flows_broken: stated(broken?).map(|count| count as u64),
        imbalance: stated(imbalance?),
        imbalance_ratio: stated(ratio?),
        extra_hops: stated(hops?),
    })
}

/// Reads a service; with `copies = N`, returns N copies of it named `NAME1`, `NAME2` and so on.
fn read_services(reader: &mut Reader<'_, '_>) -> Option<Vec<ScenarioService>> {
    let copies = reader.count("copies", 1, 1);
    let service = read_service(reader)?;
    let copy = |number: u64| ScenarioService {
        name: format!("{}{number}", service.name),
        ..service.clone()
    };
    match copies? {
        1 => Some(vec![service]),
        copies => Some((1..=copies).map(copy).collect()),
    }
}

fn read_service(reader: &mut Reader<'_, '_>) -> Option<ScenarioService> {
    let name = reader.text("name");
    let backends = reader.count("backends", 1, 7);
    let left_backends = reader.count("left_backends", 0, u64::from(u32::MAX));
    let slots = reader.count("slots", 1, 7);
    let candidates = reader.count("candidates", 1, 4);
    let initial_flows = reader.count("initial_flows", 0, 0);
    let initial_time = reader.seconds("initial_seconds", 1.0);
    let flows_per_second = reader.number("flows_per_second", 0.0, 1e6, 0.0);
    let min_requests = reader.count("least_requests", 1, 1);
    let max_requests = reader.count("most_requests", 1, 20);
    let pause = reader.seconds("pause_seconds", 0.5);
    let answer_bytes = reader.count("answer_bytes", 1, 2_000);
    let processing_time = reader.seconds("work_seconds", 0.005);
    let timestamps = reader.number("timestamps", 0.0, 1.0, 1.0);
    let (min_requests, max_requests) = (min_requests? as u32, max_requests? as u32);
    if min_requests > max_requests {
        let offset = reader.offset();
        reader.finding(
            offset,
            "least_requests is above most_requests".to_owned(),
            "at most most_requests",
        );
    }
    Some(ScenarioService {
        name: name?,
        backends: backends? as u32,
        left_backends: left_backends? as u32,
        slots: slots? as u32,
        candidates: candidates? as u32,
        initial_flows: initial_flows? as u32,
        initial_time: initial_time?,
        flows_per_second: flows_per_second?,
        requests: (min_requests, max_requests),
        pause: pause?,
        answer_bytes: answer_bytes? as usize,
        processing_time: processing_time?,
        timestamps: timestamps?,
    })
}

fn read_event(reader: &mut Reader<'_, '_>) -> Option<ScenarioEvent> {
    const ACTIONS: &str = "stop-balancer, kill-balancer, start-balancer, command, add-backend, \
                           kill-agent, kill-backend or freeze-agent";
    let at = reader.seconds("at", 0.0);
    let action = reader.text("action")?;
    let action = match action.as_str() {
        "stop-balancer" => Action::StopBalancer,
        "kill-balancer" => Action::KillBalancer,
        "start-balancer" => Action::StartBalancer,
        "command" => Action::Command(reader.text("command")?),
        "add-backend" => Action::AddBackend(reader.text("target")?),
        "kill-agent" => Action::KillAgent(reader.text("target")?),
        "kill-backend" => Action::KillBackend(reader.text("target")?),
        "freeze-agent" => {
            let time = reader.seconds("for_seconds", 1.0);
            Action::FreezeAgent(reader.text("target")?, time?)
        }
        other => {
            let offset = reader.offset();
            reader.finding(offset, format!("unknown action `{other}`"), ACTIONS);
            return None;
        }
    };
    Some(ScenarioEvent { at: at?, action })
}
