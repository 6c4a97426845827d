//! Structured log lines, written through a bounded queue that never blocks the caller.
//!
//! A line consists of `key=value` pairs, which both programs and tools such as `grep` can read:
//!
//! ```text
//! steady_ms=35753 time=2026-03-12T18:29:09.753Z level=warn node=a-1 role=balancer incarnation=7 event=opening_refused flow=100.66.0.18:1222>198.18.0.1:8443 reason=busy
//! ```
//!
//! A bounded queue passes the lines to a thread that writes them, so that a standard output that is
//! slow, not read or closed delays no other task. When the queue is full, lines are dropped and
//! counted. Each kind of line has its own rate limit, so that ordinary lines cannot use up the
//! limit of failures (level `warn` and above), which is also higher.

mod line;
mod panics;
mod queue;
mod rate;
mod trace;

pub use line::{Line, format_line};
pub use panics::panics;
pub use queue::{LineQueue, QueueSettings};
pub use rate::{RateLimits, Rates};
pub use trace::trace;

use log::Level;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The queue of the process, once [`install`] was called.
static INSTALLED: OnceLock<LineQueue> = OnceLock::new();

/// Number of lines that the process has dropped so far.
pub fn lines_dropped() -> u64 {
    INSTALLED.get().map_or(0, LineQueue::dropped)
}

/// Identifies a process in each of its log lines.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the node.
    pub node: String,
    /// Role of the process, such as `balancer`.
    pub role: String,
    /// Distinguishes one start of the node from another.
    pub incarnation: u64,
}

/// Handle to the log queue, used to write the remaining lines before the process ends.
#[derive(Debug)]
pub struct LogGuard {
    queue: LineQueue,
}

impl LogGuard {
    /// Waits until the lines still in the queue are written, at most for `timeout`.
    pub fn finish(self, timeout: Duration) {
        self.queue.drain(timeout);
    }
}

/// Installs the logger of the process, which writes to `output` and logs panics too. The default level is `info`; the
/// environment variable `RUST_LOG` overrides it. Only the first call in a process takes effect.
pub fn install(identity: Identity, output: impl Write + Send + 'static) -> LogGuard {
    let queue = LineQueue::start(QueueSettings::default(), output);
    // `lines_dropped` counts for the first queue only, as only the first logger takes effect.
    let _ = INSTALLED.set(queue.clone());
    let started = Instant::now();
    let limits = Mutex::new(RateLimits::new(Rates::default()));
    let mut builder = env_logger::Builder::from_env(
        env_logger::Env::default().default_filter_or(log::LevelFilter::Info.as_str()),
    );
    builder.format(move |buffer, record| {
        let now = started.elapsed();
        let is_failure = record.level() <= Level::Warn;
        // Lines whose message is not a literal share the kind of their log target (module path).
        let kind = record.args().as_str().unwrap_or(record.target());
        // If a thread panicked while it held the lock, the counts are at worst slightly wrong.
        let mut limits = limits.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let Some(omitted) = limits.admit(now, kind, is_failure) else {
            return Ok(());
        };
        drop(limits);
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        buffer.write_all(format_line(&identity, now, unix, record, omitted).as_bytes())
    });
    builder.target(env_logger::Target::Pipe(Box::new(queue.writer())));
    if builder.try_init().is_ok() {
        panics::log_panics();
    }
    LogGuard { queue }
}
