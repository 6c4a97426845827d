//! The project's own processes: settings filled from the templates of the deploy file, start, stop.

use crate::record::Record;
use std::collections::HashMap;
use std::fs::{self, OpenOptions};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;
/// Has a process killed when the one that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

/// `grace_s` of the settings.
pub const GRACE: Duration = Duration::from_secs(6);
/// A process that has ended is started again after a short delay.
pub const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Ports, alike on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub packets: u16,
    pub messages: u16,
    pub outbound: u16,
    pub control: u16,
    pub readiness: u16,
    pub app: u16,
    pub store: u16,
}

impl Ports {
    /// Ports that are free now.
    pub fn choose() -> Ports {
        let bind = |_| TcpListener::bind("127.0.0.1:0").expect("no free port");
        let listeners: Vec<TcpListener> = (0..7).map(bind).collect();
        let port = |at: usize| listeners[at].local_addr().unwrap().port();
        Ports {
            packets: port(0),
            messages: port(1),
            outbound: port(2),
            control: port(3),
            readiness: port(4),
            app: port(5),
            store: port(6),
        }
    }
}

/// A machine's address and the values that fill its template.
#[derive(Clone)]
pub struct Machine {
    pub name: String,
    pub host: Ipv4Addr,
    pub zone: String,
    /// The service of a `side` machine's back end; `None` on a `frontend` machine.
    pub service: Option<String>,
}

/// One process of the system.
pub struct Node {
    pub machine: Machine,
    child: Child,
    settings: PathBuf,
    log: PathBuf,
    record: Record,
}

/// What is alike for all processes of a run.
#[derive(Clone)]
pub struct Deployment {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub ports: Ports,
    pub store: SocketAddrV4,
    pub record: Record,
}

impl Deployment {
    pub fn start(&self, machine: Machine, is_first_start: bool) -> Node {
        let settings = self.folder.join(format!("{}.toml", machine.name));
        let log = self.folder.join(format!("{}.log", machine.name));
        self.write_settings(&settings, &machine, is_first_start);
        let child = self.spawn(&settings, &log);
        self.record.say(&format!("{} starts (process {})", machine.name, child.id()));
        Node { machine, child, settings, log, record: self.record.clone() }
    }

    /// Starts the process of a machine again, whose former one has ended.
    pub fn start_again(&self, node: &mut Node) {
        self.write_settings(&node.settings, &node.machine, false);
        node.child = self.spawn(&node.settings, &node.log);
        self.record.say(&format!(
            "{} starts again (process {})",
            node.machine.name,
            node.child.id()
        ));
    }

    fn spawn(&self, settings: &Path, log: &Path) -> Child {
        let output = OpenOptions::new().create(true).append(true).open(log).unwrap();
        let mut command = Command::new(self.root.join("target/release/loftdrift-node"));
        command.arg(settings).current_dir(&self.root).stdin(Stdio::null());
        command.stdout(Stdio::from(output.try_clone().unwrap())).stderr(Stdio::from(output));
        // Nothing outlives a run that is broken off.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        command.spawn().expect("cannot start loftdrift-node")
    }

    fn write_settings(&self, path: &Path, machine: &Machine, is_first_start: bool) {
        let template = match machine.service {
            Some(_) => "deploy/agent.toml",
            None => "deploy/balancer.toml",
        };
        let template = fs::read_to_string(self.root.join(template)).expect("no template");
        let ports = self.ports;
        let host = machine.host;
        let at = |port: u16| format!("{host}:{port}");
        let mut fields: HashMap<&str, String> = HashMap::from([
            ("node_name", machine.name.clone()),
            ("zone", machine.zone.clone()),
            ("region", "izmir".to_owned()),
            ("ip", host.to_string()),
            ("port_range.0", ports.messages.to_string()),
            ("listen.packet_addr", at(ports.packets)),
            ("listen.readiness", at(ports.readiness)),
            ("platform.address", self.store.to_string()),
            ("timing_bounds.grace_s", GRACE.as_secs().to_string()),
            ("timing_bounds.max_flow_s", "60".to_owned()),
            ("timing_bounds.config_apply_ms", "3000".to_owned()),
            ("limits.link_mbps", "1000.0".to_owned()),
            ("bootstrap", is_first_start.to_string()),
        ]);
        if let Some(service) = &machine.service {
            fields.insert("listen.outbound", at(ports.outbound));
            fields.insert("listen.control", at(ports.control));
            fields.insert("app", at(ports.app));
            fields.insert("service", service.clone());
        }
        fs::write(path, fill(&template, &fields)).expect("cannot write settings");
    }
}

/// Fills a template. No role serves `control_plane`, so the list of seeds is empty, and what depends
/// on a field that is not given is left out.
fn fill(template: &str, fields: &HashMap<&str, String>) -> String {
    let mut text = template.to_owned();
    while let Some(from) = text.find("{{#") {
        let name_end = from + text[from..].find("}}").expect("an open gap");
        let name = text[from + 3..name_end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let close_at = text.find(&close).expect("a section without an end");
        let inside = text[name_end + 2..close_at].to_owned();
        let kept = if fields.contains_key(name.as_str()) { inside } else { String::new() };
        text.replace_range(from..close_at + close.len(), &kept);
    }
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "a gap of the template is not filled: {text}");
    text
}

impl Node {
    fn signal(&self, signal: i32, name: &str) {
        unsafe { kill(self.child.id() as i32, signal) };
        self.record.say(&format!("{} gets {name}", self.machine.name));
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.signal(SIGKILL, "SIGKILL");
        let _ = self.child.wait();
    }

    /// Stops the process as the platform does: SIGTERM, and SIGKILL after the grace period.
    pub fn stop(&mut self) {
        self.signal(SIGTERM, "SIGTERM");
        let until = Instant::now() + GRACE;
        while Instant::now() < until {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return self.record.say(&format!("{} has ended", self.machine.name));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        self.kill();
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Lines of the process's log that contain one of the texts.
    pub fn log_lines(&self, texts: &[&str]) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let is_wanted = |line: &&str| texts.iter().any(|text| line.contains(text));
        log.lines().filter(is_wanted).map(str::to_owned).collect()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
