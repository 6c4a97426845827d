//! A simulated back end: an HTTP/1.1 server with a limited number of request slots, a bounded
//! queue, slower processing after its start and a load endpoint whose value is out of date.
//!
//! | request | response |
//! |---|---|
//! | `GET /bytes/SIZE?seed=N` | `SIZE` pseudo-random bytes derived from the seed |
//! | `POST /submit` | the ID from `x-request-id`, once the request has run |
//! | `GET /load` | number of admitted requests some time ago |
//! | `GET /standin/executions` | each request that ran, and how often it ran |
//!
//! When the queue is full, a request is rejected immediately with status 503 and does not run.

use crate::content::Content;
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use loftdrift_http::{HttpResponse, json_response, text_response};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::Instant;

/// ID of a request, used to record which requests ran.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
/// Name of the service that responded.
pub const SERVICE_HEADER: HeaderName = HeaderName::from_static("x-service");
/// Name of the back end that responded.
pub const BACKEND_HEADER: HeaderName = HeaderName::from_static("x-backend");

const EXECUTION_LOG_QUEUE_CAPACITY: usize = 1_024;
const MAX_BODY_BYTES: u64 = 1 << 32;
/// Factor by which requests take longer during the cold start.
const COLD_WORK_FACTOR: u32 = 3;
const RETRY_AFTER_SECONDS: HeaderValue = HeaderValue::from_static("1");

/// Settings of a simulated back end.
#[derive(Clone, Debug)]
pub struct BackendSettings {
    /// Name of the service, sent with every response.
    pub service: String,
    /// Name of the back end, sent with every response.
    pub name: String,
    /// Maximum number of requests that run concurrently.
    pub slots: usize,
    /// Maximum number of requests that wait for a slot.
    pub queue_capacity: u64,
    /// How long a request runs.
    pub work_duration: Duration,
    /// Duration of the cold start, during which requests run longer.
    pub cold_start: Duration,
    /// Age of the value that the load endpoint returns.
    pub load_lag: Duration,
}

/// How often a request ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// The request's ID.
    pub request: String,
    /// How often it ran.
    pub runs: u64,
}

/// Messages to the task that owns the record of executed requests.
enum ExecutionLogMessage {
    Record(String),
    List(oneshot::Sender<Vec<Execution>>),
}

#[derive(Clone)]
struct Backend {
    settings: Arc<BackendSettings>,
    started: Instant,
    slots: Arc<Semaphore>,
    admitted_requests: Arc<AtomicU64>,
    execution_log: mpsc::Sender<ExecutionLogMessage>,
    published_load: Arc<AtomicU64>,
}

/// Serves a back end on a listener until the future is dropped.
pub async fn serve(listener: TcpListener, settings: BackendSettings) {
    let (execution_log, messages) = mpsc::channel(EXECUTION_LOG_QUEUE_CAPACITY);
    let backend = Backend {
        started: Instant::now(),
        slots: Arc::new(Semaphore::new(settings.slots)),
        admitted_requests: Arc::default(),
        execution_log,
        published_load: Arc::default(),
        settings: Arc::new(settings),
    };
    let mut background = tokio::task::JoinSet::new();
    background.spawn(run_execution_log(messages));
    background.spawn(publish_load(backend.clone()));
    loftdrift_http::serve(listener, move |request| {
        let backend = backend.clone();
        async move { Some(backend.handle(request).await) }
    })
    .await;
}

async fn run_execution_log(mut messages: mpsc::Receiver<ExecutionLogMessage>) {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    while let Some(message) = messages.recv().await {
        match message {
            ExecutionLogMessage::Record(request) => *runs.entry(request).or_default() += 1,
            ExecutionLogMessage::List(reply) => {
                let executions = runs.iter();
                let executions = executions
                    .map(|(request, runs)| Execution { request: request.clone(), runs: *runs });
                // The requester may have disconnected.
                let _ = reply.send(executions.collect());
            }
        }
    }
}

async fn publish_load(backend: Backend) {
    loop {
        let load = backend.admitted_requests.load(Ordering::Relaxed);
        tokio::time::sleep(backend.settings.load_lag.max(Duration::from_millis(10))).await;
        backend.published_load.store(load, Ordering::Relaxed);
    }
}

/// Counts a request as admitted until dropped.
struct RequestGuard(Arc<AtomicU64>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Backend {
    async fn handle(self, request: Request<Incoming>) -> HttpResponse {
        let path = request.uri().path().to_owned();
        let mut response = match (request.method(), path.as_str()) {
            (&Method::GET, "/standin/executions") => self.executions().await,
            (&Method::GET, "/load") => {
                let load = self.published_load.load(Ordering::Relaxed);
                text_response(StatusCode::OK, load.to_string())
            }
            (&Method::GET, path) if path.starts_with("/bytes/") => self.bytes(&request, path).await,
            (&Method::POST, "/submit") => self.submit(request).await,
            _ => text_response(StatusCode::NOT_FOUND, "no such path"),
        };
        let headers = response.headers_mut();
        for (name, value) in
            [(SERVICE_HEADER, &self.settings.service), (BACKEND_HEADER, &self.settings.name)]
        {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(name, value);
            }
        }
        response
    }

    async fn executions(&self) -> HttpResponse {
        let (reply, executions) = oneshot::channel();
        // The log task runs as long as the server, so this cannot fail.
        let _ = self.execution_log.send(ExecutionLogMessage::List(reply)).await;
        json_response(StatusCode::OK, &executions.await.unwrap_or_default())
    }

    async fn bytes(&self, request: &Request<Incoming>, path: &str) -> HttpResponse {
        let size = path.trim_start_matches("/bytes/").parse::<u64>();
        let Some(size) = size.ok().filter(|size| *size <= MAX_BODY_BYTES) else {
            return text_response(StatusCode::BAD_REQUEST, "expected /bytes/SIZE?seed=N");
        };
        let query = request.uri().query().unwrap_or_default();
        let seed = query.strip_prefix("seed=").and_then(|seed| seed.parse().ok()).unwrap_or(0);
        let Some(guard) = self.admit() else {
            return self.overloaded_response();
        };
        self.run_request(request).await;
        let content = BodyStream { content: Content::new(seed, size), _guard: guard };
        let mut response = Response::new(BodyExt::boxed(StreamBody::new(content)));
        response.headers_mut().insert(hyper::header::CONTENT_LENGTH, HeaderValue::from(size));
        response
    }

    async fn submit(&self, request: Request<Incoming>) -> HttpResponse {
        let Some(_guard) = self.admit() else {
            return self.overloaded_response();
        };
        let request_id = request.headers().get(&REQUEST_ID_HEADER).cloned();
        self.run_request(&request).await;
        // An incomplete body means that the caller has disconnected and gets no response anyway.
        let _ = request.into_body().collect().await;
        let request_id = request_id.unwrap_or(HeaderValue::from_static(""));
        text_response(StatusCode::OK, Bytes::copy_from_slice(request_id.as_bytes()))
    }

    /// Admits a request unless all slots and the queue are full.
    fn admit(&self) -> Option<RequestGuard> {
        let capacity = self.settings.slots as u64 + self.settings.queue_capacity;
        let requests_before = self.admitted_requests.fetch_add(1, Ordering::Relaxed);
        let guard = RequestGuard(Arc::clone(&self.admitted_requests));
        (requests_before < capacity).then_some(guard)
    }

    fn overloaded_response(&self) -> HttpResponse {
        let mut response =
            text_response(StatusCode::SERVICE_UNAVAILABLE, "the queue is full; not run");
        response.headers_mut().insert(RETRY_AFTER, RETRY_AFTER_SECONDS);
        response
    }

    /// Waits for a slot, records that the request runs, and simulates its run time.
    async fn run_request(&self, request: &Request<Incoming>) {
        let slot = self.slots.acquire().await;
        let request_id =
            request.headers().get(&REQUEST_ID_HEADER).and_then(|value| value.to_str().ok());
        if let Some(request_id) = request_id {
            // The log task runs as long as the server, so this cannot fail.
            let _ =
                self.execution_log.send(ExecutionLogMessage::Record(request_id.to_owned())).await;
        }
        let cold = self.started.elapsed() < self.settings.cold_start;
        let work_duration = self.settings.work_duration * if cold { COLD_WORK_FACTOR } else { 1 };
        tokio::time::sleep(work_duration).await;
        drop(slot);
    }
}

struct BodyStream {
    content: Content,
    _guard: RequestGuard,
}

impl futures_core::Stream for BodyStream {
    type Item = Result<Frame<Bytes>, std::io::Error>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        std::task::Poll::Ready(self.content.next().map(|chunk| Ok(Frame::data(chunk))))
    }
}
