//! Plots comparisons and event profiles as SVG files.

use crate::compare::Comparison;
use crate::event_profile::EventProfile;
use plotters::prelude::{
    ChartBuilder, DrawingAreaErrorKind, IntoDrawingArea, LineSeries, Palette, Palette99,
    PathElement, SVGBackend, SeriesLabelPosition, WHITE,
};
use plotters::style::{BLACK, Color};
use std::path::Path;
use std::time::Duration;
use thiserror::Error;

const PLOT_SIZE_PX: (u32, u32) = (900, 480);
const LEGEND_LINE_PX: i32 = 20;

/// A plot could not be drawn or written.
#[derive(Debug, Error)]
#[error("cannot draw the plot: {0}")]
pub struct PlotError(String);

impl<E: std::error::Error + Send + Sync> From<DrawingAreaErrorKind<E>> for PlotError {
    fn from(error: DrawingAreaErrorKind<E>) -> Self {
        PlotError(error.to_string())
    }
}

struct Curve {
    name: &'static str,
    points: Vec<(f64, f64)>,
}

/// Writes `broken.svg` and one `imbalance-SERVICE.svg` per service into a folder, with a curve for
/// each policy.
pub fn write_plots(
    folder: &Path,
    services: &[String],
    comparisons: &[Comparison],
) -> Result<(), PlotError> {
    let broken = comparisons
        .iter()
        .map(|one| Curve { name: one.policy, points: cumulative(&one.broken_at) });
    let file = folder.join("broken.svg");
    draw(&file, "flows broken, cumulative", &broken.collect::<Vec<_>>())?;
    for (index, service) in services.iter().enumerate() {
        let curves = comparisons.iter().map(|one| Curve {
            name: one.policy,
            points: seconds(&one.imbalance_over_time[index]),
        });
        let file = folder.join(format!("imbalance-{service}.svg"));
        let title = format!("imbalance of open flows, {service}");
        draw(&file, &title, &curves.collect::<Vec<_>>())?;
    }
    Ok(())
}

/// Writes one SVG file with a curve of the counts per step for each given kind of event.
pub fn write_profile_plot(
    file: &Path,
    profile: &EventProfile,
    kinds: &[&'static str],
) -> Result<(), PlotError> {
    let curve = |kind: &&'static str| Curve {
        name: kind,
        points: profile.series(kind).iter().map(|(at, count)| (*at, *count as f64)).collect(),
    };
    draw(file, "events per step", &kinds.iter().map(curve).collect::<Vec<_>>())
}

fn cumulative(times: &[Duration]) -> Vec<(f64, f64)> {
    let step = |(index, at): (usize, &Duration)| {
        [(at.as_secs_f64(), index as f64), (at.as_secs_f64(), index as f64 + 1.0)]
    };
    std::iter::once((0.0, 0.0)).chain(times.iter().enumerate().flat_map(step)).collect()
}

fn seconds(samples: &[(Duration, f64)]) -> Vec<(f64, f64)> {
    samples.iter().map(|(at, value)| (at.as_secs_f64(), *value)).collect()
}

fn draw(file: &Path, title: &str, curves: &[Curve]) -> Result<(), PlotError> {
    let points = || curves.iter().flat_map(|curve| &curve.points);
    let right = points().map(|(x, _)| *x).fold(1.0, f64::max);
    let top = points().map(|(_, y)| *y).fold(1.0, f64::max) * 1.05;
    let area = SVGBackend::new(file, PLOT_SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    for (index, curve) in curves.iter().enumerate() {
        let colour = Palette99::pick(index).mix(1.0);
        chart
            .draw_series(LineSeries::new(curve.points.iter().copied(), colour))?
            .label(curve.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + LEGEND_LINE_PX, y)], colour));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
