//! Guarantees under load with real processes that are killed, frozen or cut off, and with platform
//! outages.

mod support;

use nix::sys::signal::Signal;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;
use support::link::{TcpLink, UdpLink};
use support::{CallerReport, Cluster, Process, finish_callers, http, sleep_ms, wait_for};

/// No flow broke, and each request got a correct response or was rejected without running.
fn assert_unbroken(report: &CallerReport) {
    assert!(report.succeeded, "{report:?}");
    assert!(report.count("flows_opened") > 0, "{report:?}");
    let answered = report.count("answered_whole") + report.count("refused_not_run");
    assert_eq!(answered, report.count("requests_sent"), "{report:?}");
}

#[test]
fn balancers_are_killed_frozen_and_stopped_under_load() {
    let mut cluster = Cluster::start(4, 3);
    let callers = cluster.start_callers(6, 200);
    sleep_ms(1_000);
    cluster.balancers[0].signal(Signal::SIGKILL);
    sleep_ms(700);
    cluster.balancers[1].signal(Signal::SIGSTOP);
    sleep_ms(1_000);
    cluster.balancers[1].signal(Signal::SIGCONT);
    cluster.balancers[2].signal(Signal::SIGTERM);
    let address = cluster.start_balancer();
    cluster.list_balancer(5, address);
    assert!(cluster.balancers[2].wait().success());
    assert_unbroken(&finish_callers(callers));
}

#[test]
fn a_large_body_arrives_complete_while_balancers_start_and_stop() {
    const BYTES: usize = 20_000_000;
    let mut cluster = Cluster::start(3, 2);
    let port = cluster.service_port();
    let path = format!("/bytes/{BYTES}?seed=5");
    let expected = http::request(cluster.backends[0].addresses[0], "GET", &path, "");
    let expected = expected.expect("failed to fetch the body directly from the back end");
    let fetching = std::thread::spawn(move || http::request(port, "GET", &path, ""));
    sleep_ms(150);
    cluster.balancers[0].signal(Signal::SIGKILL);
    let address = cluster.start_balancer();
    cluster.list_balancer(4, address);
    cluster.balancers[1].signal(Signal::SIGTERM);
    let fetched = fetching
        .join()
        .expect("a thread panicked")
        .expect("failed to fetch the body through the load balancer");
    assert_eq!(fetched.len(), BYTES);
    assert!(fetched == expected);
}

#[test]
fn flows_survive_while_a_balancer_is_unreachable() {
    let mut cluster = Cluster::start(2, 2);
    let link = UdpLink::to(cluster.start_balancer());
    cluster.list_balancer(3, link.address);
    let balancer = &cluster.balancers[2];
    wait_for("the linked balancer", || {
        Cluster::metric(balancer, "loftdrift_balancer_echoes_answered_total") > Some(0)
    });
    let callers = cluster.start_callers(5, 200);
    sleep_ms(1_000);
    link.set_cut(true);
    sleep_ms(1_500);
    link.set_cut(false);
    assert_unbroken(&finish_callers(callers));
}

#[test]
fn flows_survive_while_their_agent_is_unreachable() {
    let mut cluster = Cluster::start(2, 2);
    let link = UdpLink::to(cluster.start_backend());
    cluster.attach(3, link.address);
    let callers = cluster.start_callers(6, 200);
    sleep_ms(1_500);
    link.set_cut(true);
    sleep_ms(1_000);
    link.set_cut(false);
    assert_unbroken(&finish_callers(callers));
}

#[test]
fn flows_survive_while_their_back_end_is_unreachable() {
    let mut cluster = Cluster::start(2, 2);
    let agent = cluster.start_backend();
    let link = TcpLink::to(cluster.backends[2].addresses[0]);
    cluster.attach_at(3, link.address, agent);
    let callers = cluster.start_callers(6, 200);
    sleep_ms(1_500);
    link.set_cut(true);
    sleep_ms(1_000);
    link.set_cut(false);
    let report = finish_callers(callers);
    assert_unbroken(&report);
    let opened = Cluster::metric(&cluster.agents[2], "loftdrift_agent_flows_opened_total");
    assert!(opened > Some(0), "no flow crossed the link: {report:?}");
}

#[test]
fn flows_survive_a_frozen_agent_and_a_frozen_back_end() {
    let cluster = Cluster::start(2, 3);
    let callers = cluster.start_callers(6, 200);
    sleep_ms(1_000);
    cluster.agents[0].signal(Signal::SIGSTOP);
    cluster.backends[1].signal(Signal::SIGSTOP);
    sleep_ms(1_000);
    cluster.agents[0].signal(Signal::SIGCONT);
    cluster.backends[1].signal(Signal::SIGCONT);
    assert_unbroken(&finish_callers(callers));
}

#[test]
fn a_killed_agent_or_back_end_breaks_only_its_own_flows() {
    let cluster = Cluster::start(2, 4);
    // Each of the twelve callers uses a single flow for the whole run unless it breaks.
    let callers = cluster.start_callers(7, 1_000_000);
    let flows_of = |number: usize| {
        Cluster::metric(&cluster.agents[number], "loftdrift_agent_flows").unwrap_or(0)
    };
    wait_for("twelve flows", || (0..4).map(flows_of).sum::<u64>() == 12);
    let own = flows_of(0) + flows_of(1);
    cluster.agents[0].signal(Signal::SIGKILL);
    cluster.backends[1].signal(Signal::SIGKILL);
    let report = finish_callers(callers);
    assert_eq!(report.count("wrong") + report.count("misdelivered"), 0, "{report:?}");
    let broken: u64 = ["broken_cut", "broken_refused", "broken_timeout"]
        .iter()
        .map(|name| report.count(name))
        .sum();
    assert!(broken >= own, "{own} flows were lost: {report:?}");
    // No flow of the other back ends broke.
    for number in 2..4 {
        let failed = Cluster::metric(&cluster.agents[number], "loftdrift_agent_flows_failed_total");
        assert_eq!(failed, Some(0), "{report:?}");
    }
    // The dead agent and the dead back end get no new flows.
    wait_for("the agent to detect its dead back end", || {
        Cluster::metric(&cluster.agents[1], "loftdrift_agent_backend_accepts") == Some(0)
    });
    wait_for("the balancers to detect the dead agent", || {
        let suspects = |balancer| Cluster::metric(balancer, "loftdrift_balancer_suspects");
        cluster.balancers.iter().all(|balancer| suspects(balancer) == Some(1))
    });
    assert_unbroken(&finish_callers(cluster.start_callers(3, 20)));
}

#[test]
fn flows_survive_an_outage_of_the_platform() {
    let cluster = Cluster::start(2, 2);
    let callers = cluster.start_callers(5, 50);
    sleep_ms(500);
    cluster.set_faults(r#"{"outage": true}"#);
    sleep_ms(1_000);
    cluster.set_faults(r#"{"silent": true}"#);
    sleep_ms(1_000);
    cluster.platform.signal(Signal::SIGKILL);
    assert_unbroken(&finish_callers(callers));
}

#[test]
fn a_store_that_lost_its_data_does_not_roll_back_the_configuration() {
    const REVISION: &str = "loftdrift_balancer_configuration_revision";
    const SKIPPED: &str = "loftdrift_balancer_configurations_passed_over_total";
    let mut cluster = Cluster::start(1, 3);
    let revision = Cluster::metric(&cluster.balancers[0], REVISION);
    let callers = cluster.start_callers(6, 50);
    cluster.restart_platform();
    cluster.ctl("create service other at 10.20.0.2:80");
    let balancer = &cluster.balancers[0];
    let reconnected = || cluster.store_watchers() >= 4;
    wait_for("balancer and agents to follow the new store", reconnected);
    cluster.ctl("create service another at 10.20.0.3:80");
    assert_unbroken(&finish_callers(callers));
    assert_eq!(Cluster::metric(balancer, REVISION), revision);
    assert_eq!(Cluster::metric(balancer, SKIPPED), Some(0));
}

#[test]
fn a_command_whose_response_is_lost_takes_effect_once_and_is_reported_as_accepted() {
    let mut cluster = Cluster::start(1, 1);
    let agent = cluster.start_backend();
    cluster.set_faults(r#"{"lose_every": 1}"#);
    cluster.attach(2, agent);
    cluster.set_faults("{}");
    let (_, shown) = cluster.ctl_outcome("show backends");
    assert_eq!(shown.matches("tiles-2").count(), 1, "{shown}");
    // Service, first back end, second back end: one revision each.
    assert!(shown.ends_with("revision 0.3\n"), "{shown}");
}

#[test]
fn a_command_during_an_outage_is_reported_as_not_applied() {
    let cluster = Cluster::start(1, 1);
    cluster.set_faults(r#"{"outage": true}"#);
    let (code, printed) = cluster.ctl_outcome("drain backend tiles-1");
    assert_eq!(code, Some(1), "{printed}");
    assert!(printed.contains("nothing was changed"), "{printed}");
    cluster.set_faults("{}");
    let (_, shown) = cluster.ctl_outcome("show draining");
    assert!(!shown.contains("tiles-1"), "{shown}");
}

#[test]
fn concurrent_operators_get_the_actual_outcome_of_their_commands() {
    let cluster = Cluster::start(1, 3);
    cluster.set_faults(r#"{"delay_ms": 100}"#);
    let (first, second) = std::thread::scope(|scope| {
        let first = scope.spawn(|| cluster.ctl_outcome("drain backend tiles-1"));
        let second = scope.spawn(|| cluster.ctl_outcome("drain backend tiles-2"));
        (first.join().expect("a thread panicked"), second.join().expect("a thread panicked"))
    });
    cluster.set_faults("{}");
    let (_, shown) = cluster.ctl_outcome("show draining");
    for ((code, printed), name) in [(first, "tiles-1"), (second, "tiles-2")] {
        assert_eq!(shown.contains(name), code == Some(0), "{printed} but {shown}");
        assert!(code == Some(0) || printed.contains("another operator"), "{printed}");
    }
    assert!(shown.contains("tiles-"), "{shown}");
}

#[test]
fn a_drained_back_end_and_a_stopped_agent_interrupt_no_request() {
    let mut cluster = Cluster::start(2, 3);
    let callers = cluster.start_callers(6, 40);
    sleep_ms(1_000);
    cluster.ctl("drain backend tiles-1");
    cluster.agents[1].signal(Signal::SIGTERM);
    // The agent exits once its last flow has ended.
    assert!(cluster.agents[1].wait().success());
    assert_unbroken(&finish_callers(callers));
}

#[test]
fn a_second_signal_stops_an_agent_at_once() {
    let mut cluster = Cluster::start(1, 1);
    let mut callers = KillOnDrop(cluster.start_callers(30, 1_000_000));
    wait_for("flows", || Cluster::metric(&cluster.agents[0], "loftdrift_agent_flows") > Some(0));
    cluster.agents[0].signal(Signal::SIGTERM);
    sleep_ms(300);
    cluster.agents[0].signal(Signal::SIGTERM);
    assert!(cluster.agents[0].wait().success());
    // The callers are still running, so the agent did not wait for their flows to end.
    assert!(callers.0.try_wait().expect("failed to query the process").is_none());
}

#[test]
fn a_full_back_end_does_not_run_the_requests_that_it_rejects() {
    let arguments = [
        "backend",
        "--listen",
        "127.0.0.1:0",
        "--service",
        "s",
        "--name",
        "s-1",
        "--slots",
        "1",
        "--queue",
        "0",
        "--work-seconds",
        "1",
    ];
    let backend = Process::start(env!("CARGO_BIN_EXE_loftdrift-standin"), &arguments, 1);
    let address = backend.addresses[0];
    let results: Vec<bool> = std::thread::scope(|scope| {
        let request = |id| move || http::request_as(id, address, "POST", "/submit", "").is_ok();
        let threads = ["a", "b", "c"].map(|id| scope.spawn(request(id)));
        threads.into_iter().map(|thread| thread.join().expect("a thread panicked")).collect()
    });
    let executions = http::request(address, "GET", "/standin/executions", "");
    let executions: serde_json::Value =
        serde_json::from_slice(&executions.expect("no response")).expect("response is not JSON");
    let ran: Vec<&str> = executions
        .as_array()
        .expect("response is not a JSON array")
        .iter()
        .filter_map(|execution| execution["request"].as_str())
        .collect();
    assert!(results.contains(&false), "no request was rejected");
    for (id, answered) in ["a", "b", "c"].iter().zip(results) {
        assert_eq!(ran.contains(id), answered, "{id}: {executions}");
    }
}

#[test]
fn udp_datagrams_reach_their_back_end_and_their_caller_through_changes() {
    const DATAGRAMS: u32 = 200;
    let mut cluster = Cluster::start(3, 1);
    let echo = udp_echo();
    let (agent, port) = cluster.start_udp_service(echo);
    let caller = UdpSocket::bind("127.0.0.1:0").expect("failed to bind a socket");
    caller.set_read_timeout(Some(Duration::from_millis(300))).expect("failed to set the timeout");
    let mut answered = 0;
    let mut buffer = [0; 100];
    for number in 0..DATAGRAMS {
        if number == DATAGRAMS / 2 {
            cluster.ctl("drain backend echo-1");
            cluster.balancers[0].signal(Signal::SIGTERM);
        }
        let text = format!("datagram {number}");
        // Datagrams may be lost as on any network; a retransmission then gets the reply.
        for _ in 0..20 {
            caller.send_to(text.as_bytes(), port).expect("failed to send");
            match caller.recv(&mut buffer) {
                Ok(length) if buffer[..length] == *text.as_bytes() => {
                    answered += 1;
                    break;
                }
                _ => {}
            }
        }
    }
    assert_eq!(answered, DATAGRAMS);
    wait_for("the agent to publish the count of the last datagram", || {
        let delivered = Cluster::metric(&agent, "loftdrift_agent_delivered_total");
        delivered >= Some(u64::from(DATAGRAMS))
    });
    let opened = Cluster::metric(&agent, "loftdrift_agent_flows_opened_total");
    assert_eq!(opened, Some(1));
}

/// Starts a UDP back end that echoes each datagram; returns its address.
fn udp_echo() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("failed to bind a socket");
    let address = socket.local_addr().expect("socket has no address");
    std::thread::spawn(move || {
        let mut buffer = [0; 100];
        while let Ok((length, from)) = socket.recv_from(&mut buffer) {
            socket.send_to(&buffer[..length], from).expect("failed to send");
        }
    });
    address
}

struct KillOnDrop(std::process::Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
