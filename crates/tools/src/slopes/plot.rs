//! Plots of slopes.

use {
    super::Slope,
    crate::plot::{Area, COLOURS, DrawResult, WIDTH, save},
    hemlockford_core::errors::Result,
    plotters::{
        prelude::{ChartBuilder, Color, IntoLogRange, LineSeries, PathElement, SeriesLabelPosition},
        style::{BLACK, WHITE},
    },
    std::{ops::Range, path::Path},
};

/// Height of the panel of one quantity, in pixels.
const PANEL_HEIGHT: u32 = 340;
/// Factor by which a logarithmic axis extends beyond the extreme values.
const AXIS_MARGIN: f64 = 1.25;
/// Smallest plotted value, in the unit of the axis, which represents zero on a logarithmic axis.
const MIN_PLOTTED: f64 = 1e-3;

/// Draws a slope with one panel per quantity. Both axes are logarithmic.
pub(super) fn plot(slope: &Slope, folder: &Path) -> Result<()> {
    let size = (WIDTH, PANEL_HEIGHT * slope.quantities.len() as u32);
    save(&folder.join(format!("{}.svg", slope.name)), size, |root| draw(slope, root))
}

fn draw(slope: &Slope, root: &Area) -> DrawResult {
    for (index, area) in root.split_evenly((slope.quantities.len(), 1)).into_iter().enumerate() {
        let caption = if index == 0 { slope.title } else { "" };
        let points = |line: &str| -> Vec<(f64, f64)> {
            let rows = slope.rows.iter().filter(|row| &*row.line == line);
            rows.map(|row| (row.x, row.values[index])).filter(|point| !point.1.is_nan()).map(clamp).collect()
        };
        let all: Vec<_> = slope.lines().into_iter().flat_map(points).collect();
        if all.is_empty() {
            continue;
        }
        let mut chart = ChartBuilder::on(&area)
            .caption(caption, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(44)
            .y_label_area_size(84)
            .build_cartesian_2d(
                axis_range(all.iter().map(|point| point.0)).log_scale(),
                axis_range(all.iter().map(|point| point.1)).log_scale(),
            )?;
        chart
            .configure_mesh()
            .x_desc(slope.x_label)
            .y_desc(slope.quantities[index])
            .label_style(("sans-serif", 13))
            .light_line_style(WHITE)
            .x_label_formatter(&axis_label)
            .y_label_formatter(&axis_label)
            .draw()?;
        for (line, colour) in slope.lines().into_iter().zip(COLOURS.iter().cycle()) {
            let series = LineSeries::new(points(line), colour.stroke_width(2)).point_size(3);
            chart
                .draw_series(series)?
                .label(line)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .label_font(("sans-serif", 13))
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()?;
    }
    Ok(())
}

fn clamp((x, y): (f64, f64)) -> (f64, f64) {
    (x.max(MIN_PLOTTED), y.max(MIN_PLOTTED))
}

fn axis_range(values: impl Iterator<Item = f64> + Clone) -> Range<f64> {
    let min = values.clone().fold(f64::INFINITY, f64::min);
    let max = values.fold(MIN_PLOTTED, f64::max);
    min / AXIS_MARGIN..max * AXIS_MARGIN * AXIS_MARGIN
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the plot library passes a reference")]
fn axis_label(value: &f64) -> String {
    let value = *value;
    match value.abs() {
        size if size >= 1e6 => format!("{}M", value / 1e6),
        size if size >= 1e3 => format!("{}k", value / 1e3),
        _ => format!("{value}"),
    }
}
