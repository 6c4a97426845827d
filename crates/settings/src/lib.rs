//! Settings of one process: one TOML file, flags override it, all findings reported together.
//!
//! The file's `role` says which settings it holds. [`Settings::read`] checks everything and
//! returns either typed settings or every finding with its place.

mod reader;
mod roles;

pub use reader::{Overrides, Reader};
pub use roles::{
    AgentProcessSettings, BackendProcessSettings, BalancerProcessSettings, CallersProcessSettings,
    FabricListener, FabricProcessSettings, ListenerTransport, PlatformProcessSettings, Role,
    Settings,
};
