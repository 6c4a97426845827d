//! Logging never blocks, and lines that are lost are counted.

use loftdrift_logging::{LineQueue, QueueSettings, RateLimits, Rates};
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

/// An output whose writes block until the test sends a permit.
struct Gate {
    permits: Receiver<()>,
    lines: Sender<Vec<u8>>,
}

impl Write for Gate {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.permits.recv().map_err(|_| io::Error::from(io::ErrorKind::BrokenPipe))?;
        let _ = self.lines.send(line.to_vec());
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn gate() -> (Gate, Sender<()>, Receiver<Vec<u8>>) {
    let (permit, permits) = channel();
    let (lines, written) = channel();
    (Gate { permits, lines }, permit, written)
}

#[test]
fn an_output_that_is_not_read_blocks_no_logger_and_dropped_lines_are_reported() {
    let (output, permit, written) = gate();
    let queue = LineQueue::start(QueueSettings { max_lines: 4 }, output);
    for _ in 0..100 {
        queue.push(b"line\n");
    }
    // Four lines wait in the queue, and the writer may have taken another one.
    let dropped = queue.dropped();
    assert!((95..=96).contains(&dropped), "{dropped}");
    for _ in 0..10 {
        permit.send(()).unwrap();
    }
    assert_eq!(written.recv().unwrap(), b"line\n");
    let reported = String::from_utf8(written.recv().unwrap()).unwrap();
    assert_eq!(reported, format!("level=warn event=log_lines_dropped count={dropped}\n"));
}

#[test]
fn lines_for_a_closed_output_are_counted_as_dropped() {
    let (output, permit, _written) = gate();
    drop(permit);
    let queue = LineQueue::start(QueueSettings::default(), output);
    for _ in 0..3 {
        queue.push(b"line\n");
    }
    queue.drain(Duration::from_secs(60));
    assert_eq!(queue.dropped(), 3);
}

#[test]
fn each_kind_has_its_own_rate_and_reports_omitted_lines() {
    let mut limits = RateLimits::new(Rates { ordinary_per_second: 2, failures_per_second: 3 });
    let second = Duration::from_secs(1);
    assert_eq!(limits.admit(second, "placed", false), Some(0));
    assert_eq!(limits.admit(second, "placed", false), Some(0));
    assert_eq!(limits.admit(second, "placed", false), None);
    assert_eq!(limits.admit(second, "refused", true), Some(0), "failures have a separate limit");
    assert_eq!(limits.admit(second * 2, "placed", false), Some(1));
}
