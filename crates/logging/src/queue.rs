//! The bounded queue between the tasks that log and the thread that writes the lines.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Stack size of the writer thread.
const STACK_BYTES: usize = 64 * 1024;
/// How often [`LineQueue::drain`] checks whether all lines are written.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Settings of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueSettings {
    /// Maximum number of lines that wait to be written.
    pub max_lines: usize,
}

impl Default for QueueSettings {
    fn default() -> Self {
        QueueSettings { max_lines: 512 }
    }
}

/// Numbers of lines since the start.
#[derive(Debug, Default)]
struct Counts {
    queued: AtomicU64,
    written: AtomicU64,
    dropped: AtomicU64,
}

/// A queue with its writer thread. Clones share the queue.
#[derive(Clone, Debug)]
pub struct LineQueue {
    lines: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
}

impl LineQueue {
    /// Starts the writer thread. If it cannot be started, every line is dropped and counted.
    pub fn start(settings: QueueSettings, output: impl Write + Send + 'static) -> Self {
        let (lines, queue) = sync_channel(settings.max_lines);
        let counts = Arc::new(Counts::default());
        let writer = Writer { output, counts: counts.clone(), reported: 0 };
        let builder = thread::Builder::new().name("log".to_owned()).stack_size(STACK_BYTES);
        // Without the thread, the receiver is dropped, and `push` counts every line as dropped.
        let _ = builder.spawn(move || writer.run(queue));
        LineQueue { lines, counts }
    }

    /// The output to which the logger writes. Each call of `write` is one line.
    pub fn writer(&self) -> impl Write + Send + 'static {
        QueueWriter(self.clone())
    }

    /// Queues a line, or drops and counts it if the queue is full. Never blocks.
    pub fn push(&self, line: &[u8]) {
        if line.is_empty() {
            return;
        }
        match self.lines.try_send(line.to_vec()) {
            Ok(()) => self.counts.queued.fetch_add(1, Ordering::Relaxed),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.counts.dropped.fetch_add(1, Ordering::Relaxed)
            }
        };
    }

    /// Number of lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.counts.dropped.load(Ordering::Relaxed)
    }

    /// Waits until all queued lines are written, at most for `timeout`.
    pub fn drain(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        while self.has_unwritten() && Instant::now() < deadline {
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
    }

    fn has_unwritten(&self) -> bool {
        let written = self.counts.written.load(Ordering::Relaxed);
        written < self.counts.queued.load(Ordering::Relaxed)
    }
}

struct QueueWriter(LineQueue);

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.0.push(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

struct Writer<W> {
    output: W,
    counts: Arc<Counts>,
    /// Number of dropped lines that were already reported.
    reported: u64,
}

impl<W: Write> Writer<W> {
    fn run(mut self, queue: Receiver<Vec<u8>>) {
        while let Ok(line) = queue.recv() {
            self.write(&line);
            self.counts.written.fetch_add(1, Ordering::Relaxed);
            self.report_dropped();
        }
    }

    /// Writes a line. If the output is closed, the line counts as dropped; the process continues.
    fn write(&mut self, line: &[u8]) {
        let written = self.output.write_all(line).and_then(|()| self.output.flush());
        if written.is_err() {
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Writes a line with the number of lines dropped since the last such line, if any.
    fn report_dropped(&mut self) {
        let dropped = self.counts.dropped.load(Ordering::Relaxed);
        if dropped > self.reported {
            let line =
                format!("level=warn event=log_lines_dropped count={}\n", dropped - self.reported);
            self.reported = dropped;
            let _ = self.output.write_all(line.as_bytes());
        }
    }
}
