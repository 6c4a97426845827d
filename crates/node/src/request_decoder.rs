//! What a node is asked over HTTP, apart from how it is written.

use loftdrift_carried::{BackendReport, Incarnation};

/// A request, as it was received.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The method.
    pub method: &'a str,
    /// The path without query.
    pub path: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

/// What a request means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Should callers' packets come here?
    Readiness,
    /// A back end's heartbeat.
    Report(BackendReport),
    /// A back end leaves or is gone.
    Departure(Incarnation),
    /// Of a known kind, but its content cannot be read, for this reason.
    Malformed(String),
    /// None of these.
    Unknown,
}

/// How requests are written. An implementation translates and decides nothing.
pub trait RequestDecoder: Clone + Send + Sync + 'static {
    /// Reads a request.
    fn decode(&self, request: Request<'_>) -> RequestKind;
}
