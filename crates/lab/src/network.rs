//! The simulated network: delay, jitter (which reorders datagrams), loss and duplication.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// How the network treats each datagram.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetworkSettings {
    /// Minimum one-way delay of a datagram.
    pub delay: Duration,
    /// Maximum additional delay; the actual one is drawn uniformly from zero to this.
    pub jitter: Duration,
    /// Share of datagrams that are lost, from 0 to 1.
    pub loss: f64,
    /// Share of datagrams that arrive twice, from 0 to 1.
    pub duplicates: f64,
}

impl Default for NetworkSettings {
    /// A network within one availability zone: a delay of 0.5 ms, some reordering, no loss.
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
    /// Draws the delays after which a datagram and its duplicate arrive.
    pub(crate) fn arrivals(&self, random: &mut ChaCha8Rng) -> Arrivals {
        if self.loss > 0.0 && random.random_bool(self.loss) {
            return Arrivals { first: None, second: None };
        }
        let doubled = self.duplicates > 0.0 && random.random_bool(self.duplicates);
        let mut arrival = || self.delay + self.jitter.mul_f64(random.random::<f64>());
        let first = Some(arrival());
        Arrivals { first, second: doubled.then(arrival) }
    }
}

/// Delays after which one datagram arrives.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrivals {
    /// `None` when the datagram is lost.
    pub(crate) first: Option<Duration>,
    /// `Some` when the datagram is duplicated.
    pub(crate) second: Option<Duration>,
}
