//! Plots of slopes.

use {
    super::Slope,
    error_stack::ResultExt,
    hemlockford_core::errors::{ErrorKind, Result},
    plotters::{
        prelude::{
            ChartBuilder, Color, IntoDrawingArea, IntoLogRange, LineSeries, PathElement, RGBColor, SVGBackend,
            SeriesLabelPosition,
        },
        style::{BLACK, WHITE},
    },
    std::{ops::Range, path::Path},
};

const WIDTH: u32 = 900;
/// Height of the panel of one measured quantity.
const PANEL: u32 = 340;
/// Colours that are told apart also by readers who confuse red and green.
const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
    RGBColor(90, 90, 90),
];
/// Room on a logarithmic axis beyond the outermost values.
const MARGIN: f64 = 1.25;
/// Value that stands for zero on a logarithmic axis.
const LEAST: f64 = 1e-3;

/// Draws a slope with one panel for each measured quantity, both axes logarithmic.
pub(super) fn plot(slope: &Slope, folder: &Path) -> Result<()> {
    let path = folder.join(format!("{}.svg", slope.name));
    let drawn = draw(slope, &path).map_err(|e| hemlockford_core::errors::io(e.to_string()));
    drawn.change_context(ErrorKind::Io).attach_with(|| format!("cannot draw {}", path.display()))
}

fn draw(slope: &Slope, path: &Path) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let panels = slope.measures.len() as u32;
    let root = SVGBackend::new(path, (WIDTH, PANEL * panels)).into_drawing_area();
    root.fill(&WHITE)?;
    for (index, area) in root.split_evenly((panels as usize, 1)).into_iter().enumerate() {
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
    root.present()?;
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
