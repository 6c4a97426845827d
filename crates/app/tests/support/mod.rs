//! Starts the whole path in separate processes on ports of the kernel's choice.

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
/// Bounds every wait; reaching it fails the test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A process that is killed when it is dropped.
pub struct Process {
    child: Child,
    /// What it listens on, in the order of its announcements.
    pub addresses: Vec<SocketAddr>,
}

impl Process {
    /// Starts a program and reads the addresses that it announces, `listeners` of them.
    pub fn start(program: &str, arguments: &[&str], listeners: usize) -> Process {
        let mut child = Command::new(program)
            .args(arguments)
            .env("RUST_LOG", "off")
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let mut lines = BufReader::new(child.stdout.take().expect("its output")).lines();
        let addresses = (0..listeners).map(|_| {
            let line = lines.next().expect("an announcement").expect("a line");
            let address = line.rsplit(' ').next().expect("an address");
            address.parse().expect("an address")
        });
        let addresses = addresses.collect();
        Process { child, addresses }
    }

    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("the process is there");
    }

    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("an end")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What the callers stand-in printed.
pub struct CallerReport {
    text: String,
    pub succeeded: bool,
}

impl CallerReport {
    /// A count by its name, 0 when it is missing.
    pub fn count(&self, name: &str) -> u64 {
        let counts: serde_json::Value = serde_json::from_str(&self.text).expect("a JSON object");
        counts[name].as_u64().unwrap_or(0)
    }
}

impl std::fmt::Debug for CallerReport {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.text)
    }
}

/// Platform, fabric, balancers, and agents with back ends of the service `tiles`.
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
        std::fs::write(&file, settings).expect("a settings file");
        let path = file.to_str().expect("a path");
        let fabric = Process::start(STANDIN, &["fabric", "--config", path], 3);
        std::fs::remove_file(&file).expect("the settings file");
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

    /// Starts a back end and its agent; returns the agent's address.
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

    /// Attaches the back end of that number, reached through `agent`.
    pub fn attach(&self, number: usize, agent: SocketAddr) {
        self.attach_at(number, self.backends[number - 1].addresses[0], agent);
    }

    /// Attaches the back end of that number, reached at `server` and through `agent`.
    pub fn attach_at(&self, number: usize, server: SocketAddr, agent: SocketAddr) {
        self.ctl(&format!(
            "attach backend tiles-{number} to tiles at {server} agent {agent} state active"
        ));
    }

    /// Starts an agent beside a UDP back end that takes part in a service of its own; returns the
    /// agent and the port where callers reach the service.
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

    /// Puts a balancer on the machine list, reached at `address`.
    pub fn list_balancer(&self, number: usize, address: SocketAddr) {
        let machine = serde_json::json!({
            "name": format!("balancer-{number}"), "role": "balancer",
            "address": address.to_string(), "state": "live",
        });
        let answer =
            http::request(self.platform.addresses[0], "PUT", "/machines", &machine.to_string());
        assert!(answer.is_ok(), "{answer:?}");
    }

    pub fn set_faults(&self, faults: &str) {
        let answer = http::request(self.platform.addresses[0], "PUT", "/standin/faults", faults);
        assert!(answer.is_ok(), "{answer:?}");
    }

    /// Kills the platform and starts an empty one at the same address.
    pub fn restart_platform(&mut self) {
        let address = self.platform_address();
        self.platform.signal(Signal::SIGKILL);
        self.platform.wait();
        self.platform = Process::start(STANDIN, &["platform", "--listen", &address], 1);
        for (number, balancer) in self.balancers.iter().enumerate() {
            self.list_balancer(number + 1, balancer.addresses[0]);
        }
    }

    /// How many watches are open on the key-value store.
    pub fn store_watchers(&self) -> u64 {
        let answer = http::request(self.platform.addresses[0], "GET", "/standin/watchers", "");
        let answer = String::from_utf8(answer.expect("an answer")).expect("a number");
        answer.parse().expect("a number")
    }

    pub fn platform_address(&self) -> String {
        self.platform.addresses[0].to_string()
    }

    /// Where callers reach the service.
    pub fn service_port(&self) -> SocketAddr {
        self.fabric.addresses[1]
    }

    /// Carries out a statement that must be accepted.
    pub fn ctl(&self, statement: &str) {
        let (code, printed) = self.ctl_outcome(statement);
        assert_eq!(code, Some(0), "{statement}: {printed}");
    }

    /// Carries out a statement; its exit code and what it printed.
    pub fn ctl_outcome(&self, statement: &str) -> (Option<i32>, String) {
        let mut arguments = vec!["ctl".to_owned(), "--platform".to_owned()];
        arguments.push(self.platform_address());
        arguments.extend(statement.split(' ').map(str::to_owned));
        let output = Command::new(LOFTDRIFT)
            .args(arguments)
            .env("RUST_LOG", "off")
            .output()
            .expect("the program starts");
        (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
    }

    /// Waits until a request is answered through the whole path.
    pub fn wait_until_served(&self) {
        let port = self.service_port();
        wait_for("a first answer", || http::request(port, "GET", "/bytes/10", "").is_ok());
    }

    /// A counter of a process that serves metrics on its second address.
    pub fn metric(process: &Process, name: &str) -> Option<u64> {
        let page = http::request(process.addresses[1], "GET", "/metrics", "").ok()?;
        let page = String::from_utf8_lossy(&page).into_owned();
        let line = page.lines().find(|line| line.split(' ').next() == Some(name))?;
        line.rsplit(' ').next()?.parse().ok()
    }

    /// Starts callers for some seconds; finish with [`finish_callers`].
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
            .expect("the program starts")
    }
}

/// Waits for callers to end and reads what they saw.
pub fn finish_callers(callers: Child) -> CallerReport {
    let output = callers.wait_with_output().expect("an end");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    CallerReport { text, succeeded: output.status.success() }
}

/// Waits until a condition holds; fails when it never does.
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
