//! Callers: long HTTP flows over plain TCP that check every answer.

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

/// What callers ask of one service.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// The service's name, which every answer must bear.
    pub service: String,
    /// Where the fabric listens for the service.
    pub address: SocketAddr,
    /// Sizes of the fetched bodies in bytes: at least, at most.
    pub body_bytes: (u64, u64),
    /// Share of requests that submit rather than fetch, from 0 to 1.
    pub submit_share: f64,
    /// Pause between requests of one flow.
    pub pause: Duration,
    /// Requests on one flow before it ends: at least, at most.
    pub requests_per_flow: (u32, u32),
    /// Seed of every random choice.
    pub seed: u64,
}

/// Why a flow broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum BreakCause {
    /// It could not be opened.
    Refused,
    /// The connection was cut.
    Cut,
    /// No answer in time.
    Timeout,
}

/// What a caller saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerEvent {
    /// A flow was opened.
    Opened,
    /// A flow ended before its caller wanted it to.
    Broken(BreakCause),
    /// A request was sent; its identity.
    Sent(String),
    /// The whole and right answer came.
    Completed {
        /// The request.
        request: String,
        /// It was a submission.
        submission: bool,
    },
    /// The answer was not whole or not the one asked for.
    InvalidResponse(String),
    /// The service said that the request has not run.
    Rejected(String),
    /// Another service's back end answered.
    Misdelivered(String),
}

/// One caller: flow after flow until told to stop; then it finishes its request.
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

enum RequestKind {
    Fetch { size: u64, seed: u64 },
    Submit,
}

impl Caller {
    async fn report(&self, event: CallerEvent) {
        // When nobody counts any more, there is nothing left to tell.
        let _ = self.events.send(event).await;
    }

    async fn run_flow(&mut self) -> Result<(), BreakCause> {
        let connecting = TcpStream::connect(self.settings.address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let stream = stream.map_err(|_| BreakCause::Timeout)?.map_err(|_| BreakCause::Refused)?;
        // Requests are small; failing to set this only delays them.
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

    fn next_request_kind(&mut self) -> RequestKind {
        if self.rng.random_bool(self.settings.submit_share) {
            return RequestKind::Submit;
        }
        let (min, max) = self.settings.body_bytes;
        RequestKind::Fetch { size: self.rng.random_range(min..=max), seed: self.rng.random() }
    }

    async fn request(&mut self, sender: &mut SendRequest<Empty<Bytes>>) -> Result<(), BreakCause> {
        let kind = self.next_request_kind();
        let id = format!("{}-{}-{}", self.settings.service, self.caller, self.next_request_number);
        self.next_request_number += 1;
        let (method, path) = match &kind {
            RequestKind::Fetch { size, seed } => {
                (Method::GET, format!("/bytes/{size}?seed={seed}"))
            }
            RequestKind::Submit => (Method::POST, "/submit".to_owned()),
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
        let mut check = match &kind {
            RequestKind::Fetch { size, seed } => Some(ContentCheck::new(*seed, *size)),
            RequestKind::Submit => None,
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
        let submission = matches!(kind, RequestKind::Submit);
        self.report(match status {
            StatusCode::SERVICE_UNAVAILABLE => CallerEvent::Rejected(id),
            StatusCode::OK if is_valid => CallerEvent::Completed { request: id, submission },
            _ => CallerEvent::InvalidResponse(id),
        })
        .await;
        Ok(())
    }
}
