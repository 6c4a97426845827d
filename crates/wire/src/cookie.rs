//! The flow cookie: the flow's own packets name the back end that owns the flow.
//!
//! An agent terminates TCP itself, so it chooses the timestamp value (TSval, RFC 7323) of every
//! segment it sends. It sends one constant per flow, the cookie. The caller's stack echoes it as
//! TSecr in every later segment, and a balancer with any configuration reads the back end from the
//! packet. A constant TSval is legal: RFC 7323 requires values that do not decrease. The cookie
//! only changes the order in which agents are asked, so a forged one gains nothing.

use crate::steering_option::{BackendId, ServiceId};

/// The TSecr of a segment that echoes no timestamp.
pub const NO_COOKIE: u32 = 0;

/// A TCP timestamp value made of a back end's id and a tag that depends on its service.
///
/// The tag distinguishes cookies from the timestamps of other TCP stacks. It is not a secret.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowCookie(pub u32);

const TAG_MULTIPLIER: u32 = 0x9E37_79B1;
const BACKEND_BITS: u32 = 16;

impl FlowCookie {
    /// The cookie of the flows of `service` on `backend`. Never [`NO_COOKIE`].
    pub fn new(service: ServiceId, backend: BackendId) -> Self {
        let tag = tag(service, backend);
        FlowCookie((u32::from(tag) << BACKEND_BITS) | u32::from(backend.0))
    }

    /// The back end that an echoed timestamp names, if it is a cookie of `service`.
    pub fn backend(echo: u32, service: ServiceId) -> Option<BackendId> {
        let backend = BackendId((echo & 0xFFFF) as u16);
        let matches = (echo >> BACKEND_BITS) as u16 == tag(service, backend);
        matches.then_some(backend)
    }
}

/// A 15-bit hash of both ids. The top bit is set so that no cookie is zero.
fn tag(service: ServiceId, backend: BackendId) -> u16 {
    let mixed = (service.0 ^ (u32::from(backend.0) << 8)).wrapping_mul(TAG_MULTIPLIER);
    ((mixed >> BACKEND_BITS) as u16) | 0x8000
}
