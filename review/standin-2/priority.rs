//! A configuration that moves a route to another service holds a route with a priority above 255.

use crate::backend::Backend;
use crate::callers::{Callers, Outcome};
use crate::nodes::Net;
use crate::record::Record;
use crate::store::Store;
use crate::{Verdict, configure, wait_until_serving};
use std::time::{Duration, Instant};

const SERVICES: [&str; 2] = ["dispatch", "manifest"];
const WORK: Duration = Duration::from_millis(30);
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
const LENGTH: Duration = Duration::from_secs(16);
const DEADLINE: Duration = Duration::from_millis(1_000);
/// The other route's priority in the new configuration, with and without the disruption.
const PRIORITIES: [u32; 2] = [300, 3];

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let net = Net::new(record);
    let store = Store::start(net.store());
    configure(&store, &net, &SERVICES, 7);
    let places: Vec<_> = (0..4u8)
        .map(|number| {
            let service = SERVICES[usize::from(number % 2)];
            net.place(number, &format!("i-{service}-{number}"), service, "a")
        })
        .collect();
    let _agents: Vec<_> =
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
    std::thread::sleep(Duration::from_secs(5));
    let priority = PRIORITIES[usize::from(!has_trouble)];
    write_new_configuration(&store, &net, priority);
    let acknowledged = Instant::now();
    record
        .line(&format!("version 9 acknowledged: route 0 to {}, priority {priority}", SERVICES[1]));
    let service = net.service(0);
    let (mut sent, mut served, mut late) = (0, 0, Vec::new());
    while acknowledged.elapsed() < LENGTH {
        let id = format!("q{sent}");
        let is_due = acknowledged.elapsed() > CONFIG_APPLY;
        sent += 1;
        if let Ok(port) = callers.open(service) {
            served += u32::from(callers.request(port, &id, 900, DEADLINE) == Outcome::Served);
            callers.close(port);
        }
        if is_due {
            late.push(id);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let old: Vec<_> = backends.iter().step_by(2).flat_map(Backend::runs).collect();
    let broken = late.iter().filter(|id| old.iter().any(|(run, ..)| run == *id)).count();
    record.line(&format!(
        "{sent} requests on route 0, {served} served; {} were sent later than config_apply_ms after \
         version 9 was acknowledged, {broken} of them were run by {}, the service of version 7",
        late.len(),
        SERVICES[0]
    ));
    if served == 0 {
        return Verdict::CouldNotRun("no request was served".to_owned());
    }
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Version 9: the first route goes to the second service.
fn write_new_configuration(store: &Store, net: &Net, priority: u32) {
    let route = |number: u8, priority: u32| {
        let (address, service) = (net.service(number), SERVICES[1]);
        format!(
            r#"{{"name":"r-{number}","host":"{}","path_prefix":"/{}/","type":"unsafe","timeout_ms":3000,"target_latency_ms":300,"priority":{priority},"service":"{service}","max_attempts":2}}"#,
            address.ip(),
            address.port()
        )
    };
    let services: Vec<String> = SERVICES
        .iter()
        .map(|name| {
            format!(
                r#"{{"name":"{name}","health_path":"/healthz","max_connections":2000,"protocol":"h1","tls":false}}"#
            )
        })
        .collect();
    let text = format!(
        r#"{{"version":9,"routes":[{},{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        route(0, 1),
        route(1, priority),
        services.join(",")
    );
    store.put("op/config", &text);
}
