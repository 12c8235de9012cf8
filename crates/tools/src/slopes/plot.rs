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

/// Height of the panel of one measured quantity.
const PANEL: u32 = 340;
/// Room on a logarithmic axis beyond the outermost values.
const MARGIN: f64 = 1.25;
/// Value that stands for zero on a logarithmic axis.
const LEAST: f64 = 1e-3;

/// Draws a slope with one panel for each measured quantity, both axes logarithmic.
pub(super) fn plot(slope: &Slope, folder: &Path) -> Result<()> {
    let size = (WIDTH, PANEL * slope.measures.len() as u32);
    save(&folder.join(format!("{}.svg", slope.name)), size, |root| draw(slope, root))
}

fn draw(slope: &Slope, root: &Area) -> DrawResult {
    for (index, area) in root.split_evenly((slope.measures.len(), 1)).into_iter().enumerate() {
        let caption = if index == 0 { slope.title } else { "" };
        let points = |line: &str| -> Vec<(f64, f64)> {
            let rows = slope.rows.iter().filter(|row| &*row.line == line);
            rows.map(|row| (row.x, row.values[index])).filter(|point| !point.1.is_nan()).map(visible).collect()
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
                range(all.iter().map(|point| point.0)).log_scale(),
                range(all.iter().map(|point| point.1)).log_scale(),
            )?;
        chart
            .configure_mesh()
            .x_desc(slope.x)
            .y_desc(slope.measures[index])
            .label_style(("sans-serif", 13))
            .light_line_style(WHITE)
            .x_label_formatter(&label)
            .y_label_formatter(&label)
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

fn visible((x, y): (f64, f64)) -> (f64, f64) {
    (x.max(LEAST), y.max(LEAST))
}

fn range(values: impl Iterator<Item = f64> + Clone) -> Range<f64> {
    let least = values.clone().fold(f64::INFINITY, f64::min);
    let most = values.fold(LEAST, f64::max);
    least / MARGIN..most * MARGIN * MARGIN
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the plot library asks for a function of a reference")]
fn label(value: &f64) -> String {
    let value = *value;
    match value.abs() {
        size if size >= 1e6 => format!("{}M", value / 1e6),
        size if size >= 1e3 => format!("{}k", value / 1e3),
        _ => format!("{value}"),
    }
}
