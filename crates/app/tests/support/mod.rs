//! Starts all components as separate processes on ports that the kernel assigns.

#![allow(dead_code)]

pub mod http;
pub mod link;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

const LOFTDRIFT: &str = env!("CARGO_BIN_EXE_loftdrift");
const STANDIN: &str = env!("CARGO_BIN_EXE_loftdrift-standin");
const SERVICE: &str = "10.20.0.1:80";
const UDP_SERVICE: &str = "10.20.0.9:53";
const ANY_PORT: &str = "127.0.0.1:0";
/// Maximum time for any condition to become true; the test fails when it expires.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A process that is killed when it is dropped.
pub struct Process {
    child: Child,
    /// Addresses on which it listens, in the order in which it printed them.
    pub addresses: Vec<SocketAddr>,
}

impl Process {
    /// Starts a program and reads `listeners` listen addresses from its standard output.
    pub fn start(program: &str, arguments: &[&str], listeners: usize) -> Process {
        let mut child = Command::new(program)
            .args(arguments)
            .env("RUST_LOG", "off")
            .stdout(Stdio::piped())
            .spawn()
            .expect("failed to start the program");
        let mut lines =
            BufReader::new(child.stdout.take().expect("standard output is not piped")).lines();
        let addresses = (0..listeners).map(|_| {
            let line = lines
                .next()
                .expect("the program exited before it printed its address")
                .expect("output is not UTF-8");
            let address = line.rsplit(' ').next().expect("not a valid address");
            address.parse().expect("not a valid address")
        });
        let addresses = addresses.collect();
        Process { child, addresses }
    }

    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("failed to send the signal");
    }

    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("failed to wait for the process")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Output of `loftdrift-standin callers`: event counts as a JSON object.
pub struct CallerReport {
    text: String,
    pub succeeded: bool,
}

impl CallerReport {
    /// The count of an event, 0 if it is missing.
    pub fn count(&self, name: &str) -> u64 {
        let counts: serde_json::Value =
            serde_json::from_str(&self.text).expect("output is not JSON");
        counts[name].as_u64().unwrap_or(0)
    }
}

impl std::fmt::Debug for CallerReport {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.text)
    }
}

/// Processes of a platform, a fabric, balancers, and agents with back ends of the service `tiles`.
pub struct Cluster {
    pub platform: Process,
    pub fabric: Process,
    pub balancers: Vec<Process>,
    pub agents: Vec<Process>,
    pub backends: Vec<Process>,
}

impl Cluster {
    pub fn start(balancers: usize, backends: usize) -> Cluster {
        let platform = Process::start(STANDIN, &["platform", "--listen", ANY_PORT], 1);
        let settings = format!(
            "role = \"fabric\"\nlisten = \"{ANY_PORT}\"\nplatform = \"{}\"\n\
             [[listeners]]\nlisten = \"{ANY_PORT}\"\nservice = \"{SERVICE}\"\n\
             [[listeners]]\nlisten = \"{ANY_PORT}\"\nservice = \"{UDP_SERVICE}\"\n\
             transport = \"udp\"\n",
            platform.addresses[0]
        );
        let file = std::env::temp_dir().join(format!("loftdrift-fabric-{}.toml", unique_suffix()));
        std::fs::write(&file, settings).expect("failed to write the settings file");
        let path = file.to_str().expect("path is not UTF-8");
        let fabric = Process::start(STANDIN, &["fabric", "--config", path], 3);
        std::fs::remove_file(&file).expect("failed to remove the settings file");
        let mut cluster = Cluster {
            platform,
            fabric,
            balancers: Vec::new(),
            agents: Vec::new(),
            backends: Vec::new(),
        };
        cluster.ctl(&format!("create service tiles at {SERVICE}"));
        for _ in 0..backends {
            let agent = cluster.start_backend();
            cluster.attach(cluster.backends.len(), agent);
        }
        for _ in 0..balancers {
            let address = cluster.start_balancer();
            cluster.list_balancer(cluster.balancers.len(), address);
        }
        cluster.wait_until_served();
        cluster
    }

    /// Starts a back end and its agent. Returns the agent's address.
    pub fn start_backend(&mut self) -> SocketAddr {
        let name = format!("tiles-{}", self.backends.len() + 1);
        let arguments = ["backend", "--listen", ANY_PORT, "--service", "tiles", "--name", &name];
        self.backends.push(Process::start(STANDIN, &arguments, 1));
        let agent = self.start_agent(&name);
        let address = agent.addresses[0];
        self.agents.push(agent);
        address
    }

    fn start_agent(&self, backend: &str) -> Process {
        let fabric = self.fabric.addresses[0].to_string();
        let platform = self.platform_address();
        let arguments = [
            "agent",
            "--listen",
            ANY_PORT,
            "--metrics",
            ANY_PORT,
            "--backend",
            backend,
            "--fabric",
            &fabric,
            "--platform",
            &platform,
        ];
        Process::start(LOFTDRIFT, &arguments, 2)
    }

    /// Attaches the back end with this number (from 1), reached through `agent`.
    pub fn attach(&self, number: usize, agent: SocketAddr) {
        self.attach_at(number, self.backends[number - 1].addresses[0], agent);
    }

    /// Attaches the back end with this number (from 1), reached at `server` and through `agent`.
    pub fn attach_at(&self, number: usize, server: SocketAddr, agent: SocketAddr) {
        self.ctl(&format!(
            "attach backend tiles-{number} to tiles at {server} agent {agent} state active"
        ));
    }

    /// Creates a UDP service and starts an agent for its only back end at `server`. Returns the
    /// agent and the address where callers reach the service.
    pub fn start_udp_service(&mut self, server: SocketAddr) -> (Process, SocketAddr) {
        let agent = self.start_agent("echo-1");
        self.ctl(&format!("create service echo at {UDP_SERVICE} transport udp"));
        let address = agent.addresses[0];
        self.ctl(&format!(
            "attach backend echo-1 to echo at {server} agent {address} state active"
        ));
        (agent, self.fabric.addresses[2])
    }

    pub fn start_balancer(&mut self) -> SocketAddr {
        let platform = self.platform_address();
        let arguments =
            ["balancer", "--listen", ANY_PORT, "--metrics", ANY_PORT, "--platform", &platform];
        let balancer = Process::start(LOFTDRIFT, &arguments, 2);
        let address = balancer.addresses[0];
        self.balancers.push(balancer);
        address
    }

    /// Adds a balancer that is reached at `address` to the machine list.
    pub fn list_balancer(&self, number: usize, address: SocketAddr) {
        let machine = serde_json::json!({
            "name": format!("balancer-{number}"), "role": "balancer",
            "address": address.to_string(), "state": "live",
        });
        let response =
            http::request(self.platform.addresses[0], "PUT", "/machines", &machine.to_string());
        assert!(response.is_ok(), "{response:?}");
    }

    pub fn set_faults(&self, faults: &str) {
        let response = http::request(self.platform.addresses[0], "PUT", "/standin/faults", faults);
        assert!(response.is_ok(), "{response:?}");
    }

    /// Kills the platform and starts one with an empty store at the same address.
    pub fn restart_platform(&mut self) {
        let address = self.platform_address();
        self.platform.signal(Signal::SIGKILL);
        self.platform.wait();
        self.platform = Process::start(STANDIN, &["platform", "--listen", &address], 1);
        for (number, balancer) in self.balancers.iter().enumerate() {
            self.list_balancer(number + 1, balancer.addresses[0]);
        }
    }

    /// Number of open watches on the key-value store.
    pub fn store_watchers(&self) -> u64 {
        let response = http::request(self.platform.addresses[0], "GET", "/standin/watchers", "");
        let response =
            String::from_utf8(response.expect("no response")).expect("response is not UTF-8");
        response.parse().expect("response is not a number")
    }

    pub fn platform_address(&self) -> String {
        self.platform.addresses[0].to_string()
    }

    /// Address where callers reach the service `tiles`.
    pub fn service_port(&self) -> SocketAddr {
        self.fabric.addresses[1]
    }

    /// Runs an operator's statement, which must be accepted.
    pub fn ctl(&self, statement: &str) {
        let (code, printed) = self.ctl_outcome(statement);
        assert_eq!(code, Some(0), "{statement}: {printed}");
    }

    /// Runs an operator's statement. Returns the exit code and the standard output.
    pub fn ctl_outcome(&self, statement: &str) -> (Option<i32>, String) {
        let mut arguments = vec!["ctl".to_owned(), "--platform".to_owned()];
        arguments.push(self.platform_address());
        arguments.extend(statement.split(' ').map(str::to_owned));
        let output = Command::new(LOFTDRIFT)
            .args(arguments)
            .env("RUST_LOG", "off")
            .output()
            .expect("failed to start the program");
        (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
    }

    /// Waits until a request through fabric, balancer and agent succeeds.
    pub fn wait_until_served(&self) {
        let port = self.service_port();
        wait_for("a first response", || http::request(port, "GET", "/bytes/10", "").is_ok());
    }

    /// The value of a metric of a process that serves metrics on its second address.
    pub fn metric(process: &Process, name: &str) -> Option<u64> {
        let page = http::request(process.addresses[1], "GET", "/metrics", "").ok()?;
        let page = String::from_utf8_lossy(&page).into_owned();
        let line = page.lines().find(|line| line.split(' ').next() == Some(name))?;
        line.rsplit(' ').next()?.parse().ok()
    }

    /// Starts callers that run for `seconds`; finish with [`finish_callers`].
    pub fn start_callers(&self, seconds: u32, requests_per_flow: u32) -> Child {
        let address = self.service_port().to_string();
        let seconds = seconds.to_string();
        let requests_per_flow = requests_per_flow.to_string();
        let arguments = [
            "callers",
            "--service",
            "tiles",
            "--address",
            &address,
            "--callers",
            "12",
            "--seconds",
            &seconds,
            "--requests_per_flow",
            &requests_per_flow,
        ];
        Command::new(STANDIN)
            .args(arguments)
            .env("RUST_LOG", "off")
            .stdout(Stdio::piped())
            .spawn()
            .expect("failed to start the program")
    }
}

/// Waits for callers to exit and returns their event counts.
pub fn finish_callers(callers: Child) -> CallerReport {
    let output = callers.wait_with_output().expect("failed to wait for the process");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    CallerReport { text, succeeded: output.status.success() }
}

/// Waits until a condition holds. Panics after [`WAIT_TIMEOUT`].
pub fn wait_for(description: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for {description}");
        sleep_ms(50);
    }
}

pub fn sleep_ms(milliseconds: u64) {
    std::thread::sleep(Duration::from_millis(milliseconds));
}

fn unique_suffix() -> String {
    format!("{}-{:?}", std::process::id(), Instant::now())
        .chars()
        .filter(char::is_ascii_alphanumeric)
        .collect()
}
