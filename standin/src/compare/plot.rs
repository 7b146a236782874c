//! A plot of the 95th percentile of the time to first token against load.

use std::path::Path;

use plotters::prelude::*;

use super::baselines::PolicyKind;
use super::{Ablation, CompareArgs, compare};

const LOADS: [f64; 7] = [0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9];
const SIZE: (u32, u32) = (900, 600);
/// The upper limit of the time axis, in milliseconds. The line of an overloaded policy ends there.
const MAX_TTFT_MS: f64 = 10_000.0;

/// Runs the comparison at several loads and writes the plot as an SVG file to `path`.
pub(crate) fn write(
    args: &CompareArgs,
    kinds: &[PolicyKind],
    ablation: Ablation,
    path: &Path,
) -> anyhow::Result<()> {
    let comparisons = LOADS
        .iter()
        .map(|&load| compare(args, load, kinds, ablation))
        .collect::<anyhow::Result<Vec<_>>>()?;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let title = format!(
        "{}: p95 time to first token (ms) against load, seed {}, faults {}",
        args.deployment, args.seed, args.faults
    );
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(
            LOADS[0]..LOADS[LOADS.len() - 1],
            (50.0..MAX_TTFT_MS).log_scale(),
        )?;
    chart
        .configure_mesh()
        .x_desc("load")
        .y_desc("p95 time to first token (ms)")
        .draw()?;
    for (index, kind) in kinds.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = comparisons
            .iter()
            .map(|c| (c.load, c.policies[index].ttft_ms_p95));
        let points = points.take_while(|p| p.1 <= MAX_TTFT_MS);
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(kind.name())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
