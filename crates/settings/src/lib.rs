//! Settings of a process, read from a TOML file and overridden by command-line flags.
//!
//! The file's `role` determines which settings it may contain. [`Settings::read`] checks the whole
//! file and returns either typed settings or all findings with their positions.

mod reader;
mod roles;

pub use reader::{Overrides, Reader};
pub use roles::{
    AgentProcessSettings, BackendProcessSettings, BalancerProcessSettings, CallersProcessSettings,
    FabricListener, FabricProcessSettings, ListenerTransport, PlatformProcessSettings, Role,
    Settings,
};
