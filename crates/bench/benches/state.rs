//! Benchmarks bytes and times that grow with the configuration and with open flows.
//! `docs/CAPACITY.md` uses the results.

use loftdrift_agent::Agent;
use loftdrift_bench::{
    BACKENDS, SERVICES, agent_settings, caller_address, configuration, median, service_address,
    time,
};
use loftdrift_configuration::{Configuration, Documents, StoreWrite};
use loftdrift_flow::{Endpoint, EndpointSettings, Timestamps};
use loftdrift_steering::SteeringMap;
use loftdrift_store::etcd::{Base64Text, KeyValueMessage, WatchEvent, WatchLine, WatchResponse};
use loftdrift_wire::{FlowKey, Transport};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;
use std::time::Duration;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const RUNS: usize = 5;
const FLOWS: u64 = 500;

/// Runs `build` and returns its result with the number of bytes that remain allocated.
fn measure_allocation<T>(build: impl FnOnce() -> T) -> (T, usize) {
    let region = Region::new(ALLOCATOR);
    let value = build();
    let change = region.change();
    (value, change.bytes_allocated.saturating_sub(change.bytes_deallocated))
}

fn store_bytes(writes: &[StoreWrite]) -> usize {
    let bytes = |write: &StoreWrite| match write {
        StoreWrite::Put { key, value } => key.len() + value.len(),
        StoreWrite::Delete { key } => key.len(),
    };
    writes.iter().map(bytes).sum()
}

fn configuration_state(services: u32, backends: u32) {
    let (config, config_bytes) = measure_allocation(|| configuration(services, backends));
    let (map, map_bytes) = measure_allocation(|| SteeringMap::new(&config));
    let build = (0..RUNS).map(|_| time(&mut || drop(SteeringMap::new(&config))));
    let build = median(build.collect());
    let writes = Documents::writes(&Configuration::default(), &config, "command");
    println!(
        "{services} services, {backends} back ends: configuration {} kB, steering tables {} kB, \
         tables built in {:.2} ms, documents in the store {} kB",
        config_bytes / 1_000,
        map_bytes / 1_000,
        build.as_secs_f64() * 1e3,
        store_bytes(&writes) / 1_000,
    );
    drop(map);
}

/// Prints the bytes that each process watching the store receives for one change and for its first
/// read.
fn message_bytes() {
    let before = configuration(SERVICES, BACKENDS);
    let statements =
        loftdrift_configuration::parse_script("bench", "drain backend b7").expect("invalid script");
    let after = loftdrift_configuration::apply(&before, &statements).expect("invalid change");
    let change = Documents::writes(&before, &after, "command");
    let all = Documents::writes(&Configuration::default(), &after, "command");
    println!(
        "one change of a back end: {} bytes of documents, {} bytes on a watch; a first reading: {} \
         kB",
        store_bytes(&change),
        watch_bytes(&change),
        watch_bytes(&all) / 1_000,
    );
}

/// Size of the JSON line that notifies a watch of these writes.
fn watch_bytes(writes: &[StoreWrite]) -> usize {
    let event = |write: &StoreWrite| {
        let (key, value) = match write {
            StoreWrite::Put { key, value } => (key.clone(), value.clone()),
            StoreWrite::Delete { key } => (key.clone(), String::new()),
        };
        let kv = KeyValueMessage {
            key: Base64Text(key),
            value: Base64Text(value),
            ..KeyValueMessage::default()
        };
        WatchEvent { kind: String::new(), kv }
    };
    let events = writes.iter().map(event).collect();
    let line = WatchLine { result: WatchResponse { events, ..WatchResponse::default() } };
    serde_json::to_string(&line).expect("failed to serialize").len()
}

fn agent_state() {
    let (agent, bytes) = measure_allocation(|| {
        let mut agent = Agent::new(agent_settings()).expect("invalid chart");
        agent.adopt(Duration::ZERO, &configuration(SERVICES, BACKENDS));
        agent
    });
    println!("agent without flows: {} kB", bytes / 1_000);
    drop(agent);
    for buffer_bytes in [4 * 1024, 16 * 1024] {
        let settings =
            EndpointSettings { buffer_bytes, timestamps: Timestamps::Clock, sequence_seed: 1 };
        let (endpoints, bytes) = measure_allocation(|| {
            let endpoint = |flow| {
                let key = FlowKey {
                    caller: caller_address(flow),
                    service: service_address(0),
                    transport: Transport::Tcp,
                };
                Endpoint::listen(Duration::ZERO, &key, &settings)
            };
            (0..FLOWS).map(endpoint).collect::<Vec<Endpoint>>()
        });
        println!(
            "one TCP flow with two buffers of {buffer_bytes} bytes: {} bytes",
            bytes / FLOWS as usize
        );
        drop(endpoints);
    }
}

fn main() {
    configuration_state(99, 340);
    configuration_state(495, 1_700);
    configuration_state(SERVICES, BACKENDS);
    message_bytes();
    agent_state();
}
