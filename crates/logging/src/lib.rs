//! Structured log lines that are bounded and never block.
//!
//! A line is a record of `key=value` pairs, which `grep` and `cut` read as well as programs do:
//!
//! ```text
//! steady_ms=35753 time=2026-03-12T18:29:09.753Z level=warn node=a-1 role=balancer incarnation=7 event=opening_refused flow=100.66.0.18:1222>198.18.0.1:8443 reason=busy
//! ```
//!
//! Lines go through a bounded queue to a thread that writes them: a standard output that is slow,
//! not read or closed delays nobody. A full queue drops lines and counts them; each kind of line has
//! a rate of its own, and failures one that ordinary lines do not use up.

mod line;
mod queue;
mod rate;
mod trace;

pub use line::{Line, format_line};
pub use queue::{LineQueue, QueueSettings};
pub use rate::{RateLimits, Rates};
pub use trace::trace;

use log::Level;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The process's queue, once one is installed.
static INSTALLED: OnceLock<LineQueue> = OnceLock::new();

/// Lines that the process has dropped so far.
pub fn lines_dropped() -> u64 {
    INSTALLED.get().map_or(0, LineQueue::dropped)
}

/// What every line of a process says.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The node's name.
    pub node: String,
    /// What it does.
    pub role: String,
    /// Tells its starts apart.
    pub incarnation: u64,
}

/// Keeps the writer; asks it to finish when the process ends.
#[derive(Debug)]
pub struct LogGuard {
    queue: LineQueue,
}

impl LogGuard {
    /// Gives the writer a bounded time for the lines that are still in the queue.
    pub fn finish(self, timeout: Duration) {
        self.queue.drain(timeout);
    }
}

/// Sends the process's log lines to `output`. The default level is `info`; the variable `RUST_LOG`
/// overrides it. Only the first call in a process takes effect.
pub fn install(identity: Identity, output: impl Write + Send + 'static) -> LogGuard {
    let queue = LineQueue::start(QueueSettings::default(), output);
    // Only the first one is counted, as only it is written to.
    let _ = INSTALLED.set(queue.clone());
    let started = Instant::now();
    let limits = Mutex::new(RateLimits::new(Rates::default()));
    let mut builder = env_logger::Builder::from_env(
        env_logger::Env::default().default_filter_or(log::LevelFilter::Info.as_str()),
    );
    builder.format(move |buffer, record| {
        let now = started.elapsed();
        let is_failure = record.level() <= Level::Warn;
        let kind = record.args().as_str().unwrap_or(record.target());
        // A panic while the lock was held leaves counts that are still good enough.
        let mut limits = limits.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let Some(omitted) = limits.admit(now, kind, is_failure) else {
            return Ok(());
        };
        drop(limits);
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        buffer.write_all(format_line(&identity, now, unix, record, omitted).as_bytes())
    });
    builder.target(env_logger::Target::Pipe(Box::new(queue.writer())));
    let _ = builder.try_init();
    LogGuard { queue }
}
