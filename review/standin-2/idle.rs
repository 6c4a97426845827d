//! A balancer freezes while answers are on their way, and the flows rest afterwards for less than
//! `idle_timeout_ms`.

use crate::backend::Backend;
use crate::callers::{Callers, Outcome};
use crate::nodes::{CONT, Net, STOP};
use crate::record::Record;
use crate::store::Store;
use crate::{Verdict, configure, wait_until_serving};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

const FLOWS: usize = 16;
/// With two balancers, ten machines: the one that freezes is a tenth of them.
const AGENTS: u8 = 8;
const WORK: Duration = Duration::from_millis(150);
const IDLE_TIMEOUT: Duration = Duration::from_millis(15_000);
/// How long each flow rests after its last packet.
const REST: Duration = Duration::from_millis(14_200);
const LONGEST_FLOW: Duration = Duration::from_secs(60);
const FREEZE: Duration = Duration::from_millis(3_500);
const DEADLINE: Duration = Duration::from_millis(3_000);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let net = Net::new(record);
    let store = Store::start(net.store());
    configure(&store, &net, &["dispatch"], 7);
    let places: Vec<_> = (0..AGENTS)
        .map(|number| {
            let zone = ["a", "b"][usize::from(number % 2)];
            net.place(number, &format!("i-{number}"), "dispatch", zone)
        })
        .collect();
    let _agents: Vec<_> =
        places.iter().enumerate().map(|(n, place)| net.agent(n as u8, place, true)).collect();
    let balancers = [net.balancer(0, "a", true), net.balancer(1, "b", true)];
    std::thread::sleep(Duration::from_millis(300));
    let backends: Vec<Backend> =
        places.iter().map(|place| Backend::start(place, WORK, 600, record)).collect();
    let callers = Callers::start(net.callers(), record);
    for balancer in &balancers {
        callers.add_front(balancer.ingress, balancer.readiness);
    }
    if !wait_until_serving(&callers, 2, &net) {
        return Verdict::CouldNotRun("the system does not serve".to_owned());
    }
    std::thread::sleep(Duration::from_secs(2));
    let service = net.service(0);
    let flows: Vec<u16> = (0..FLOWS).filter_map(|_| callers.open(service).ok()).collect();
    let began = Instant::now();
    let clients: Vec<_> = flows
        .iter()
        .map(|port| {
            let (callers, record, port) = (callers.clone(), record.clone(), *port);
            let backends = backends.clone();
            std::thread::spawn(move || use_flow(&callers, &record, &backends, port, service))
        })
        .collect();
    if has_trouble {
        std::thread::sleep(WORK / 2);
        balancers[0].signal(STOP);
        std::thread::sleep(FREEZE);
        balancers[0].signal(CONT);
    }
    let broken = clients.into_iter().map(|client| client.join().unwrap_or(false));
    let broken = broken.filter(|is_broken| *is_broken).count();
    record.line(&format!(
        "{broken} of {FLOWS} flows were reset wrongly, after {:?}",
        began.elapsed()
    ));
    if flows.len() < FLOWS {
        return Verdict::CouldNotRun("not all flows opened".to_owned());
    }
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Two requests on one flow with a pause between them; returns whether the flow was reset although
/// its back end lives and holds it.
fn use_flow(
    callers: &Callers,
    record: &Record,
    backends: &[Backend],
    port: u16,
    service: SocketAddrV4,
) -> bool {
    let first = callers.request(port, &format!("first-{port}"), 900, DEADLINE);
    if first != Outcome::Served {
        record.line(&format!("flow {port}: first request {first:?}"));
        return false;
    }
    while callers.rested(port) < REST {
        std::thread::sleep(Duration::from_millis(2));
    }
    let (rested, age) = (callers.rested(port), callers.age(port));
    let is_open = |backend: &&Backend| backend.holds(callers.address(port), service);
    let holder = backends.iter().find(is_open).map(|backend| backend.name().to_owned());
    let second = callers.request(port, &format!("second-{port}"), 900, DEADLINE);
    let still_open = backends.iter().any(|backend| is_open(&backend));
    record.line(&format!(
        "flow {port}: rested {} ms, {} s old, open at {holder:?} before and {still_open} after, second request {second:?}",
        rested.as_millis(),
        age.as_secs()
    ));
    second == Outcome::ResetBySystem
        && holder.is_some()
        && still_open
        && rested < IDLE_TIMEOUT
        && age < LONGEST_FLOW
}
