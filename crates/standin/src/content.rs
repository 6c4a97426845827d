//! Answer bodies that both sides can compute: the same seed and size give the same bytes.

use bytes::Bytes;
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Most bytes in one chunk.
pub const CHUNK_BYTES: usize = 16 * 1024;

/// The chunks of a body.
#[derive(Debug)]
pub struct Content {
    rng: ChaCha8Rng,
    remaining_bytes: u64,
}

impl Content {
    /// The body of `size` bytes that belongs to `seed`.
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

/// Compares a body that arrives piece by piece with the one that was asked for.
#[derive(Debug)]
pub struct ContentCheck {
    content: Content,
    expected: Bytes,
    matches: bool,
}

impl ContentCheck {
    /// Expects the body of `size` bytes that belongs to `seed`.
    pub fn new(seed: u64, size: u64) -> Self {
        ContentCheck { content: Content::new(seed, size), expected: Bytes::new(), matches: true }
    }

    /// Takes the next piece.
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

    /// Whether all of the body has arrived, and nothing else.
    pub fn is_complete(mut self) -> bool {
        self.matches && self.expected.is_empty() && self.content.next().is_none()
    }
}
