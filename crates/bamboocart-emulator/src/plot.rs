//! Plots of comparisons as SVG.

use std::error::Error;
use std::result;

use plotters::prelude::*;

use crate::compare::Comparison;

/// The result of drawing a plot.
pub type Result<T, E = Box<dyn Error>> = result::Result<T, E>;

/// The width of the plot for each scenario and its height, in pixels.
const SIZE_PX: (u32, u32) = (140, 420);

/// The space for the vertical axis and its labels, in pixels.
const MARGIN_PX: u32 = 60;

/// The horizontal offset of the two versions from the position of their scenario.
const OFFSET: f64 = 0.18;

/// Draws the credits of both versions and returns the plot as SVG.
///
/// Each seed is a point and each mean a line. Fails if the backend cannot draw.
pub fn credits_svg(comparison: &Comparison) -> Result<String> {
    let scenarios = comparison.rows.len();
    let width = scenarios as u32 * SIZE_PX.0 + 2 * MARGIN_PX;
    let mut svg = String::new();
    {
        let area =
            SVGBackend::with_string(&mut svg, (width, SIZE_PX.1)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption("credit before (blue) and after (red)", ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(30)
            .y_label_area_size(MARGIN_PX)
            .build_cartesian_2d(-0.5..scenarios as f64 - 0.5, 0.0..1.0)?;
        let name = |position: &f64| {
            let row = comparison.rows.get(position.round() as usize);
            let middle = (position - position.round()).abs() < 0.01;
            row.filter(|_| middle).map(|row| row.scenario.clone()).unwrap_or_default()
        };
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(2 * scenarios + 1)
            .x_label_formatter(&name)
            .y_desc("share of the worth that was earned")
            .draw()?;
        for (position, row) in comparison.rows.iter().enumerate() {
            let (before, after) = row.mean_credits();
            let middle = position as f64;
            for (side, color, mean) in [(-1.0, BLUE, before), (1.0, RED, after)] {
                let x = middle + side * OFFSET;
                let credits = row.credits.iter();
                let points = credits.map(|it| if side < 0.0 { it.0 } else { it.1 });
                chart.draw_series(points.map(|credit| {
                    Circle::new((x, credit), 2, color.mix(0.4).filled())
                }))?;
                let line = [(x - OFFSET / 2.0, mean), (x + OFFSET / 2.0, mean)];
                chart.draw_series(LineSeries::new(line, color.stroke_width(2)))?;
            }
        }
        area.present()?;
    }
    Ok(svg)
}
