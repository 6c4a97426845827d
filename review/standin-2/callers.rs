//! Clients of one address, and the platform's routers in front of the balancers.

use crate::backend::random;
use crate::http;
use crate::net::{ACK, End, Packet, RST, SYN};
use crate::record::Record;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SYN_AT: [u64; 3] = [0, 200, 600];
const ATTEMPT: u64 = 1400;
const RESET_WINDOW: u32 = 76_800;
/// How often a waiting client looks for its answer.
const POLL: Duration = Duration::from_millis(3);
const PROBE: Duration = Duration::from_millis(500);

pub struct Front {
    pub ingress: SocketAddrV4,
    pub readiness: SocketAddrV4,
    missed: u32,
    is_in: bool,
}

struct Flow {
    service: SocketAddrV4,
    caller_seq: u32,
    end: Option<Box<End>>,
    opened: Instant,
    /// When the client last sent or received a packet of the flow.
    last_packet: Instant,
    /// A reset, and whether it was the system's own (sum 0).
    reset: Option<bool>,
}

struct Inner {
    socket: UdpSocket,
    host: Ipv4Addr,
    fronts: Mutex<Vec<Front>>,
    flows: Mutex<HashMap<u16, Flow>>,
    next_port: AtomicU32,
    record: Record,
}

#[derive(Clone)]
pub struct Callers(Arc<Inner>);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    Refused,
    /// Reset by the system while the flow was open.
    ResetBySystem,
    ResetByBackend,
    NoAnswer,
    Closed,
}

impl Callers {
    pub fn start(address: SocketAddrV4, record: &Record) -> Callers {
        let socket = UdpSocket::bind(address).expect("cannot bind the clients");
        socket.set_read_timeout(Some(Duration::from_millis(2))).unwrap();
        let callers = Callers(Arc::new(Inner {
            socket,
            host: *address.ip(),
            fronts: Mutex::default(),
            flows: Mutex::default(),
            next_port: AtomicU32::new(1024 + random() % 20_000),
            record: record.clone(),
        }));
        let receiving = callers.clone();
        std::thread::spawn(move || receiving.run());
        callers
    }

    /// Adds a balancer; the router probes it twice a second and leaves it out after two misses.
    pub fn add_front(&self, ingress: SocketAddrV4, readiness: SocketAddrV4) {
        let front = Front { ingress, readiness, missed: 2, is_in: false };
        self.0.fronts.lock().unwrap().push(front);
        let callers = self.clone();
        std::thread::spawn(move || {
            loop {
                let began = Instant::now();
                let status = http::call(readiness, "GET", "/-/readyz", "", PROBE);
                let mut fronts = callers.0.fronts.lock().unwrap();
                let found = fronts.iter_mut().find(|front| front.readiness == readiness);
                if let Some(front) = found {
                    front.missed = if status == Some(200) { 0 } else { front.missed + 1 };
                    let is_in = front.missed == 0 || (front.is_in && front.missed < 2);
                    if is_in != front.is_in {
                        let what = if is_in { "in" } else { "out" };
                        callers.0.record.line(&format!("router: {} is {what}", front.ingress));
                    }
                    front.is_in = is_in;
                }
                drop(fronts);
                std::thread::sleep(PROBE.saturating_sub(began.elapsed()));
            }
        });
    }

    pub fn fronts_in(&self) -> usize {
        self.0.fronts.lock().unwrap().iter().filter(|front| front.is_in).count()
    }

    pub fn address(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.0.host, port)
    }

    /// The balancer that the router picks for a flow now.
    pub fn front_of(&self, port: u16, service: SocketAddrV4) -> Option<SocketAddrV4> {
        let fronts = self.0.fronts.lock().unwrap();
        let any_in = fronts.iter().any(|front| front.is_in);
        let eligible = fronts.iter().filter(|front| front.is_in || !any_in);
        let rank = |front: &&Front| {
            let mut hasher = DefaultHasher::new();
            (front.ingress, self.address(port), service).hash(&mut hasher);
            hasher.finish()
        };
        eligible.max_by_key(rank).map(|front| front.ingress)
    }

    fn send(&self, packet: &Packet) {
        if let Some(to) = self.front_of(packet.from.port(), packet.to) {
            let _ = self.0.socket.send_to(&packet.write(), to);
        }
    }

    /// Opens a flow; returns its port.
    pub fn open(&self, service: SocketAddrV4) -> Result<u16, Outcome> {
        let port = self.0.next_port.fetch_add(1, Ordering::Relaxed);
        let port = (1024 + port % 60_000) as u16;
        let caller_seq = random();
        let now = Instant::now();
        let flow =
            Flow { service, caller_seq, end: None, opened: now, last_packet: now, reset: None };
        self.0.flows.lock().unwrap().insert(port, flow);
        let mut copy = 0;
        loop {
            let age = now.elapsed().as_millis() as u64;
            if copy < SYN_AT.len() && age >= SYN_AT[copy] {
                let from = self.address(port);
                self.send(&Packet::new(from, service, SYN, caller_seq, copy as u32));
                copy += 1;
            }
            {
                let flows = self.0.flows.lock().unwrap();
                let flow = &flows[&port];
                if flow.end.is_some() {
                    return Ok(port);
                }
                if flow.reset.is_some() {
                    return Err(Outcome::Refused);
                }
            }
            if age >= ATTEMPT {
                self.0.flows.lock().unwrap().remove(&port);
                return Err(Outcome::NoAnswer);
            }
            std::thread::sleep(POLL);
        }
    }

    /// Sends a request on an open flow and waits for its whole answer.
    pub fn request(&self, port: u16, id: &str, body: usize, deadline: Duration) -> Outcome {
        let began = Instant::now();
        let text = format!(
            "POST /claim HTTP/1.1\r\nHost: claims\r\nRequest-Id: {id}\r\nContent-Length: {body}\r\n\r\n{}",
            "y".repeat(body)
        );
        if let Some(flow) = self.0.flows.lock().unwrap().get_mut(&port)
            && let Some(end) = &mut flow.end
        {
            end.received.clear();
            end.send(text.as_bytes());
            self.0.record.line(&format!("client sends {id} on flow {}", self.address(port)));
        }
        loop {
            {
                let mut flows = self.0.flows.lock().unwrap();
                let Some(flow) = flows.get_mut(&port) else { return Outcome::Closed };
                if let Some(is_system) = flow.reset {
                    let who = if is_system { "the system" } else { "its back end" };
                    self.0.record.line(&format!("client: {id} reset by {who}"));
                    return match is_system {
                        true => Outcome::ResetBySystem,
                        false => Outcome::ResetByBackend,
                    };
                }
                if let Some(end) = &mut flow.end {
                    if is_whole(&end.received, id) {
                        let owes = end.owes_acknowledgement().then(|| end.acknowledgement());
                        drop(flows);
                        if let Some(packet) = owes {
                            self.note_sent(port);
                            self.send(&packet);
                        }
                        self.0.record.line(&format!("client: {id} answered"));
                        return Outcome::Served;
                    }
                    if end.peer_finished {
                        return Outcome::Closed;
                    }
                }
            }
            if began.elapsed() >= deadline {
                self.0.record.line(&format!("client: {id} without an answer"));
                return Outcome::NoAnswer;
            }
            std::thread::sleep(POLL);
        }
    }

    pub fn close(&self, port: u16) {
        if let Some(flow) = self.0.flows.lock().unwrap().get_mut(&port)
            && let Some(end) = &mut flow.end
        {
            end.finish();
        }
    }

    /// How long the flow has rested: neither end's packet was sent or received by the client.
    pub fn rested(&self, port: u16) -> Duration {
        self.0
            .flows
            .lock()
            .unwrap()
            .get(&port)
            .map_or(Duration::ZERO, |flow| flow.last_packet.elapsed())
    }

    pub fn age(&self, port: u16) -> Duration {
        self.0.flows.lock().unwrap().get(&port).map_or(Duration::ZERO, |flow| flow.opened.elapsed())
    }

    fn note_sent(&self, port: u16) {
        if let Some(flow) = self.0.flows.lock().unwrap().get_mut(&port) {
            flow.last_packet = Instant::now();
        }
    }

    fn run(&self) {
        let mut buffer = [0; 2048];
        loop {
            let read = self.0.socket.recv_from(&mut buffer);
            let now = Instant::now();
            let mut out: Vec<Packet> = Vec::new();
            let mut flows = self.0.flows.lock().unwrap();
            if let Ok((length, _)) = read
                && let Some(packet) = Packet::read(&buffer[..length])
                && let Some(flow) = flows.get_mut(&packet.to.port())
            {
                take(flow, now, &packet, &mut out);
            }
            for flow in flows.values_mut() {
                if flow.reset.is_some() {
                    continue;
                }
                if let Some(end) = &mut flow.end {
                    let due = end.due(now);
                    if !due.is_empty() {
                        flow.last_packet = now;
                    }
                    out.extend(due);
                }
            }
            drop(flows);
            for packet in out {
                self.send(&packet);
            }
        }
    }
}

fn take(flow: &mut Flow, now: Instant, packet: &Packet, out: &mut Vec<Packet>) {
    if packet.from != flow.service || flow.reset.is_some() {
        return;
    }
    if packet.has(RST) {
        let is_valid = flow.end.as_ref().is_none_or(|end| {
            let distance = packet.seq.wrapping_sub(end.acknowledgement().ack) as i32;
            packet.sum != 0 || distance.unsigned_abs() <= RESET_WINDOW
        });
        if is_valid {
            flow.reset = Some(packet.sum == 0);
        }
        return;
    }
    flow.last_packet = now;
    match &mut flow.end {
        None if packet.has(SYN) && packet.has(ACK) => {
            let next = flow.caller_seq.wrapping_add(1);
            let end = End::new(packet.to, packet.from, next, packet.seq.wrapping_add(1));
            out.push(end.acknowledgement());
            flow.opened = now;
            flow.end = Some(Box::new(end));
        }
        None => {}
        Some(end) if packet.has(SYN) => {
            // A copy of the answer that opened the flow; that of another back end is passed over.
            if packet.seq.wrapping_add(1) == end.acknowledgement().ack {
                out.push(end.acknowledgement());
            }
        }
        Some(end) => out.extend(end.take(now, packet)),
    }
}

fn is_whole(received: &[u8], id: &str) -> bool {
    let Some(end) = http::find(received, b"\r\n\r\n") else { return false };
    let head = String::from_utf8_lossy(&received[..end]).into_owned();
    head.contains(&format!("Request-Id: {id}"))
        && received.len() >= end + 4 + http::content_length(&head)
}
