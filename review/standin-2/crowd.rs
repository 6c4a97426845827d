//! Many users come at once to a back end that works on 260 requests at a time. Some seconds after
//! they have gone, the back end says that it leaves.

use crate::backend::Backend;
use crate::callers::{Callers, Outcome};
use crate::nodes::Net;
use crate::record::Record;
use crate::store::Store;
use crate::{Verdict, configure, wait_until_serving};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CAPACITY: u16 = 260;
const WORK: Duration = Duration::from_millis(500);
/// Requests a second: three quarters of what the back end can serve.
const RATE: f64 = 390.0;
/// The burst: this many times the traffic, for this long, from this moment on.
const BURST: f64 = 1.7;
const BURST_FOR: Duration = Duration::from_secs(3);
const BURST_AT: Duration = Duration::from_secs(4);
const LENGTH: Duration = Duration::from_secs(20);
/// Requests that are sent later than this belong to ordinary traffic again.
const CALM_AT: Duration = Duration::from_secs(13);
const ACK_TIMEOUT: Duration = Duration::from_millis(5_000);
const DEADLINE: Duration = Duration::from_secs(5);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let net = Net::new(record);
    let store = Store::start(net.store());
    configure(&store, &net, &["dispatch"], 7);
    let mut places: Vec<_> =
        (0..1u8).map(|number| net.place(number, &format!("i-{number}"), "dispatch", "a")).collect();
    places.iter_mut().for_each(|place| place.capacity = CAPACITY);
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
    std::thread::sleep(Duration::from_secs(2));
    let service = net.service(0);
    // When each request was sent, and whether it was served.
    let results: Arc<Mutex<Vec<(Duration, bool)>>> = Arc::default();
    let began = Instant::now();
    let mut clients = Vec::new();
    let mut due = Duration::ZERO;
    while due < LENGTH {
        std::thread::sleep(due.saturating_sub(began.elapsed()));
        let (callers, results) = (callers.clone(), results.clone());
        let (number, at) = (clients.len(), due);
        clients.push(std::thread::spawn(move || {
            let mut is_served = false;
            // A try that was refused is repeated twice: nothing has run.
            for attempt in 0..3 {
                let Ok(port) = callers.open(service) else { continue };
                let id = format!("q{number}-{attempt}");
                is_served = callers.request(port, &id, 900, DEADLINE) == Outcome::Served;
                callers.close(port);
                break;
            }
            results.lock().unwrap().push((at, is_served));
        }));
        let is_burst = has_trouble && due >= BURST_AT && due < BURST_AT + BURST_FOR;
        due += Duration::from_secs_f64(1.0 / if is_burst { RATE * BURST } else { RATE });
    }
    for client in clients {
        let _ = client.join();
    }
    let results = results.lock().unwrap().clone();
    for second in 0..LENGTH.as_secs() {
        let sent: Vec<_> = results.iter().filter(|(at, _)| at.as_secs() == second).collect();
        let served = sent.iter().filter(|(_, is_served)| *is_served).count();
        record.line(&format!("requests sent in second {second}: {}, served {served}", sent.len()));
    }
    let share = |calm: &dyn Fn(&Duration) -> bool| {
        let sent: Vec<_> = results.iter().filter(|(at, _)| calm(at)).collect();
        let served = sent.iter().filter(|(_, is_served)| *is_served).count();
        served as f64 / sent.len().max(1) as f64
    };
    let before = share(&|at| *at + WORK * 2 < BURST_AT);
    let after = share(&|at| *at >= CALM_AT);
    record.line(&format!("served before {before:.2}, in ordinary traffic after {after:.2}"));
    for (agent, backend) in agents.iter_mut().zip(&backends) {
        let is_running = agent.is_running();
        record.line(&format!(
            "{}: process running: {}; /-/readyz: {:?}; heartbeats of its live back end without an acknowledgement, \
             in a row: {}",
            agent.name,
            is_running,
            agent.readiness_status(),
            backend.unacknowledged_heartbeats()
        ));
        backend.drain();
    }
    std::thread::sleep(ACK_TIMEOUT);
    let lacking = backends.iter().filter(|backend| !backend.drain_is_acknowledged()).count();
    record.line(&format!(
        "{lacking} of {} leaving back ends lack an acknowledgement after ack_timeout_ms",
        backends.len()
    ));
    if before < 0.9 {
        return Verdict::CouldNotRun("ordinary traffic was not served before".to_owned());
    }
    if lacking * 5 > backends.len() { Verdict::Broken } else { Verdict::Held }
}
