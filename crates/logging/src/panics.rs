//! Logs and counts panics, those of tasks and threads that nothing waits for included.

use std::panic::{self, PanicHookInfo};
use std::sync::atomic::{AtomicU64, Ordering};

/// Panics of the process so far.
static PANICS: AtomicU64 = AtomicU64::new(0);

/// Number of panics of the process so far.
pub fn panics() -> u64 {
    PANICS.load(Ordering::Relaxed)
}

/// Has every panic logged and counted. Standard error, which may block, is not written.
pub(crate) fn log_panics() {
    panic::set_hook(Box::new(log_panic));
}

fn log_panic(info: &PanicHookInfo<'_>) {
    PANICS.fetch_add(1, Ordering::Relaxed);
    let place = info.location().map(ToString::to_string).unwrap_or_default();
    let reason = info.payload_as_str().unwrap_or("no message");
    let thread = std::thread::current().name().unwrap_or("unnamed").to_owned();
    log::error!(place = place.as_str(), thread = thread.as_str(), reason; "panicked");
}
