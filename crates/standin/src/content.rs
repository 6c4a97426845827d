//! Reproducible response bodies: back ends and callers compute the same bytes from the same seed
//! and size.

use bytes::Bytes;
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Maximum size of a chunk.
pub const CHUNK_BYTES: usize = 16 * 1024;

/// Generates the chunks of a body.
#[derive(Debug)]
pub struct Content {
    rng: ChaCha8Rng,
    remaining_bytes: u64,
}

impl Content {
    /// Generates the body of `size` bytes for `seed`.
    pub fn new(seed: u64, size: u64) -> Self {
        Content { rng: ChaCha8Rng::seed_from_u64(seed), remaining_bytes: size }
    }
}

impl Iterator for Content {
    type Item = Bytes;

    fn next(&mut self) -> Option<Bytes> {
        if self.remaining_bytes == 0 {
            return None;
        }
        let length = self.remaining_bytes.min(CHUNK_BYTES as u64);
        let mut chunk = vec![0; CHUNK_BYTES];
        self.rng.fill_bytes(&mut chunk);
        chunk.truncate(length as usize);
        self.remaining_bytes -= length;
        Some(Bytes::from(chunk))
    }
}

/// Compares a body, received in chunks of any size, with the expected one.
#[derive(Debug)]
pub struct ContentCheck {
    content: Content,
    expected: Bytes,
    matches: bool,
}

impl ContentCheck {
    /// Expects the body of `size` bytes for `seed`.
    pub fn new(seed: u64, size: u64) -> Self {
        ContentCheck { content: Content::new(seed, size), expected: Bytes::new(), matches: true }
    }

    /// Checks the next received chunk.
    pub fn push(&mut self, mut chunk: Bytes) {
        while !chunk.is_empty() && self.matches {
            if self.expected.is_empty() {
                self.expected = self.content.next().unwrap_or_default();
            }
            let length = chunk.len().min(self.expected.len());
            let same = length > 0 && chunk.split_to(length) == self.expected.split_to(length);
            self.matches &= same;
        }
    }

    /// Whether exactly the expected body was received.
    pub fn is_complete(mut self) -> bool {
        self.matches && self.expected.is_empty() && self.content.next().is_none()
    }
}
