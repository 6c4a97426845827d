//! The event queue of a simulation: events ordered by virtual time, and by insertion at equal
//! times, so that runs are deterministic.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Duration;

struct Entry<E> {
    at: Duration,
    /// Sequence number of the insertion.
    order: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    /// Reversed: earlier entries are greater, since [`BinaryHeap`] pops the greatest entry first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// Pending events, ordered by virtual time.
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Entry<E>>,
    next_order: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue { heap: BinaryHeap::new(), next_order: 0 }
    }
}

impl<E> EventQueue<E> {
    pub(crate) fn push(&mut self, at: Duration, event: E) {
        let order = self.next_order;
        self.next_order += 1;
        self.heap.push(Entry { at, order, event });
    }

    /// Removes the next event if its time is not after `end`.
    pub(crate) fn pop_until(&mut self, end: Duration) -> Option<(Duration, E)> {
        if self.heap.peek()?.at > end {
            return None;
        }
        self.heap.pop().map(|entry| (entry.at, entry.event))
    }
}
