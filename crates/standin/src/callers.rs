//! Simulated callers: they send HTTP requests over long-lived TCP flows and check every response.

use crate::backend::{REQUEST_ID_HEADER, SERVICE_HEADER};
use crate::content::ContentCheck;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Settings of the callers of one service.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Name of the service; responses that carry another name count as misdelivered.
    pub service: String,
    /// Address on which the fabric listens for the service.
    pub address: SocketAddr,
    /// Minimum and maximum size of fetched response bodies in bytes.
    pub body_bytes: (u64, u64),
    /// Fraction of requests that are submissions rather than fetches, from 0 to 1.
    pub submit_share: f64,
    /// Pause between requests on one flow.
    pub pause: Duration,
    /// Minimum and maximum number of requests on a flow before the caller ends it.
    pub requests_per_flow: (u32, u32),
    /// Seed of the random number generators.
    pub seed: u64,
}

/// Why a flow broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum BreakCause {
    /// The connection could not be opened.
    Refused,
    /// The connection was closed or reset.
    Cut,
    /// The connection was not opened, or a response not received, within the timeout.
    Timeout,
}

/// An event that a caller reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerEvent {
    /// A flow was opened.
    Opened,
    /// A flow failed before its caller ended it.
    Broken(BreakCause),
    /// A request with this ID was sent.
    Sent(String),
    /// A complete and correct response was received.
    Completed {
        /// ID of the request.
        request: String,
        /// Whether the request was a submission.
        submission: bool,
    },
    /// The response to this request was incomplete or incorrect.
    InvalidResponse(String),
    /// The back end rejected this request with status 503, so it must not have run.
    Rejected(String),
    /// A back end of another service responded to this request.
    Misdelivered(String),
}

/// Runs one caller, which opens one flow after another until `stop` becomes `true`. It finishes the
/// current request before it stops.
pub async fn run(
    settings: CallerSettings,
    caller: u64,
    events: mpsc::Sender<CallerEvent>,
    stop: watch::Receiver<bool>,
) {
    let seed = settings.seed ^ caller.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let rng = ChaCha8Rng::seed_from_u64(seed);
    let mut caller = Caller { settings, caller, rng, events, stop, next_request_number: 0 };
    while !*caller.stop.borrow() {
        if let Err(cause) = caller.run_flow().await {
            caller.report(CallerEvent::Broken(cause)).await;
            tokio::time::sleep(caller.settings.pause).await;
        }
    }
}

struct Caller {
    settings: CallerSettings,
    caller: u64,
    rng: ChaCha8Rng,
    events: mpsc::Sender<CallerEvent>,
    stop: watch::Receiver<bool>,
    next_request_number: u64,
}

enum Operation {
    Fetch { size: u64, seed: u64 },
    Submit,
}

impl Caller {
    async fn report(&self, event: CallerEvent) {
        // The receiver may have stopped counting.
        let _ = self.events.send(event).await;
    }

    async fn run_flow(&mut self) -> Result<(), BreakCause> {
        let connecting = TcpStream::connect(self.settings.address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let stream = stream.map_err(|_| BreakCause::Timeout)?.map_err(|_| BreakCause::Refused)?;
        // Disables Nagle's algorithm; if this fails, small requests are only delayed.
        let _ = stream.set_nodelay(true);
        let opened = handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = opened.map_err(|_| BreakCause::Cut)?;
        let connection = tokio::spawn(connection);
        self.report(CallerEvent::Opened).await;
        let (min, max) = self.settings.requests_per_flow;
        for _ in 0..self.rng.random_range(min..=max) {
            if *self.stop.borrow() {
                break;
            }
            let result = tokio::time::timeout(REQUEST_TIMEOUT, self.request(&mut sender)).await;
            result.map_err(|_| BreakCause::Timeout)??;
            tokio::time::sleep(self.settings.pause).await;
        }
        drop(sender);
        connection.abort();
        Ok(())
    }

    fn next_operation(&mut self) -> Operation {
        if self.rng.random_bool(self.settings.submit_share) {
            return Operation::Submit;
        }
        let (min, max) = self.settings.body_bytes;
        Operation::Fetch { size: self.rng.random_range(min..=max), seed: self.rng.random() }
    }

    async fn request(&mut self, sender: &mut SendRequest<Empty<Bytes>>) -> Result<(), BreakCause> {
        let operation = self.next_operation();
        let id = format!("{}-{}-{}", self.settings.service, self.caller, self.next_request_number);
        self.next_request_number += 1;
        let (method, path) = match &operation {
            Operation::Fetch { size, seed } => (Method::GET, format!("/bytes/{size}?seed={seed}")),
            Operation::Submit => (Method::POST, "/submit".to_owned()),
        };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(hyper::header::HOST, &self.settings.service)
            .header(REQUEST_ID_HEADER, &id)
            .body(Empty::new())
            .map_err(|_| BreakCause::Cut)?;
        self.report(CallerEvent::Sent(id.clone())).await;
        let response = sender.send_request(request).await.map_err(|_| BreakCause::Cut)?;
        let service = response.headers().get(&SERVICE_HEADER);
        if service.is_none_or(|service| service.as_bytes() != self.settings.service.as_bytes()) {
            self.report(CallerEvent::Misdelivered(id)).await;
            return Ok(());
        }
        let status = response.status();
        let mut check = match &operation {
            Operation::Fetch { size, seed } => Some(ContentCheck::new(*seed, *size)),
            Operation::Submit => None,
        };
        let mut text = Vec::new();
        let mut body = response.into_body();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| BreakCause::Cut)?.into_data() else {
                continue;
            };
            match &mut check {
                Some(check) if status == StatusCode::OK => check.push(data),
                _ => text.extend_from_slice(&data),
            }
        }
        let is_valid = match check {
            Some(check) => check.is_complete(),
            None => text == id.as_bytes(),
        };
        let submission = matches!(operation, Operation::Submit);
        self.report(match status {
            StatusCode::SERVICE_UNAVAILABLE => CallerEvent::Rejected(id),
            StatusCode::OK if is_valid => CallerEvent::Completed { request: id, submission },
            _ => CallerEvent::InvalidResponse(id),
        })
        .await;
        Ok(())
    }
}
