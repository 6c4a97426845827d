//! The simulated network: delay, jitter (and so reordering), loss, duplicates.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// How the network treats each datagram.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetworkSettings {
    /// Delay of every datagram.
    pub delay: Duration,
    /// Additional delay, drawn evenly from zero to this.
    pub jitter: Duration,
    /// Share of datagrams that are lost, from 0 to 1.
    pub loss: f64,
    /// Share of datagrams that arrive twice, from 0 to 1.
    pub duplicates: f64,
}

impl Default for NetworkSettings {
    /// A zone of today: half a millisecond, some reordering, nothing lost.
    fn default() -> Self {
        NetworkSettings {
            delay: Duration::from_micros(500),
            jitter: Duration::from_micros(200),
            loss: 0.0,
            duplicates: 0.0,
        }
    }
}

impl NetworkSettings {
    /// The delays after which copies of one datagram arrive; none when it is lost.
    pub(crate) fn arrivals(&self, random: &mut ChaCha8Rng) -> Vec<Duration> {
        if random.random_bool(self.loss) {
            return Vec::new();
        }
        let copies = if random.random_bool(self.duplicates) { 2 } else { 1 };
        let mut arrival = || self.delay + self.jitter.mul_f64(random.random::<f64>());
        (0..copies).map(|_| arrival()).collect()
    }
}
