//! Counter sets that cores own and shells publish.
//!
//! A core counts in plain integers of a struct made by [`counter_set!`]; its shell copies the
//! struct out every second. [`render`] turns any number of copies into the Prometheus text format.

mod histogram;
mod packet_drops;

pub use histogram::Histogram;
pub use packet_drops::PacketDrops;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric, text};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;

/// Whether a value only rises or may fall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleKind {
    /// Only rises; shown with the suffix `_total`.
    Counter,
    /// The value of now.
    Gauge,
}

/// One value of a counter set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Name, unique in the set, in snake case.
    pub name: &'static str,
    /// One line of help.
    pub help: &'static str,
    /// Counter or gauge.
    pub kind: SampleKind,
    /// The value.
    pub value: u64,
}

/// A struct of counters that lists its values.
pub trait CounterSet {
    /// Every value with name and help, in a fixed order.
    fn samples(&self) -> Vec<Sample>;
}

/// Defines a struct of public `u64` counters that implements [`CounterSet`].
///
/// The doc comment of each field is its help text. Fields behind `gauges` may fall; those behind
/// `includes` are counter sets whose values are listed with the others.
#[macro_export]
macro_rules! counter_set {
    (
        $(#[doc = $set_doc:literal])*
        pub struct $name:ident {
            $(#[doc = $doc:literal] $field:ident,)*
        }
        $(gauges { $(#[doc = $gauge_doc:literal] $gauge:ident,)* })?
        $(includes { $(#[doc = $inner_doc:literal] $inner:ident: $inner_set:ty,)* })?
    ) => {
        $(#[doc = $set_doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
        pub struct $name {
            $(#[doc = $doc] pub $field: u64,)*
            $($(#[doc = $gauge_doc] pub $gauge: u64,)*)?
            $($(#[doc = $inner_doc] pub $inner: $inner_set,)*)?
        }

        impl $crate::CounterSet for $name {
            fn samples(&self) -> Vec<$crate::Sample> {
                #[allow(unused_mut)]
                let mut samples = vec![
                    $($crate::Sample {
                        name: stringify!($field),
                        help: $doc.trim_ascii(),
                        kind: $crate::SampleKind::Counter,
                        value: self.$field,
                    },)*
                    $($($crate::Sample {
                        name: stringify!($gauge),
                        help: $gauge_doc.trim_ascii(),
                        kind: $crate::SampleKind::Gauge,
                        value: self.$gauge,
                    },)*)?
                ];
                $($(samples.extend(self.$inner.samples());)*)?
                samples
            }
        }
    };
}

/// Samples of one role, as the shell copied them out.
#[derive(Clone, Debug)]
pub struct PublishedSet {
    /// The role that counted, such as `balancer`: the middle of the metric's name.
    pub role: &'static str,
    /// Its values.
    pub samples: Vec<Sample>,
    /// Its histograms; clones of those that the role goes on filling.
    pub histograms: Vec<Histogram>,
}

/// The samples of one kind of a set.
#[derive(Debug)]
struct SetCollector {
    set: PublishedSet,
    kind: SampleKind,
}

impl Collector for SetCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), std::fmt::Error> {
        let PublishedSet { role, samples, .. } = &self.set;
        for sample in samples.iter().filter(|sample| sample.kind == self.kind) {
            let name = format!("loftdrift_{role}_{}", sample.name);
            let help = sample.help.trim_end_matches('.');
            match sample.kind {
                SampleKind::Counter => {
                    let metric = ConstCounter::new(sample.value);
                    let target =
                        encoder.encode_descriptor(&name, help, None, metric.metric_type())?;
                    metric.encode(target)?;
                }
                SampleKind::Gauge => {
                    let metric = ConstGauge::new(sample.value as i64);
                    let target =
                        encoder.encode_descriptor(&name, help, None, metric.metric_type())?;
                    metric.encode(target)?;
                }
            }
        }
        Ok(())
    }
}

/// The Prometheus text of `sets`: state first, then what was counted, then histograms. A reader that
/// keeps only the beginning of a page keeps what tells most.
pub fn render(sets: &[PublishedSet]) -> String {
    let mut scalars = Registry::default();
    for kind in [SampleKind::Gauge, SampleKind::Counter] {
        for set in sets {
            let collector = SetCollector { set: set.clone(), kind };
            scalars.register_collector(Box::new(collector));
        }
    }
    let mut distributions = Registry::default();
    for set in sets {
        for histogram in &set.histograms {
            let name = format!("loftdrift_{}_{}", set.role, histogram.name);
            let help = histogram.help.trim_end_matches('.');
            distributions.register(name, help, histogram.buckets.clone());
        }
    }
    let mut page = String::new();
    // Writing to a string cannot fail.
    let _ = text::encode_registry(&mut page, &scalars);
    let _ = text::encode_registry(&mut page, &distributions);
    let _ = text::encode_eof(&mut page);
    page
}

/// The values that are not zero, as `name=value`, for the periodic counters line.
pub fn format_nonzero(samples: &[Sample]) -> String {
    let parts: Vec<String> = samples
        .iter()
        .filter(|sample| sample.value != 0)
        .map(|sample| format!("{}={}", sample.name, sample.value))
        .collect();
    parts.join(" ")
}
