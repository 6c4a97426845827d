//! Packet formats on the data path, without I/O.
//!
//! Each packet is carried as a complete IPv4 packet inside GENEVE (RFC 8926) over UDP. Between
//! balancers and agents the GENEVE header also carries the [`SteeringOption`]: a short, ordered
//! list of the agents that may own the packet's flow. All decoders accept untrusted bytes, return
//! typed errors and never panic.
//!
//! The fabric is the network between callers and balancers: it spreads the callers' packets over
//! the balancers and takes packets back to the callers.

mod cookie;
mod flow_hash;
mod geneve;
mod inner;
mod steering_option;

pub use cookie::{FlowCookie, NO_COOKIE};
pub use flow_hash::flow_hash;
pub use geneve::{
    ECHO_BYTES, Echo, EchoKind, GENEVE_HEADER_BYTES, GeneveError, GenevePacket, MAX_VNI,
    STEERING_OPTION_TYPE, encode_packet, write_header,
};
pub use inner::{FlowKey, InnerError, InnerPacket, SegmentKind, Transport, parse_inner, reset_for};
pub use steering_option::{
    BackendId, Candidate, CandidateList, LeastLoaded, MAX_CANDIDATES, MAX_OPTION_BYTES, MAX_PAGES,
    OptionError, ServiceId, SteeringMode, SteeringOption,
};
