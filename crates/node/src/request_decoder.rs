//! The HTTP requests that a node serves, independent of their encoding.

use loftdrift_carried::{BackendReport, Incarnation};

/// An HTTP request as received.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The method.
    pub method: &'a str,
    /// The path without query.
    pub path: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

/// A decoded request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Readiness probe: should callers' packets be sent to this node?
    Readiness,
    /// A back end's heartbeat.
    Report(BackendReport),
    /// A back end is leaving or has ended.
    Departure(Incarnation),
    /// A request of a known kind whose content cannot be parsed, with the reason.
    Malformed(String),
    /// Any other request.
    Unknown,
}

/// Decodes the requests of one HTTP interface. An implementation only translates; it makes no
/// decisions.
pub trait RequestDecoder: Clone + Send + Sync + 'static {
    /// Decodes a request.
    fn decode(&self, request: Request<'_>) -> RequestKind;
}
