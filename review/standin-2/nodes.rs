//! Processes of `loftdrift-node`, each on a loopback address of its own.

use crate::backend::Place;
use crate::http;
use crate::record::Record;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// The program of `deploy/system.toml`.
const NODE: &str = "target/release/loftdrift-node";
pub const TERM: i32 = 15;
pub const CONT: i32 = 18;
pub const STOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub struct Net {
    network: [u8; 2],
    ports: Vec<u16>,
    pub folder: PathBuf,
    record: Record,
}

impl Net {
    pub fn new(record: &Record) -> Net {
        let id = std::process::id();
        let listeners: Vec<TcpListener> =
            (0..8).map(|_| TcpListener::bind("127.0.0.1:0").expect("no free port")).collect();
        let ports = listeners.iter().map(|each| each.local_addr().unwrap().port()).collect();
        let folder = std::env::temp_dir().join(format!("loftdrift-review-2-{id}"));
        std::fs::create_dir_all(&folder).expect("cannot make the folder");
        let network = [100 + (id % 100) as u8, (id / 100 % 250) as u8];
        Net { network, ports, folder, record: record.clone() }
    }

    /// An address on the machine with this number; the ports are alike on all machines.
    fn at(&self, machine: u8, port: usize) -> SocketAddrV4 {
        let host = Ipv4Addr::new(127, self.network[0], self.network[1], machine);
        SocketAddrV4::new(host, self.ports[port])
    }

    pub fn store(&self) -> SocketAddrV4 {
        self.at(9, 7)
    }

    pub fn callers(&self) -> SocketAddrV4 {
        self.at(200, 0)
    }

    pub fn service(&self, number: u8) -> SocketAddrV4 {
        SocketAddrV4::new(*self.at(220 + number, 0).ip(), 8443)
    }

    pub fn place(&self, number: u8, name: &str, service: &str, zone: &str) -> Place {
        Place {
            name: name.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            app: self.at(100 + number, 5),
            outbound: self.at(100 + number, 2),
            control: self.at(100 + number, 3),
            capacity: 7,
        }
    }

    pub fn balancer(&self, number: u8, zone: &str, is_first: bool) -> Node {
        let machine = 10 + number;
        let ingress = self.at(machine, 0);
        let own = format!("role = \"carried-balancer\"\ningress = \"{ingress}\"\n");
        let name = format!("frontend-{zone}-{number}");
        let mut node = self.node(&name, machine, zone, own, is_first);
        node.ingress = ingress;
        node
    }

    pub fn agent(&self, number: u8, place: &Place, is_first: bool) -> Node {
        let Place { outbound, control, app, service, zone, .. } = place;
        let packets = self.at(100 + number, 0);
        let own = format!(
            "role = \"carried-agent\"\noutbound = \"{outbound}\"\ncontrol = \"{control}\"\n\
             caller_port_of = \"{packets}\"\nbackend = \"{app}\"\nservice = \"{service}\"\n"
        );
        self.node(&format!("side-{zone}-{number}"), 100 + number, zone, own, is_first)
    }

    fn node(&self, name: &str, machine: u8, zone: &str, own: String, is_first: bool) -> Node {
        let (messages, readiness) = (self.at(machine, 1), self.at(machine, 4));
        let (metrics, store) = (self.at(machine, 6), self.store());
        let text = |first_start: bool| {
            format!(
                "{own}name = \"{name}\"\nzone = \"{zone}\"\nregion = \"home\"\n\
                 messages = \"{messages}\"\nreadiness = \"{readiness}\"\nmetrics = \"{metrics}\"\n\
                 store = \"{store}\"\nseeds = []\nstop_grace_s = 6\nlongest_flow_s = 60\n\
                 first_start = {first_start}\nconfiguration_bound_ms = 3000\n\
                 evacuation_bound_ms = 5000\nlink_mbps = 1000.0\n"
            )
        };
        let settings = self.folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text(is_first)).expect("cannot write settings");
        let log = self.folder.join(format!("{name}.log"));
        let mut node = Node {
            name: name.to_owned(),
            settings,
            settings_of_restart: text(false),
            log,
            child: None,
            readiness,
            ingress: messages,
            record: self.record.clone(),
        };
        node.start();
        node
    }
}

impl Drop for Net {
    fn drop(&mut self) {
        match std::env::var("KEEP_LOGS") {
            Ok(_) => println!("logs are in {}", self.folder.display()),
            Err(_) => drop(std::fs::remove_dir_all(&self.folder)),
        }
    }
}

pub struct Node {
    pub name: String,
    settings: PathBuf,
    /// `first_start` is true only at the very first start of the whole system.
    settings_of_restart: String,
    log: PathBuf,
    child: Option<Child>,
    pub readiness: SocketAddrV4,
    pub ingress: SocketAddrV4,
    record: Record,
}

impl Node {
    fn start(&mut self) {
        let mut options = std::fs::OpenOptions::new();
        let log = options.create(true).append(true).open(&self.log).expect("cannot open the log");
        let mut command = Command::new(NODE);
        command.arg(&self.settings).stdin(Stdio::null()).stdout(log);
        self.child = Some(command.spawn().expect("cannot start loftdrift-node"));
        self.record.line(&format!("{} started", self.name));
    }

    pub fn signal(&self, signal: i32) {
        let Some(child) = &self.child else { return };
        self.record.line(&format!("{} gets signal {signal}", self.name));
        // SAFETY: a plain system call; the process is a child that was not waited for yet.
        unsafe { kill(child.id() as i32, signal) };
    }

    /// Sends a signal that ends the process, waits for its end, and starts it again shortly after.
    pub fn restart_by(&mut self, signal: i32) {
        self.signal(signal);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
        std::thread::sleep(Duration::from_millis(300));
        std::fs::write(&self.settings, &self.settings_of_restart).expect("cannot write settings");
        self.start();
    }

    /// The status that the node's readiness page answers with.
    pub fn readiness_status(&self) -> Option<u16> {
        http::call(self.readiness, "GET", "/-/readyz", "", Duration::from_millis(500))
    }

    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
