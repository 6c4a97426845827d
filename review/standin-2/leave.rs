//! A back end says that it leaves, the node beside it is stopped and started as planned, and the back
//! end's health page says meanwhile that all is well.

use crate::backend::Backend;
use crate::callers::{Callers, Outcome};
use crate::nodes::{Net, TERM};
use crate::record::Record;
use crate::store::Store;
use crate::{Verdict, configure, wait_until_serving};
use std::time::{Duration, Instant};

/// The health page of one back end lies, and the node beside it is stopped: a tenth of them.
const AGENTS: u8 = 10;
const SENDERS: u32 = 30;
const WORK: Duration = Duration::from_millis(60);
const DRAIN: Duration = Duration::from_millis(5_000);
const CONTACT: Duration = Duration::from_millis(5_000);
/// How long the back end serves on after the acknowledgement.
const SERVES_ON: Duration = Duration::from_secs(16);
/// How long the health page lies.
const LIE: Duration = Duration::from_millis(6_500);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let net = Net::new(record);
    let store = Store::start(net.store());
    configure(&store, &net, &["dispatch"], 7);
    let places: Vec<_> = (0..AGENTS)
        .map(|number| net.place(number, &format!("i-{number}"), "dispatch", "a"))
        .collect();
    let mut agents: Vec<_> =
        places.iter().enumerate().map(|(n, place)| net.agent(n as u8, place, true)).collect();
    let balancers = [net.balancer(0, "a", true), net.balancer(1, "a", true)];
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
    std::thread::sleep(Duration::from_secs(6));
    let leaving = &backends[0];
    let acknowledged = leaving.leave();
    let service = net.service(0);
    let senders: Vec<_> = (0..SENDERS)
        .map(|sender| {
            let callers = callers.clone();
            std::thread::spawn(move || {
                let (mut sent, mut served) = (0, 0);
                while acknowledged.elapsed() < SERVES_ON {
                    sent += 1;
                    if let Ok(port) = callers.open(service) {
                        let id = format!("q{sender}-{sent}");
                        let outcome = callers.request(port, &id, 900, Duration::from_secs(3));
                        served += u32::from(outcome == Outcome::Served);
                        callers.close(port);
                    }
                    std::thread::sleep(Duration::from_millis(20));
                }
                (sent, served)
            })
        })
        .collect();
    leaving.say_well(has_trouble);
    std::thread::sleep(Duration::from_millis(300));
    agents[0].restart_by(TERM);
    let restarted = Instant::now();
    std::thread::sleep(LIE.saturating_sub(acknowledged.elapsed()));
    leaving.say_well(false);
    let (mut sent, mut served) = (0, 0);
    for sender in senders {
        let (more_sent, more_served) = sender.join().unwrap_or((0, 0));
        sent += more_sent;
        served += more_served;
    }
    leaving.end();
    let late = |taken: &Instant| {
        taken.duration_since(acknowledged) > DRAIN && taken.duration_since(restarted) > CONTACT
    };
    let runs = leaving.runs();
    let after = runs.iter().filter(|(_, taken, _)| *taken > acknowledged).count();
    let broken: Vec<&str> =
        runs.iter().filter(|(_, taken, _)| late(taken)).map(|(id, ..)| id.as_str()).collect();
    record.line(&format!(
        "{sent} requests, {served} served; {after} reached {} after its acknowledged end, {} of them \
         later than drain_ms, with its machine in touch: {}",
        leaving.name(),
        broken.len(),
        broken.join(" ")
    ));
    if sent == 0 || served == 0 {
        return Verdict::CouldNotRun("no request was served".to_owned());
    }
    if broken.is_empty() { Verdict::Held } else { Verdict::Broken }
}
