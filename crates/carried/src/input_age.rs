//! For how long datagrams may have waited in a socket before they are read, as far as its reader can
//! know: sockets do not tell.

use std::time::Duration;

/// Bounds the age of what is read from one socket.
///
/// Invariant: a datagram read in a batch came no earlier than the batch began, less what
/// [`InputAge::waited`] gave for it.
#[derive(Clone, Copy, Debug, Default)]
pub struct InputAge {
    /// Since when the socket has not been found empty, or its reader has not run.
    since: Option<Duration>,
}

impl InputAge {
    /// The reader did not run since then. The socket is to be read at once: what comes later has not
    /// waited.
    pub fn note_pause(&mut self, since: Duration) {
        self.since.get_or_insert(since);
    }

    /// For how long datagrams of a batch that begins now may have waited.
    pub fn max_wait(&self, now: Duration) -> Duration {
        self.since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// A batch ended that began then; `is_empty`: nothing was left in the socket.
    pub fn note_batch(&mut self, began: Duration, is_empty: bool) {
        if is_empty {
            self.since = None;
        } else {
            self.since.get_or_insert(began);
        }
    }
}
