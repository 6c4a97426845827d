//! The simulated platform: key-value store and machine list over HTTP, with fault injection.
//!
//! One task owns the state. `PUT /standin/faults` with a JSON [`Faults`] object changes the
//! faults, `GET /standin/faults` returns them, `GET /standin/watchers` counts the open watches.

use crate::key_value::{Change, KeyValueStore, watch_response};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Method, Request, Response, StatusCode};
use loftdrift_http::{HttpResponse, ResponseBody, json_response, text_response};
use loftdrift_store::etcd::{self, WatchCreateRequest, WatchLine, WatchRequest, WatchResponse};
use loftdrift_store::{Machine, MachineList};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

const MESSAGE_QUEUE_CAPACITY: usize = 1_024;
const WATCH_QUEUE_CAPACITY: usize = 1_024;
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
const LEASE_EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

/// Injected faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay of every request, in milliseconds.
    pub delay_ms: u64,
    /// Every request fails with status 503, and open watches are closed.
    pub outage: bool,
    /// Requests never get a response, and open watches are closed.
    pub silent: bool,
    /// Every n-th write takes effect but its connection is closed without a response; 0 for none.
    pub lose_every: u64,
    /// Maximum requests per second; further ones fail with status 429. 0 for no limit.
    pub requests_per_second: u64,
    /// Delay until changes of the machine list become visible, in milliseconds.
    pub machine_lag_ms: u64,
}

/// How a request is handled, depending on the faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Admission {
    Serve,
    Unavailable,
    RateLimited,
    NeverRespond,
}

enum Message {
    Admit(oneshot::Sender<(Admission, Duration)>),
    /// Asks whether the response to the current write must be dropped.
    LoseResponse(oneshot::Sender<bool>),
    Range(etcd::RangeRequest, oneshot::Sender<etcd::RangeResponse>),
    Put(etcd::PutRequest, oneshot::Sender<etcd::PlainResponse>),
    Transact(etcd::TxnRequest, oneshot::Sender<etcd::TxnResponse>),
    Grant(etcd::LeaseGrantRequest, oneshot::Sender<etcd::LeaseResponse>),
    KeepAlive(etcd::LeaseRequest, oneshot::Sender<etcd::LeaseResponse>),
    Revoke(etcd::LeaseRequest, oneshot::Sender<etcd::PlainResponse>),
    Watch(WatchCreateRequest, mpsc::Sender<WatchResponse>),
    Machines(oneshot::Sender<MachineList>),
    PutMachine(Machine, oneshot::Sender<()>),
    Faults(oneshot::Sender<Faults>),
    SetFaults(Faults, oneshot::Sender<Faults>),
    Watchers(oneshot::Sender<usize>),
}

struct Watcher {
    request: WatchCreateRequest,
    sender: mpsc::Sender<WatchResponse>,
}

struct ListedMachine {
    visible_at: Duration,
    machine: Machine,
}

struct Platform {
    started: Instant,
    store: KeyValueStore,
    watchers: Vec<Watcher>,
    /// Entries per machine name, in the order in which they were written.
    machines: BTreeMap<String, Vec<ListedMachine>>,
    faults: Faults,
    writes: u64,
    /// Whole seconds since the start.
    current_second: u64,
    /// Requests since the start of `current_second`, for the rate limit.
    requests_this_second: u64,
}

/// Serves the platform on a listener until the future is dropped.
pub async fn serve(listener: TcpListener, faults: Faults) {
    let (sender, messages) = mpsc::channel(MESSAGE_QUEUE_CAPACITY);
    let state_task = tokio::spawn(run(messages, faults));
    loftdrift_http::serve(listener, move |request| handle(request, sender.clone())).await;
    state_task.abort();
}

async fn run(mut messages: mpsc::Receiver<Message>, faults: Faults) {
    let mut platform = Platform {
        started: Instant::now(),
        store: KeyValueStore::default(),
        watchers: Vec::new(),
        machines: BTreeMap::new(),
        faults,
        writes: 0,
        current_second: 0,
        requests_this_second: 0,
    };
    let mut expiry = tokio::time::interval(LEASE_EXPIRY_INTERVAL);
    loop {
        tokio::select! {
            message = messages.recv() => match message {
                Some(message) => platform.handle_message(message),
                None => return,
            },
            _ = expiry.tick() => {
                for change in platform.store.expire(platform.started.elapsed()) {
                    platform.notify_watchers(Some(change));
                }
            }
        }
    }
}

impl Platform {
    fn handle_message(&mut self, message: Message) {
        let now = self.started.elapsed();
        // Sending a reply fails when the requester has gone, and then it is not needed.
        match message {
            Message::Admit(reply) => {
                let admission = self.admit(now);
                let _ = reply.send((admission, Duration::from_millis(self.faults.delay_ms)));
            }
            Message::LoseResponse(reply) => {
                self.writes += 1;
                let every = self.faults.lose_every;
                let _ = reply.send(every != 0 && self.writes.is_multiple_of(every));
            }
            Message::Range(request, reply) => drop(reply.send(self.store.range(&request))),
            Message::Put(request, reply) => {
                let (response, change) = self.store.put(request);
                self.notify_watchers(change);
                let _ = reply.send(response);
            }
            Message::Transact(request, reply) => {
                let (response, change) = self.store.transact(request);
                self.notify_watchers(change);
                let _ = reply.send(response);
            }
            Message::Grant(request, reply) => drop(reply.send(self.store.grant(now, &request))),
            Message::KeepAlive(request, reply) => {
                let _ = reply.send(self.store.keep_alive(now, request.id.0));
            }
            Message::Revoke(request, reply) => {
                let (response, change) = self.store.revoke(request.id.0);
                self.notify_watchers(change);
                let _ = reply.send(response);
            }
            Message::Watch(request, sender) => self.watch(request, sender),
            Message::Machines(reply) => drop(reply.send(self.visible_machines(now))),
            Message::PutMachine(machine, reply) => {
                self.put_machine(now, machine);
                let _ = reply.send(());
            }
            Message::Watchers(reply) => {
                self.watchers.retain(|watcher| !watcher.sender.is_closed());
                let _ = reply.send(self.watchers.len());
            }
            Message::Faults(reply) => drop(reply.send(self.faults)),
            Message::SetFaults(faults, reply) => {
                self.faults = faults;
                if faults.outage || faults.silent {
                    self.watchers.clear();
                }
                let _ = reply.send(faults);
            }
        }
    }

    fn admit(&mut self, now: Duration) -> Admission {
        if self.current_second != now.as_secs() {
            self.current_second = now.as_secs();
            self.requests_this_second = 0;
        }
        self.requests_this_second += 1;
        let limit = self.faults.requests_per_second;
        if self.faults.silent {
            Admission::NeverRespond
        } else if self.faults.outage {
            Admission::Unavailable
        } else if limit != 0 && self.requests_this_second > limit {
            Admission::RateLimited
        } else {
            Admission::Serve
        }
    }

    fn watch(&mut self, request: WatchCreateRequest, sender: mpsc::Sender<WatchResponse>) {
        for response in self.store.start_watch(&request) {
            if sender.try_send(response).is_err() {
                return;
            }
        }
        self.watchers.push(Watcher { request, sender });
    }

    /// Sends a change to the watches it concerns. A watcher whose queue is full is closed, as in
    /// etcd.
    fn notify_watchers(&mut self, change: Option<Change>) {
        let Some(change) = change else { return };
        self.watchers.retain(|watcher| match watch_response(&change, &watcher.request) {
            Some(response) => watcher.sender.try_send(response).is_ok(),
            None => !watcher.sender.is_closed(),
        });
    }

    fn put_machine(&mut self, now: Duration, machine: Machine) {
        let visible_at = now + Duration::from_millis(self.faults.machine_lag_ms);
        let entries = self.machines.entry(machine.name.clone()).or_default();
        entries.push(ListedMachine { visible_at, machine });
    }

    fn visible_machines(&self, now: Duration) -> MachineList {
        let newest = |entries: &Vec<ListedMachine>| {
            let mut visible = entries.iter().rev();
            visible.find(|entry| entry.visible_at <= now).map(|entry| entry.machine.clone())
        };
        MachineList { machines: self.machines.values().filter_map(newest).collect() }
    }
}

async fn handle(
    request: Request<Incoming>,
    platform: mpsc::Sender<Message>,
) -> Option<HttpResponse> {
    let path = request.uri().path().to_owned();
    if path == "/standin/faults" {
        return handle_faults(request, &platform).await;
    }
    if path == "/standin/watchers" {
        return Some(json_response(StatusCode::OK, &call(&platform, Message::Watchers).await?));
    }
    let (admission, delay) = call(&platform, Message::Admit).await?;
    tokio::time::sleep(delay).await;
    match admission {
        Admission::Serve => {}
        Admission::Unavailable => {
            return Some(text_response(StatusCode::SERVICE_UNAVAILABLE, "outage"));
        }
        Admission::RateLimited => {
            return Some(text_response(StatusCode::TOO_MANY_REQUESTS, "rate limit"));
        }
        Admission::NeverRespond => std::future::pending::<()>().await,
    }
    let method = request.method().clone();
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await.ok()?.to_bytes();
    match (method, path.as_str()) {
        (Method::POST, etcd::RANGE_PATH) => respond(&platform, &body, Message::Range).await,
        (Method::POST, etcd::PUT_PATH) => mutate(&platform, &body, Message::Put).await,
        (Method::POST, etcd::TXN_PATH) => mutate(&platform, &body, Message::Transact).await,
        (Method::POST, etcd::LEASE_GRANT_PATH) => mutate(&platform, &body, Message::Grant).await,
        (Method::POST, etcd::LEASE_KEEP_ALIVE_PATH) => {
            respond(&platform, &body, Message::KeepAlive).await
        }
        (Method::POST, etcd::LEASE_REVOKE_PATH) => mutate(&platform, &body, Message::Revoke).await,
        (Method::POST, etcd::WATCH_PATH) => watch(&platform, &body).await,
        (Method::GET, "/machines") => {
            Some(json_response(StatusCode::OK, &call(&platform, Message::Machines).await?))
        }
        (Method::PUT, "/machines") => respond(&platform, &body, Message::PutMachine).await,
        _ => Some(text_response(StatusCode::NOT_FOUND, "no such path")),
    }
}

async fn handle_faults(
    request: Request<Incoming>,
    platform: &mpsc::Sender<Message>,
) -> Option<HttpResponse> {
    if request.method() != Method::PUT {
        return Some(json_response(StatusCode::OK, &call(platform, Message::Faults).await?));
    }
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await.ok()?.to_bytes();
    respond(platform, &body, Message::SetFaults).await
}

/// Sends a message with a reply channel to the platform's task and waits for the reply.
async fn call<A>(
    platform: &mpsc::Sender<Message>,
    message: impl FnOnce(oneshot::Sender<A>) -> Message,
) -> Option<A> {
    let (reply, response) = oneshot::channel();
    platform.send(message(reply)).await.ok()?;
    response.await.ok()
}

/// Parses a request body, sends it to the platform's task and returns the reply as JSON.
async fn respond<Q: DeserializeOwned, A: Serialize>(
    platform: &mpsc::Sender<Message>,
    body: &Bytes,
    message: impl FnOnce(Q, oneshot::Sender<A>) -> Message,
) -> Option<HttpResponse> {
    let request = match serde_json::from_slice(body) {
        Ok(request) => request,
        Err(error) => return Some(text_response(StatusCode::BAD_REQUEST, error.to_string())),
    };
    let response = call(platform, |reply| message(request, reply)).await?;
    Some(json_response(StatusCode::OK, &response))
}

/// Like [`respond`], for writes: the response may be dropped after the write took effect, depending
/// on the faults.
async fn mutate<Q: DeserializeOwned, A: Serialize>(
    platform: &mpsc::Sender<Message>,
    body: &Bytes,
    message: impl FnOnce(Q, oneshot::Sender<A>) -> Message,
) -> Option<HttpResponse> {
    let response = respond(platform, body, message).await?;
    let lost = call(platform, Message::LoseResponse).await?;
    (!lost).then_some(response)
}

async fn watch(platform: &mpsc::Sender<Message>, body: &Bytes) -> Option<HttpResponse> {
    let request: WatchRequest = match serde_json::from_slice(body) {
        Ok(request) => request,
        Err(error) => return Some(text_response(StatusCode::BAD_REQUEST, error.to_string())),
    };
    let (sender, responses) = mpsc::channel(WATCH_QUEUE_CAPACITY);
    platform.send(Message::Watch(request.create_request, sender)).await.ok()?;
    Some(Response::new(stream_lines(responses)))
}

fn stream_lines(responses: mpsc::Receiver<WatchResponse>) -> ResponseBody {
    let lines = WatchLineStream { responses };
    http_body_util::BodyExt::boxed(StreamBody::new(lines))
}

struct WatchLineStream {
    responses: mpsc::Receiver<WatchResponse>,
}

impl futures_core::Stream for WatchLineStream {
    type Item = Result<Frame<Bytes>, std::io::Error>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.responses.poll_recv(context).map(|response| {
            let line = WatchLine { result: response? };
            // Serializing plain data with string keys cannot fail.
            let mut bytes = serde_json::to_vec(&line).unwrap_or_default();
            bytes.push(b'\n');
            Some(Ok(Frame::data(Bytes::from(bytes))))
        })
    }
}
