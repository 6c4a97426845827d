//! Stand-ins of the platform's store, its routers, clients and back ends, and the cases that are
//! scripts: `standin CASE RECORD`, from the project's root. Exit code 1: the rule was broken.

mod backend;
mod callers;
mod crowd;
mod http;
mod idle;
mod leave;
mod net;
mod nodes;
mod priority;
mod record;
mod store;

use callers::Callers;
use nodes::Net;
use record::Record;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use store::Store;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    let verdict = match case.as_str() {
        "crowd" => crowd::run(&record, has_trouble),
        "idle" => idle::run(&record, has_trouble),
        "leave" => leave::run(&record, has_trouble),
        "priority" => priority::run(&record, has_trouble),
        other => Verdict::CouldNotRun(format!("unknown case {other}")),
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::CouldNotRun(why) => (format!("could not run: {why}"), 2),
    };
    record.line(&text);
    record.write(path);
    println!("{case}: {text}");
    ExitCode::from(code)
}

/// Writes the operator's configuration: one route to each service.
pub fn configure(store: &Store, net: &Net, services: &[&str], version: u64) {
    let routes: Vec<String> = services
        .iter()
        .enumerate()
        .map(|(number, service)| {
            let address = net.service(number as u8);
            format!(
                r#"{{"name":"r-{service}","host":"{}","path_prefix":"/{}/","type":"unsafe","timeout_ms":3000,"target_latency_ms":300,"priority":1,"service":"{service}","max_attempts":2}}"#,
                address.ip(),
                address.port()
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                r#"{{"name":"{name}","health_path":"/healthz","max_connections":2000,"protocol":"h1","tls":false}}"#
            )
        })
        .collect();
    let text = format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(","),
        services.join(",")
    );
    store.put("op/config", &text);
}

/// Waits until something holds; `false` if it does not within this time.
pub fn wait_for(within: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed() < within {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Waits until all balancers are in and a request is served.
pub fn wait_until_serving(callers: &Callers, fronts: usize, net: &Net) -> bool {
    wait_for(Duration::from_secs(15), || callers.fronts_in() == fronts)
        && wait_for(Duration::from_secs(10), || {
            let Ok(port) = callers.open(net.service(0)) else { return false };
            let outcome = callers.request(port, "warm", 100, Duration::from_secs(3));
            callers.close(port);
            outcome == callers::Outcome::Served
        })
}
