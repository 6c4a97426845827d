//! Chooses the agents that a packet visits, without I/O or clock.
//!
//! [`SteeringMap`] is built from a configuration and returns a short, ordered list of candidates
//! for each packet. It keeps no state per flow: the list depends on the configuration, the flow's
//! hash, the cookie that the packet echoes, and this node's view of which agents are suspected to
//! be dead. That view changes the order in which agents are asked and which agents may open *new*
//! flows, but never the set of agents that an existing flow's packets reach.
//!
//! ```
//! use loftdrift_configuration::{Configuration, apply, parse_script};
//! use loftdrift_steering::SteeringMap;
//! use loftdrift_wire::{FlowKey, SteeringMode, Transport};
//!
//! let script = "create service tiles at 10.20.0.1:443\n\
//!               attach backend tiles-1 to tiles at 127.0.0.1:9000 agent 10.1.0.1:6081";
//! let statements = parse_script("example", script).unwrap();
//! let configuration = apply(&Configuration::default(), &statements).unwrap();
//! let map = SteeringMap::new(&configuration);
//! let flow = FlowKey {
//!     caller: "10.9.0.7:40112".parse().unwrap(),
//!     service: "10.20.0.1:443".parse().unwrap(),
//!     transport: Transport::Tcp,
//! };
//! let service = map.service(&flow).unwrap();
//! let option = service.new_flow_option(&flow);
//! assert_eq!(option.mode, SteeringMode::Select);
//! assert_eq!(option.candidates.as_slice().len(), 1);
//! ```

mod buckets;
mod hash;
mod map;
mod service;

pub use loftdrift_wire::flow_hash;
pub use map::SteeringMap;
pub use service::{MAX_HOPS, ServiceTable};
