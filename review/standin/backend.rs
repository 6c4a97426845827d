//! A back end on a `side` machine: the far end of flows, its health page and its heartbeats.

use crate::http;
use crate::ledger::{Flow as FlowName, Ledger};
use crate::packet::{ACK, BOUNCED, FIN, Packet, RST, SYN};
use crate::record::Record;
use std::collections::HashMap;
use std::net::{SocketAddrV4, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Heartbeats come about this often (`heartbeat_ms`).
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);
/// An acknowledgement of a heartbeat counts if it comes within a second.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Anything missing is sent again after this time, which doubles up to the longest wait.
const FIRST_RETRY: Duration = Duration::from_millis(200);
const LONGEST_RETRY: Duration = Duration::from_millis(1_600);
const MAX_RETRIES: u32 = 8;
const TICK: Duration = Duration::from_millis(10);
/// A packet that acknowledges more than this beyond the initial number is of another flow.
const MAX_SPAN: u32 = 1 << 24;
const CAPACITY: u32 = 5;
/// Requests that wait for a slot at most.
const QUEUE: u32 = 20;
/// The answer to a request that was not run since too many wait.
const REFUSAL: &str =
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
/// A back end is slow for this long after its start, and says so; here it is only said.
const WARM_UP: Duration = Duration::from_secs(2);

#[derive(Clone)]
pub struct Place {
    pub service: String,
    pub zone: String,
    pub app: SocketAddrV4,
    pub outbound: SocketAddrV4,
    pub control: SocketAddrV4,
}

struct Flow {
    initial: u32,
    caller_initial: u32,
    next: u32,
    caller_next: u32,
    is_open: bool,
    has_ended: bool,
    unacknowledged: Option<Retry>,
}

/// Requests in work, and those that wait for a slot.
#[derive(Default)]
struct Load {
    working: u32,
    waiting: u32,
}

enum Slot {
    Taken,
    Full,
    Ended,
}

struct Retry {
    bytes: Vec<u8>,
    at: Instant,
    wait: Duration,
    tries: u32,
}

struct Inner {
    id: String,
    started: Instant,
    place: Place,
    work: Duration,
    /// Closed when the back end ends.
    socket: Mutex<Option<Arc<UdpSocket>>>,
    flows: Mutex<HashMap<FlowName, Flow>>,
    load: Mutex<Load>,
    slot_freed: Condvar,
    sequence: AtomicU64,
    is_leaving: AtomicBool,
    sends_heartbeats: AtomicBool,
    stopped: Arc<AtomicBool>,
    ledger: Ledger,
    record: Record,
}

/// One start of a back end. It ends without a word when [`Backend::end`] is called.
#[derive(Clone)]
pub struct Backend {
    inner: Arc<Inner>,
}

impl Backend {
    /// Starts a back end. Its heartbeats go out by themselves if `sends_heartbeats` is set.
    pub fn start(
        id: &str,
        place: Place,
        work: Duration,
        sends_heartbeats: bool,
        ledger: Ledger,
        record: Record,
    ) -> Backend {
        let socket = retry(|| UdpSocket::bind(place.app));
        socket.set_read_timeout(Some(TICK)).unwrap();
        let listener = retry(|| TcpListener::bind(place.app));
        let inner = Arc::new(Inner {
            id: id.to_owned(),
            started: Instant::now(),
            place,
            work,
            socket: Mutex::new(Some(Arc::new(socket))),
            flows: Mutex::default(),
            load: Mutex::default(),
            slot_freed: Condvar::new(),
            sequence: AtomicU64::new(0),
            is_leaving: AtomicBool::new(false),
            sends_heartbeats: AtomicBool::new(sends_heartbeats),
            stopped: Arc::default(),
            ledger,
            record,
        });
        let health = inner.clone();
        http::serve(listener, inner.stopped.clone(), move |request| {
            let is_healthy = !health.is_leaving.load(Ordering::SeqCst);
            let status = if is_healthy { 200 } else { 503 };
            health
                .record
                .line(&format!("{}: {} {} -> {status}", health.id, request.method, request.path));
            (status, String::new())
        });
        let backend = Backend { inner };
        backend.inner.ledger.note_start(id, backend.inner.record.now());
        backend.inner.record.say(&format!("back end {id} starts at {}", backend.inner.place.app));
        let packets = backend.clone();
        std::thread::spawn(move || packets.exchange_packets());
        let heartbeats = backend.clone();
        std::thread::spawn(move || heartbeats.send_heartbeats());
        backend
    }

    pub fn id(&self) -> &str {
        &self.inner.id
    }

    /// The process ends; its flows are gone.
    pub fn end(&self) {
        self.inner.stopped.store(true, Ordering::SeqCst);
        drop(self.inner.socket.lock().unwrap().take());
        self.inner.ledger.note_end(&self.inner.id, self.inner.record.now());
        self.inner.record.say(&format!("back end {} ends", self.inner.id));
        // The ports close once the threads that read them have noticed.
        std::thread::sleep(TICK * 5);
    }

    fn send_heartbeats(&self) {
        while !self.inner.stopped.load(Ordering::SeqCst) {
            if self.inner.sends_heartbeats.load(Ordering::SeqCst) {
                let heartbeat = self.next_heartbeat();
                self.send_heartbeat(&heartbeat);
            }
            std::thread::sleep(HEARTBEAT_INTERVAL);
        }
    }

    /// The heartbeat that is sent next.
    pub fn next_heartbeat(&self) -> Heartbeat {
        let Inner { id, place, .. } = &*self.inner;
        let sequence = self.inner.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let warm_up_left = WARM_UP.saturating_sub(self.inner.started.elapsed()).as_millis();
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"capacity\":{CAPACITY},\"state\":\"ready\",\"warmup_left_ms\":{warm_up_left},\
             \"sequence\":{sequence}}}",
            place.service, place.app, place.zone
        );
        Heartbeat { id: id.clone(), body, sequence }
    }

    pub fn send_heartbeat(&self, heartbeat: &Heartbeat) -> bool {
        let Heartbeat { id, body, sequence } = heartbeat;
        let path = format!("/-/backends/{id}");
        let control = self.inner.place.control;
        let answer = http::call(control, "PUT", &path, body, ACKNOWLEDGEMENT_TIMEOUT);
        let status = answer.map(|(status, _)| status);
        self.inner
            .record
            .line(&format!("{id}: PUT {path} ready sequence {sequence} -> {status:?}"));
        status.is_some_and(|status| (200..300).contains(&status))
    }

    /// Sends `DELETE` first, without ever having said `draining`, and no heartbeat after it.
    /// Returns when it was acknowledged.
    pub fn say_goodbye(&self) -> Option<f64> {
        self.inner.sends_heartbeats.store(false, Ordering::SeqCst);
        self.inner.is_leaving.store(true, Ordering::SeqCst);
        let id = &self.inner.id;
        let path = format!("/-/backends/{id}");
        let control = self.inner.place.control;
        let answer = http::call(control, "DELETE", &path, "", ACKNOWLEDGEMENT_TIMEOUT);
        let status = answer.map(|(status, _)| status);
        self.inner.record.say(&format!("{id}: DELETE {path} -> {status:?}"));
        status.filter(|status| (200..300).contains(status)).map(|_| self.inner.record.now())
    }

    /// Keeps the heartbeats back that would follow.
    pub fn pause_heartbeats(&self) {
        self.inner.sends_heartbeats.store(false, Ordering::SeqCst);
    }

    fn exchange_packets(&self) {
        let mut buffer = [0; 2_048];
        let Some(socket) = self.inner.socket.lock().unwrap().clone() else { return };
        while !self.inner.stopped.load(Ordering::SeqCst) {
            if let Ok((length, _)) = socket.recv_from(&mut buffer) {
                self.take_packet(&buffer[..length]);
            }
            self.send_again();
        }
    }

    fn send(&self, bytes: &[u8]) {
        if let Some(socket) = self.inner.socket.lock().unwrap().as_ref() {
            let _ = socket.send_to(bytes, self.inner.place.outbound);
        }
    }

    fn bounce(&self, bytes: &[u8]) {
        let mut bytes = bytes.to_vec();
        bytes[14] |= BOUNCED;
        self.send(&bytes);
    }

    fn take_packet(&self, bytes: &[u8]) {
        let Some((packet, is_own_form)) = Packet::read(bytes) else {
            return self
                .inner
                .ledger
                .note_changed("a packet that cannot be read reached a back end");
        };
        if !is_own_form {
            self.inner.ledger.note_changed("a packet with a wrong sum reached a back end");
        }
        let name = FlowName { caller: packet.src, route: packet.dst };
        if packet.has(SYN) {
            return self.take_syn(name, &packet);
        }
        let mut flows = self.inner.flows.lock().unwrap();
        let flow = flows.get_mut(&name);
        let Some(flow) = flow.filter(|flow| packet.ack.wrapping_sub(flow.initial) < MAX_SPAN)
        else {
            return self.bounce(bytes);
        };
        let answer = |flow: &Flow, flags: u8| Packet {
            src: name.route,
            dst: name.caller,
            flags,
            seq: flow.next,
            ack: flow.caller_next,
            data: Vec::new(),
        };
        if flow.has_ended {
            let flags = if packet.data.is_empty() { ACK } else { RST };
            if packet.has(FIN) || !packet.data.is_empty() {
                self.send(&answer(flow, flags).write());
            }
            return;
        }
        if !flow.is_open {
            flow.is_open = true;
            self.inner.ledger.note_open(
                name,
                flow.initial,
                &self.inner.id,
                self.inner.record.now(),
            );
        }
        if packet.ack == flow.next {
            flow.unacknowledged = None;
        }
        if !packet.data.is_empty() {
            if packet.seq == flow.caller_next {
                flow.caller_next = flow.caller_next.wrapping_add(packet.data.len() as u32);
                self.begin_work(name, flow.initial, packet.data.clone());
            }
            self.send(&answer(flow, ACK).write());
        }
        if packet.has(FIN) {
            flow.caller_next = packet.seq.wrapping_add(packet.data.len() as u32).wrapping_add(1);
            flow.has_ended = true;
            flow.unacknowledged = None;
            self.send(&answer(flow, ACK | FIN).write());
        }
    }

    fn take_syn(&self, name: FlowName, packet: &Packet) {
        let mut flows = self.inner.flows.lock().unwrap();
        let known =
            flows.get(&name).filter(|flow| flow.caller_initial == packet.seq && !flow.has_ended);
        let initial =
            known.map_or_else(|| random(name, self.inner.record.now()), |flow| flow.initial);
        if known.is_none() {
            let flow = Flow {
                initial,
                caller_initial: packet.seq,
                next: initial.wrapping_add(1),
                caller_next: packet.seq.wrapping_add(1),
                is_open: false,
                has_ended: false,
                unacknowledged: None,
            };
            flows.insert(name, flow);
        }
        self.inner.ledger.note_syn(name, packet.ack, &self.inner.id, self.inner.record.now());
        let answer = Packet {
            src: name.route,
            dst: name.caller,
            flags: SYN | ACK,
            seq: initial,
            ack: packet.seq.wrapping_add(1),
            data: Vec::new(),
        };
        self.send(&answer.write());
    }

    /// Works on a request once a slot is free, or refuses it if too many wait.
    fn begin_work(&self, name: FlowName, initial: u32, data: Vec<u8>) {
        let text = String::from_utf8_lossy(&data).into_owned();
        let id = text.lines().find_map(|line| line.strip_prefix("Request-Id: "));
        let id = id.unwrap_or("?").to_owned();
        let backend = self.clone();
        std::thread::spawn(move || {
            match backend.take_slot() {
                Slot::Taken => {}
                Slot::Full => return backend.answer(name, initial, REFUSAL.to_owned()),
                Slot::Ended => return,
            }
            backend.inner.record.line(&format!("{}: runs {id} of {name}", backend.inner.id));
            backend.inner.ledger.note_run(&id, &backend.inner.id, backend.inner.record.now());
            std::thread::sleep(backend.inner.work);
            backend.inner.load.lock().unwrap().working -= 1;
            backend.inner.slot_freed.notify_one();
            if !backend.inner.stopped.load(Ordering::SeqCst) {
                let body = format!("done {id}");
                let text = format!(
                    "HTTP/1.1 200 OK\r\nBackend-Signature: {}\r\nContent-Length: {}\r\n\r\n{body}",
                    backend.inner.id,
                    body.len()
                );
                backend.answer(name, initial, text);
            }
        });
    }

    fn take_slot(&self) -> Slot {
        let mut load = self.inner.load.lock().unwrap();
        if load.working >= CAPACITY && load.waiting >= QUEUE {
            return Slot::Full;
        }
        load.waiting += 1;
        while load.working >= CAPACITY && !self.inner.stopped.load(Ordering::SeqCst) {
            load = self.inner.slot_freed.wait_timeout(load, TICK).unwrap().0;
        }
        load.waiting -= 1;
        if self.inner.stopped.load(Ordering::SeqCst) {
            return Slot::Ended;
        }
        load.working += 1;
        Slot::Taken
    }

    fn answer(&self, name: FlowName, initial: u32, text: String) {
        let mut flows = self.inner.flows.lock().unwrap();
        let Some(flow) = flows.get_mut(&name).filter(|flow| flow.initial == initial) else {
            return;
        };
        // A back end that leaves closes each flow after its next answer.
        let is_last = self.inner.is_leaving.load(Ordering::SeqCst);
        let packet = Packet {
            src: name.route,
            dst: name.caller,
            flags: ACK | if is_last { FIN } else { 0 },
            seq: flow.next,
            ack: flow.caller_next,
            data: text.into_bytes(),
        };
        flow.next = flow.next.wrapping_add(packet.data.len() as u32 + u32::from(is_last));
        let bytes = packet.write();
        self.send(&bytes);
        let at = Instant::now() + FIRST_RETRY;
        flow.unacknowledged = Some(Retry { bytes, at, wait: FIRST_RETRY, tries: 0 });
    }

    fn send_again(&self) {
        for flow in self.inner.flows.lock().unwrap().values_mut() {
            let Some(retry) =
                flow.unacknowledged.as_mut().filter(|retry| retry.at <= Instant::now())
            else {
                continue;
            };
            retry.tries += 1;
            retry.wait = (retry.wait * 2).min(LONGEST_RETRY);
            retry.at = Instant::now() + retry.wait;
            self.send(&retry.bytes);
            if retry.tries >= MAX_RETRIES {
                flow.unacknowledged = None;
            }
        }
    }
}

/// A heartbeat as it was written; it may be sent later.
pub struct Heartbeat {
    id: String,
    body: String,
    pub sequence: u64,
}

fn retry<T>(bind: impl Fn() -> std::io::Result<T>) -> T {
    for _ in 0..200 {
        if let Ok(bound) = bind() {
            return bound;
        }
        std::thread::sleep(TICK);
    }
    panic!("the address of a back end stays in use");
}

/// An initial sequence number that differs between back ends, flows and starts.
fn random(name: FlowName, now: f64) -> u32 {
    use std::hash::{BuildHasher, RandomState};
    RandomState::new().hash_one((name, now.to_bits())) as u32
}
