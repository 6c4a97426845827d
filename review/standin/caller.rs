//! Callers, and the routers in front of the balancers.

use crate::http;
use crate::ledger::{Ended, Flow, Ledger, Outcome, Reset};
use crate::packet::{ACK, FIN, Packet, RST, SYN};
use crate::record::Record;
use std::collections::HashMap;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// When a SYN and its copies are sent, and when the attempt ends.
const SYN_TIMES: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_400);
const FIRST_RETRY: Duration = Duration::from_millis(200);
const LONGEST_RETRY: Duration = Duration::from_millis(1_600);
/// A reset on an open flow counts if its number is this near to the caller's last acknowledgement.
const RESET_WINDOW: i32 = 76_800;
/// The routers ask each node this often whether it is ready.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const MAX_MISSED_PROBES: u32 = 2;
/// Deadline of a request.
const DEADLINE: Duration = Duration::from_millis(2_500);
const MAX_ATTEMPTS: u32 = 3;
const FIRST_PORT: u32 = 1_024;
const BODY_BYTES: usize = 900;
/// Number of different lengths of kept flows.
const LENGTH_SPREAD: u32 = 7;

#[derive(Clone, Copy)]
struct Target {
    ingress: SocketAddrV4,
    readiness: SocketAddrV4,
    is_in: bool,
    missed: u32,
}

struct Inner {
    socket: UdpSocket,
    address: SocketAddrV4,
    targets: Mutex<Vec<Target>>,
    inboxes: Mutex<HashMap<SocketAddrV4, Sender<(Packet, bool)>>>,
    next_port: AtomicU32,
    next_request: AtomicU64,
    stopped: AtomicBool,
    ledger: Ledger,
    record: Record,
}

#[derive(Clone)]
pub struct Callers {
    inner: Arc<Inner>,
}

impl Callers {
    /// `address` is the host of the callers and the port at which they receive packets.
    pub fn start(address: SocketAddrV4, ledger: Ledger, record: Record) -> Callers {
        let socket = UdpSocket::bind(address).expect("cannot listen for callers");
        socket.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
        let inner = Arc::new(Inner {
            socket,
            address,
            targets: Mutex::default(),
            inboxes: Mutex::default(),
            next_port: AtomicU32::new(0),
            next_request: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            ledger,
            record,
        });
        let callers = Callers { inner };
        let (receiving, probing) = (callers.clone(), callers.clone());
        std::thread::spawn(move || receiving.receive());
        std::thread::spawn(move || probing.probe());
        callers
    }

    pub fn add_balancer(&self, ingress: SocketAddrV4, readiness: SocketAddrV4) {
        let target = Target { ingress, readiness, is_in: false, missed: 0 };
        self.inner.targets.lock().unwrap().push(target);
    }

    pub fn balancers_in(&self) -> usize {
        self.inner.targets.lock().unwrap().iter().filter(|target| target.is_in).count()
    }

    pub fn stop(&self) {
        self.inner.stopped.store(true, Ordering::SeqCst);
    }

    fn is_stopped(&self) -> bool {
        self.inner.stopped.load(Ordering::SeqCst)
    }

    /// Sends requests with a flow each, `per_second` of them, until stopped.
    pub fn send_single_flows(&self, route: SocketAddrV4, per_second: u32) {
        let callers = self.clone();
        std::thread::spawn(move || {
            while !callers.is_stopped() {
                let single = callers.clone();
                std::thread::spawn(move || single.request(route));
                std::thread::sleep(Duration::from_secs(1) / per_second);
            }
        });
    }

    /// `count` callers that each keep a flow for several requests with pauses, until stopped. They
    /// begin within `spread`.
    pub fn send_on_kept_flows(
        &self,
        route: SocketAddrV4,
        count: u32,
        requests: u32,
        pause: Duration,
        spread: Duration,
    ) {
        for number in 0..count {
            let callers = self.clone();
            std::thread::spawn(move || {
                std::thread::sleep(spread * number / count);
                while !callers.is_stopped() {
                    callers.keep_flow(route, requests, pause);
                    std::thread::sleep(Duration::from_millis(20));
                }
            });
        }
    }

    /// One request on a flow of its own. It may not be repeated, so a next attempt is made only if
    /// the flow never opened or the back end has said that it did not run the request.
    pub fn request(&self, route: SocketAddrV4) -> Outcome {
        let number = self.next_number();
        let mut outcome = Outcome::NotOpened;
        for attempt in 0..MAX_ATTEMPTS {
            let id = format!("r{number}-{attempt}");
            let mut flow = OpenedFlow::prepare(self, route);
            outcome = match flow.open(&id) {
                Ok(()) => flow.exchange(&id),
                Err(outcome) => outcome,
            };
            flow.close();
            self.note(&id, outcome);
            if !matches!(outcome, Outcome::Refused | Outcome::NotOpened | Outcome::NotRun) {
                break;
            }
        }
        outcome
    }

    fn keep_flow(&self, route: SocketAddrV4, requests: u32, pause: Duration) {
        let mut flow = OpenedFlow::prepare(self, route);
        let mut id = format!("r{}-0", self.next_number());
        if let Err(outcome) = flow.open(&id) {
            return self.note(&id, outcome);
        }
        // Flows of different lengths, so that callers do not open theirs in step.
        let requests = requests + self.next_number() as u32 % LENGTH_SPREAD;
        for _ in 0..requests {
            let outcome = flow.exchange(&id);
            self.note(&id, outcome);
            if outcome != Outcome::Served || flow.is_closed || self.is_stopped() {
                break;
            }
            std::thread::sleep(pause);
            id = format!("r{}-0", self.next_number());
        }
        flow.close();
    }

    fn next_number(&self) -> u64 {
        self.inner.next_request.fetch_add(1, Ordering::SeqCst)
    }

    fn note(&self, id: &str, outcome: Outcome) {
        self.inner.record.line(&format!("caller: {id} {outcome:?}"));
        self.inner.ledger.note_ended(Ended { request: id.to_owned(), outcome });
    }

    fn receive(&self) {
        let mut buffer = [0; 2_048];
        loop {
            let Ok((length, _)) = self.inner.socket.recv_from(&mut buffer) else { continue };
            let Some((packet, is_own_form)) = Packet::read(&buffer[..length]) else {
                self.inner.ledger.note_changed("a packet that cannot be read reached a caller");
                continue;
            };
            let inbox = self.inner.inboxes.lock().unwrap().get(&packet.dst).cloned();
            if let Some(inbox) = inbox {
                let _ = inbox.send((packet, is_own_form));
            }
        }
    }

    /// Asks each balancer whether it is ready; one that misses two probes is out until it answers
    /// again.
    fn probe(&self) {
        loop {
            let targets = self.inner.targets.lock().unwrap().clone();
            for (index, target) in targets.iter().enumerate() {
                let answer =
                    http::call(target.readiness, "GET", "/-/readyz", "", PROBE_INTERVAL / 2);
                let is_ready = answer.is_some_and(|(status, _)| status == 200);
                let mut all = self.inner.targets.lock().unwrap();
                let known = &mut all[index];
                known.missed = if is_ready { 0 } else { known.missed + 1 };
                let is_in = is_ready || (known.is_in && known.missed < MAX_MISSED_PROBES);
                if is_in != known.is_in {
                    known.is_in = is_in;
                    self.inner
                        .record
                        .say(&format!("routers: {} is in: {is_in}", target.ingress.ip()));
                }
            }
            std::thread::sleep(PROBE_INTERVAL);
        }
    }

    /// Sends a packet to the balancer that the routers choose by a steady hash.
    fn send(&self, packet: &Packet) {
        let weight = |target: &Target| {
            let hasher: BuildHasherDefault<DefaultHasher> = BuildHasherDefault::default();
            hasher.hash_one((target.ingress, packet.src, packet.dst))
        };
        let to = {
            let targets = self.inner.targets.lock().unwrap();
            let any_in = targets.iter().any(|target| target.is_in);
            let eligible = targets.iter().filter(|target| target.is_in || !any_in);
            eligible.max_by_key(|target| weight(target)).map(|target| target.ingress)
        };
        if let Some(to) = to {
            let _ = self.inner.socket.send_to(&packet.write(), to);
        }
    }
}

/// One flow of a caller.
struct OpenedFlow {
    callers: Callers,
    name: Flow,
    inbox: Receiver<(Packet, bool)>,
    next: u32,
    acknowledged: u32,
    initial: u32,
    is_open: bool,
    is_closed: bool,
}

impl OpenedFlow {
    fn prepare(callers: &Callers, route: SocketAddrV4) -> OpenedFlow {
        let count = callers.inner.next_port.fetch_add(1, Ordering::SeqCst);
        let port = FIRST_PORT + count % (65_000 - FIRST_PORT);
        let caller = SocketAddrV4::new(*callers.inner.address.ip(), port as u16);
        let (sender, inbox) = channel();
        callers.inner.inboxes.lock().unwrap().insert(caller, sender);
        let name = Flow { caller, route };
        let next = count.wrapping_mul(0x9e37_79b9);
        let callers = callers.clone();
        OpenedFlow {
            callers,
            name,
            inbox,
            next,
            acknowledged: 0,
            initial: 0,
            is_open: false,
            is_closed: false,
        }
    }

    fn packet(&self, flags: u8, data: Vec<u8>) -> Packet {
        let Flow { caller, route } = self.name;
        Packet { src: caller, dst: route, flags, seq: self.next, ack: self.acknowledged, data }
    }

    fn open(&mut self, id: &str) -> Result<(), Outcome> {
        let started = Instant::now();
        let inner = self.callers.inner.clone();
        inner.record.line(&format!("caller: {id} on {}", self.name));
        for (copy, at) in SYN_TIMES.into_iter().enumerate() {
            let syn = Packet { ack: copy as u32, ..self.packet(SYN, Vec::new()) };
            inner.ledger.note_sent(self.name, copy as u32, inner.record.now());
            self.callers.send(&syn);
            let until = SYN_TIMES.get(copy + 1).copied().unwrap_or(ATTEMPT_TIMEOUT);
            debug_assert!(until > at);
            while let Some(left) = until.checked_sub(started.elapsed()) {
                let Ok((packet, _)) = self.inbox.recv_timeout(left) else { break };
                if packet.has(RST) {
                    return Err(Outcome::Refused);
                }
                if packet.has(SYN) && packet.has(ACK) && packet.ack == self.next.wrapping_add(1) {
                    self.next = self.next.wrapping_add(1);
                    self.initial = packet.seq;
                    self.acknowledged = packet.seq.wrapping_add(1);
                    self.is_open = true;
                    return Ok(());
                }
            }
        }
        Err(Outcome::NotOpened)
    }

    /// Sends a request and waits for the whole answer.
    fn exchange(&mut self, id: &str) -> Outcome {
        let started = Instant::now();
        let body = "x".repeat(BODY_BYTES);
        let text = format!(
            "POST /pay HTTP/1.1\r\nHost: a\r\nRequest-Id: {id}\r\nContent-Length: {BODY_BYTES}\r\n\r\n{body}"
        );
        let request = self.packet(ACK, text.into_bytes());
        let end = self.next.wrapping_add(request.data.len() as u32);
        self.callers.send(&request);
        let (mut wait, mut is_received) = (FIRST_RETRY, false);
        let mut retry_at = Instant::now() + wait;
        loop {
            let now = Instant::now();
            if started.elapsed() >= DEADLINE {
                return Outcome::Unanswered;
            }
            if !is_received && now >= retry_at {
                self.callers.send(&request);
                wait = (wait * 2).min(LONGEST_RETRY);
                retry_at = now + wait;
            }
            let left = retry_at
                .saturating_duration_since(now)
                .min(DEADLINE - started.elapsed().min(DEADLINE));
            let left = left.max(Duration::from_millis(1));
            let Ok((packet, is_own_form)) = self.inbox.recv_timeout(left) else { continue };
            if packet.has(RST) {
                let distance = packet.seq.wrapping_sub(self.acknowledged).cast_signed();
                if distance.abs() <= RESET_WINDOW {
                    return self.note_reset(id, is_own_form);
                }
                continue;
            }
            if !is_own_form {
                self.callers
                    .inner
                    .ledger
                    .note_changed("a packet with a wrong sum reached a caller");
            }
            is_received |= packet.ack == end;
            if packet.data.is_empty() || packet.seq != self.acknowledged {
                continue;
            }
            self.next = end;
            self.acknowledged = self.acknowledged.wrapping_add(packet.data.len() as u32);
            if packet.has(FIN) {
                self.acknowledged = self.acknowledged.wrapping_add(1);
                self.is_closed = true;
            }
            self.callers.send(&self.packet(ACK, Vec::new()));
            let answer = String::from_utf8_lossy(&packet.data).into_owned();
            if answer.starts_with("HTTP/1.1 503 ") && answer.contains("\r\nNot-Executed: ") {
                return Outcome::NotRun;
            }
            let is_whole = answer.ends_with(&format!("\r\n\r\ndone {id}"));
            let is_signed = answer.contains("\r\nBackend-Signature: ");
            return if is_whole && is_signed { Outcome::Served } else { Outcome::Mixed };
        }
    }

    fn note_reset(&mut self, id: &str, is_own_form: bool) -> Outcome {
        let inner = &self.callers.inner;
        let reset = Reset {
            flow: self.name,
            initial: self.initial,
            at: inner.record.now(),
            is_of_system: !is_own_form,
            request: id.to_owned(),
        };
        self.is_closed = true;
        inner.record.line(&format!("caller: {id} got a reset on the open flow {}", self.name));
        inner.ledger.note_reset(reset);
        Outcome::Reset
    }

    fn close(&mut self) {
        if self.is_open {
            self.callers.send(&self.packet(ACK | FIN, Vec::new()));
        }
        self.callers.inner.inboxes.lock().unwrap().remove(&self.name.caller);
    }
}
