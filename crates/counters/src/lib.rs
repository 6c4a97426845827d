//! Counter sets, which cores own and the drivers around them publish.
//!
//! A core is a state machine without I/O. It counts in plain integers of a struct defined by
//! [`counter_set!`]; its driver, the task that does the I/O, publishes a copy of the values at
//! intervals or on request. [`render`] converts any number of copies into the Prometheus text
//! format.

mod histogram;
mod packet_drops;

pub use histogram::Histogram;
pub use packet_drops::PacketDrops;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric, text};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;

/// Type of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleKind {
    /// Never decreases; rendered with the suffix `_total`.
    Counter,
    /// A current value, which may decrease.
    Gauge,
}

/// One metric of a counter set with its value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Name, unique in its set, in snake case.
    pub name: &'static str,
    /// Help text, on one line.
    pub help: &'static str,
    /// Counter or gauge.
    pub kind: SampleKind,
    /// Value at the time of sampling.
    pub value: u64,
}

/// A struct of counters that can list its values.
pub trait CounterSet {
    /// All values with name and help text, in a fixed order.
    fn samples(&self) -> Vec<Sample>;
}

/// Defines a struct of public `u64` counters that implements [`CounterSet`].
///
/// The doc comment of each field is its help text. Fields in the `gauges` block are gauges. Fields
/// in the `includes` block are other counter sets, whose values are listed after the struct's own.
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

/// Metrics of one role, as published by its driver.
#[derive(Clone, Debug)]
pub struct PublishedSet {
    /// The role that counts, such as `balancer`; it follows `loftdrift_` in each metric's name.
    pub role: &'static str,
    /// Its counters and gauges.
    pub samples: Vec<Sample>,
    /// Its histograms. They share their buckets with those that the role keeps filling.
    pub histograms: Vec<Histogram>,
}

/// Collects the samples of one kind from a set.
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

/// Renders `sets` in the Prometheus text format: first gauges, then counters, then histograms. A
/// monitoring system that keeps only the beginning of a page thus keeps the most useful values.
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

/// Formats the values other than zero as `name=value`, for the periodic log line of counters.
pub fn format_nonzero(samples: &[Sample]) -> String {
    let parts: Vec<String> = samples
        .iter()
        .filter(|sample| sample.value != 0)
        .map(|sample| format!("{}={}", sample.name, sample.value))
        .collect();
    parts.join(" ")
}
