use std::error::Error;
use std::path::Path;

use plotters::prelude::BLACK;
use plotters::prelude::BLUE;
use plotters::prelude::ChartBuilder;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::SVGBackend;
use plotters::prelude::WHITE;

use super::WeightsResult;

/// Width and height of the plot.
const SIZE_PIXELS: (u32, u32) = (800, 480);

/// Draws the number of serving replicas over time and the lower bound as an SVG file.
///
/// # Errors
///
/// The drawing error when the file can't be written.
pub fn plot_weights(result: &WeightsResult, path: &Path) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    root.fill(&WHITE)?;
    let end_ms = result.time_ms.max(result.bound_ms) * 11 / 10;
    let hosts = result.hosts as u64;
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0..end_ms, 0..hosts + 1)?;
    chart
        .configure_mesh()
        .x_desc("milliseconds since the start of the transfers")
        .y_desc("replicas serving")
        .draw()?;
    let mut steps = vec![(0, 0)];
    for (before, at_ms) in (0..).zip(&result.served_ms) {
        steps.push((*at_ms, before));
        steps.push((*at_ms, before + 1));
    }
    chart.draw_series(LineSeries::new(steps, &BLUE))?;
    let bound = [(result.bound_ms, 0), (result.bound_ms, hosts)];
    chart.draw_series(LineSeries::new(bound, &BLACK))?;
    root.present()?;
    Ok(())
}
