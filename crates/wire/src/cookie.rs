//! The flow cookie: which back end holds a flow, told by the flow's own packets.
//!
//! An agent ends TCP itself, so it chooses the timestamp value (TSval, RFC 7323) of every segment
//! it sends. It sends one constant per flow, the cookie. The caller's stack echoes it as TSecr in
//! every later segment, and a balancer of any configuration reads the back end from the packet.
//! A constant TSval is legal: RFC 7323 requires values that do not decrease. The cookie only
//! changes the order in which agents are asked, so a forged one gains nothing.

use crate::steering_option::{BackendId, ServiceId};

/// The TSecr of a segment that echoes nothing.
pub const NO_COOKIE: u32 = 0;

/// A back end's identity and a tag of its service, as one TCP timestamp value.
///
/// The tag tells cookies from the timestamps of other stacks; it is no secret.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowCookie(pub u32);

const TAG_MULTIPLIER: u32 = 0x9E37_79B1;
const BACKEND_BITS: u32 = 16;

impl FlowCookie {
    /// The cookie of flows of `service` that live on `backend`. Never [`NO_COOKIE`].
    pub fn new(service: ServiceId, backend: BackendId) -> Self {
        let tag = tag(service, backend);
        FlowCookie((u32::from(tag) << BACKEND_BITS) | u32::from(backend.0))
    }

    /// The back end named by an echoed timestamp, when its tag is of `service`.
    pub fn backend(echo: u32, service: ServiceId) -> Option<BackendId> {
        let backend = BackendId((echo & 0xFFFF) as u16);
        let matches = (echo >> BACKEND_BITS) as u16 == tag(service, backend);
        matches.then_some(backend)
    }
}

/// A 15-bit mix of both identities, with the top bit set so that no cookie is zero.
fn tag(service: ServiceId, backend: BackendId) -> u16 {
    let mixed = (service.0 ^ (u32::from(backend.0) << 8)).wrapping_mul(TAG_MULTIPLIER);
    ((mixed >> BACKEND_BITS) as u16) | 0x8000
}
