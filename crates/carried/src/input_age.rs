//! Upper bounds for the time that datagrams have waited in a socket buffer before they are read.
//! Sockets do not report that time, so it is derived from when the reader last found the socket
//! empty.

use std::time::Duration;

/// Bounds the age of the datagrams read from one socket.
///
/// Invariant: a datagram read in a batch arrived no earlier than the start of the batch minus the
/// value that [`InputAge::max_wait`] returned for that batch.
#[derive(Clone, Copy, Debug, Default)]
pub struct InputAge {
    /// Time since which the socket has not been found empty, or since which the reader has not run.
    unread_since: Option<Duration>,
}

impl InputAge {
    /// Records that the reader has not run since `unread_since`. The socket must be read right
    /// away: datagrams that arrive from now on count as not having waited.
    pub fn note_pause(&mut self, unread_since: Duration) {
        self.unread_since.get_or_insert(unread_since);
    }

    /// How long datagrams of a batch that starts now may have waited at most.
    pub fn max_wait(&self, now: Duration) -> Duration {
        self.unread_since.map_or(Duration::ZERO, |unread_since| now.saturating_sub(unread_since))
    }

    /// Records the end of a batch that started at `began`; `is_empty` is `true` if it emptied the
    /// socket.
    pub fn note_batch(&mut self, began: Duration, is_empty: bool) {
        if is_empty {
            self.unread_since = None;
        } else {
            self.unread_since.get_or_insert(began);
        }
    }
}
