//! The event queue: what happens next, in order of time and then of scheduling.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Duration;

struct Entry<E> {
    at: Duration,
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
    /// Earlier entries are greater, as the heap gives the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// Events by virtual time.
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

    /// The next event that comes no later than `end`.
    pub(crate) fn pop_until(&mut self, end: Duration) -> Option<(Duration, E)> {
        if self.heap.peek()?.at > end {
            return None;
        }
        self.heap.pop().map(|entry| (entry.at, entry.event))
    }
}
