//! Line charts as SVG files, and quantiles.

use plotters::prelude::*;
use std::path::Path;

/// A name for the legend, and the points (x, y) of a line.
pub type Line = (String, Vec<(f64, f64)>);

/// Draws lines into an SVG file, on axes that begin at 0 and fit all lines.
///
/// # Errors
///
/// The file could not be drawn or written.
pub fn lines(path: &Path, title: &str, axes: (&str, &str), lines: &[Line]) -> anyhow::Result<()> {
    let points = || lines.iter().flat_map(|(_, points)| points.iter().copied());
    let most = |of: fn((f64, f64)) -> f64| points().map(of).fold(f64::MIN_POSITIVE, f64::max);
    let (right, top) = (most(|point| point.0), most(|point| point.1));
    let root = SVGBackend::new(path, (900, 480)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..right * 1.02, 0.0..top * 1.05)?;
    chart
        .configure_mesh()
        .x_desc(axes.0)
        .y_desc(axes.1)
        .draw()?;
    for (number, (name, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        chart
            .draw_series(LineSeries::new(
                points.iter().copied(),
                color.stroke_width(2),
            ))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    let label = chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw();
    label?;
    root.present()?;
    Ok(())
}

/// The quantile `share` (0 to 1) of sorted values by the nearest rank; 0 if there are none.
pub fn quantile(sorted: &[u64], share: f64) -> u64 {
    let last = sorted.len().saturating_sub(1);
    sorted
        .get((last as f64 * share).round() as usize)
        .copied()
        .unwrap_or(0)
}
