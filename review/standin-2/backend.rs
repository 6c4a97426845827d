//! A back end beside an agent: flows over packets, heartbeats, a health page.

use crate::http;
use crate::net::{ACK, BOUNCED, End, FIN, Packet, RST, SYN, is_genuine};
use crate::record::Record;
use std::collections::HashMap;
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const HEARTBEAT: Duration = Duration::from_millis(1200);
const MOST_TRIES: u32 = 8;

type Key = (SocketAddrV4, SocketAddrV4);

enum Flow {
    HalfOpen { caller_seq: u32, seq: u32, resend_at: Instant, wait: Duration, tries: u32 },
    Open(Box<End>),
    Ended,
}

struct Job {
    due: Instant,
    key: Key,
    request: String,
}

#[derive(Default)]
struct State {
    flows: HashMap<Key, Flow>,
    jobs: Vec<Job>,
    is_leaving: bool,
    is_draining: bool,
    drain_acknowledged: bool,
    says_well: bool,
    has_ended: bool,
    /// When each opening packet of a flow was taken first, and the request that the flow brought.
    taken: HashMap<Key, Instant>,
    runs: Vec<(String, Instant, Instant)>,
    /// Heartbeats without an acknowledgement since the last one that had one.
    unacknowledged: u32,
}

struct Shared {
    name: String,
    service: String,
    app: SocketAddrV4,
    outbound: SocketAddrV4,
    control: SocketAddrV4,
    zone: String,
    capacity: u16,
    work: Duration,
    answer_bytes: usize,
    state: Mutex<State>,
    record: Record,
}

#[derive(Clone)]
pub struct Backend(Arc<Shared>);

#[derive(Clone)]
pub struct Place {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub app: SocketAddrV4,
    pub outbound: SocketAddrV4,
    pub control: SocketAddrV4,
    /// Requests that the back end works on at once.
    pub capacity: u16,
}

impl Backend {
    pub fn start(place: &Place, work: Duration, answer_bytes: usize, record: &Record) -> Backend {
        let backend = Backend(Arc::new(Shared {
            name: place.name.clone(),
            service: place.service.clone(),
            app: place.app,
            outbound: place.outbound,
            control: place.control,
            zone: place.zone.clone(),
            capacity: place.capacity,
            work,
            answer_bytes,
            state: Mutex::default(),
            record: record.clone(),
        }));
        let socket = UdpSocket::bind(place.app).expect("cannot bind the back end's packets");
        socket.set_read_timeout(Some(Duration::from_millis(2))).unwrap();
        let packets = backend.clone();
        std::thread::spawn(move || packets.run(&socket));
        let health = backend.clone();
        http::serve(place.app, move |_| {
            let state = health.0.state.lock().unwrap();
            if state.has_ended {
                return None;
            }
            let is_well = !(state.is_leaving || state.is_draining) || state.says_well;
            Some((if is_well { 200 } else { 503 }, "{}".to_owned()))
        });
        let heartbeats = backend.clone();
        std::thread::spawn(move || heartbeats.send_heartbeats());
        backend
    }

    /// From now on the health page answers that all is well, whatever is true.
    pub fn say_well(&self, says_well: bool) {
        self.0.state.lock().unwrap().says_well = says_well;
    }

    /// Sends `DELETE` without ever having said `draining`; no heartbeat follows. Returns when the
    /// agent has acknowledged it.
    pub fn leave(&self) -> Instant {
        self.0.state.lock().unwrap().is_leaving = true;
        let path = format!("/-/backends/{}", self.0.name);
        loop {
            let status = http::call(self.0.control, "DELETE", &path, "", Duration::from_secs(1));
            if status.is_some_and(|status| (200..300).contains(&status)) {
                self.0.record.line(&format!("{} DELETE acknowledged", self.0.name));
                return Instant::now();
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Says `draining` in each heartbeat from now on.
    pub fn drain(&self) {
        self.0.state.lock().unwrap().is_draining = true;
        self.0.record.line(&format!("{} says draining from now on", self.0.name));
    }

    pub fn drain_is_acknowledged(&self) -> bool {
        self.0.state.lock().unwrap().drain_acknowledged
    }

    pub fn end(&self) {
        let mut state = self.0.state.lock().unwrap();
        state.has_ended = true;
        state.flows.clear();
    }

    /// Whether it holds this flow as open.
    pub fn holds(&self, caller: SocketAddrV4, service: SocketAddrV4) -> bool {
        let state = self.0.state.lock().unwrap();
        !state.has_ended && matches!(state.flows.get(&(caller, service)), Some(Flow::Open(_)))
    }

    pub fn name(&self) -> &str {
        &self.0.name
    }

    /// Requests that ran: the id, when the flow's opening packet was taken, when it ran.
    pub fn runs(&self) -> Vec<(String, Instant, Instant)> {
        self.0.state.lock().unwrap().runs.clone()
    }

    /// Heartbeats in a row that its agent has not acknowledged.
    pub fn unacknowledged_heartbeats(&self) -> u32 {
        self.0.state.lock().unwrap().unacknowledged
    }

    fn send_heartbeats(&self) {
        for sequence in 1u64.. {
            let word = {
                let state = self.0.state.lock().unwrap();
                if state.has_ended || state.is_leaving {
                    return;
                }
                if state.is_draining { "draining" } else { "ready" }
            };
            let Shared { name, service, app, zone, control, capacity, .. } = &*self.0;
            let body = format!(
                r#"{{"service":"{service}","address":"{app}","zone":"{zone}","version":"v1","capacity":{capacity},"state":"{word}","warmup_left_ms":0,"sequence":{sequence}}}"#
            );
            let path = format!("/-/backends/{name}");
            let status = http::call(*control, "PUT", &path, &body, Duration::from_secs(1));
            let is_acknowledged = status.is_some_and(|status| (200..300).contains(&status));
            let mut state = self.0.state.lock().unwrap();
            match is_acknowledged {
                true => {
                    state.unacknowledged = 0;
                    state.drain_acknowledged |= word == "draining";
                }
                false => {
                    state.unacknowledged += 1;
                    self.0.record.line(&format!("{name} heartbeat {sequence}: no acknowledgement"));
                }
            }
            drop(state);
            std::thread::sleep(HEARTBEAT);
        }
    }

    fn run(&self, socket: &UdpSocket) {
        let mut buffer = [0; 2048];
        loop {
            let read = socket.recv_from(&mut buffer);
            let mut state = self.0.state.lock().unwrap();
            if state.has_ended {
                return;
            }
            let now = Instant::now();
            let mut out: Vec<Vec<u8>> = Vec::new();
            if let Ok((length, _)) = read {
                self.take(&mut state, now, &buffer[..length], &mut out);
            }
            self.work(&mut state, now);
            for flow in state.flows.values_mut() {
                if let Flow::Open(end) = flow {
                    out.extend(end.due(now).iter().map(Packet::write));
                }
            }
            state.flows.retain(|key, flow| match flow {
                Flow::HalfOpen { caller_seq, seq, resend_at, wait, tries } => {
                    if *resend_at <= now {
                        *tries += 1;
                        *wait = (*wait * 2).min(Duration::from_millis(1600));
                        *resend_at = now + *wait;
                        out.push(syn_ack(key, *caller_seq, *seq));
                    }
                    *tries <= MOST_TRIES
                }
                Flow::Open(end) => end.resends <= MOST_TRIES,
                Flow::Ended => true,
            });
            for flow in state.flows.values_mut() {
                if matches!(flow, Flow::Open(end) if end.is_over()) {
                    *flow = Flow::Ended;
                }
            }
            drop(state);
            for datagram in out {
                let _ = socket.send_to(&datagram, self.0.outbound);
            }
        }
    }

    fn take(&self, state: &mut State, now: Instant, bytes: &[u8], out: &mut Vec<Vec<u8>>) {
        let Some(packet) = Packet::read(bytes) else { return };
        if !is_genuine(bytes) || (packet.has(SYN) && packet.has(ACK)) {
            self.0.record.line(&format!("{} forged packet {packet:?}", self.0.name));
            return;
        }
        let key = (packet.from, packet.to);
        if packet.has(SYN) {
            match state.flows.get(&key) {
                Some(Flow::Open(end)) => return out.push(end.acknowledgement().write()),
                Some(Flow::HalfOpen { caller_seq, seq, .. }) if *caller_seq == packet.seq => {
                    return out.push(syn_ack(&key, *caller_seq, *seq));
                }
                _ => {}
            }
            let seq = random();
            let wait = Duration::from_millis(200);
            let (caller_seq, resend_at) = (packet.seq, now + wait);
            state.flows.insert(key, Flow::HalfOpen { caller_seq, seq, resend_at, wait, tries: 0 });
            state.taken.insert(key, now);
            return out.push(syn_ack(&key, caller_seq, seq));
        }
        if let Some(Flow::HalfOpen { caller_seq, seq, .. }) = state.flows.get(&key)
            && packet.has(ACK)
            && packet.ack == seq.wrapping_add(1)
        {
            let (seq, expected) = (seq.wrapping_add(1), caller_seq.wrapping_add(1));
            let end = End::new(key.1, key.0, seq, expected);
            self.0.record.line(&format!("{} flow {} open", self.0.name, key.0));
            state.flows.insert(key, Flow::Open(Box::new(end)));
        }
        let mut requests = Vec::new();
        match state.flows.get_mut(&key) {
            Some(Flow::Open(end)) => {
                if packet.has(RST) {
                    state.flows.insert(key, Flow::Ended);
                    return;
                }
                out.extend(end.take(now, &packet).iter().map(Packet::write));
                while let Some(request) = take_request(&mut end.received) {
                    requests.push(request);
                }
                if end.peer_finished {
                    end.finish();
                }
            }
            Some(Flow::Ended) if packet.has(FIN) => {
                let seq = packet.seq.wrapping_add(packet.data.len() as u32 + 1);
                out.push(Packet::new(key.1, key.0, ACK, packet.ack, seq).write());
            }
            Some(Flow::Ended) if !packet.data.is_empty() => {
                self.0.record.line(&format!("{} RST on ended flow {}", self.0.name, key.0));
                out.push(Packet::new(key.1, key.0, RST, packet.ack, 0).write());
            }
            Some(Flow::Ended) => {}
            _ => {
                let mut bounced = bytes.to_vec();
                bounced[14] |= BOUNCED;
                bounced[15] = 0;
                out.push(bounced);
            }
        }
        for request in requests {
            let taken = state.taken.get(&key).copied().unwrap_or(now);
            self.0.record.line(&format!("{} runs {request} of flow {}", self.0.name, key.0));
            state.runs.push((request.clone(), taken, now));
            state.jobs.push(Job { due: now + self.0.work, key, request });
        }
    }

    fn work(&self, state: &mut State, now: Instant) {
        let (done, rest) =
            std::mem::take(&mut state.jobs).into_iter().partition(|job| job.due <= now);
        state.jobs = rest;
        let done: Vec<Job> = done;
        for job in done {
            let body = "x".repeat(self.0.answer_bytes);
            let answer = format!(
                "HTTP/1.1 200 OK\r\nBackend-Signature: {}\r\nRequest-Id: {}\r\nContent-Length: {}\r\n\r\n{body}",
                self.0.name,
                job.request,
                body.len()
            );
            if let Some(Flow::Open(end)) = state.flows.get_mut(&job.key) {
                end.send(answer.as_bytes());
                self.0.record.line(&format!("{} answers {}", self.0.name, job.request));
                // A back end that leaves closes each flow after its next answer.
                if state.is_leaving || state.is_draining {
                    end.finish();
                }
            }
        }
    }
}

fn syn_ack(key: &Key, caller_seq: u32, seq: u32) -> Vec<u8> {
    Packet::new(key.1, key.0, SYN | ACK, seq, caller_seq.wrapping_add(1)).write()
}

/// Takes a whole request from what was received; returns its id.
fn take_request(received: &mut Vec<u8>) -> Option<String> {
    let end = http::find(received, b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&received[..end]).into_owned();
    let length = http::content_length(&head);
    if received.len() < end + length {
        return None;
    }
    received.drain(..end + length);
    let id = head.lines().find_map(|line| line.strip_prefix("Request-Id: "));
    Some(id.unwrap_or_default().to_owned())
}

pub fn random() -> u32 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish() as u32
}
