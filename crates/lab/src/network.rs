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
    /// The delays after which the copies of one datagram arrive; none when it is lost.
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

/// Delays after which the copies of one datagram arrive.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrivals {
    pub(crate) first: Option<Duration>,
    pub(crate) second: Option<Duration>,
}
