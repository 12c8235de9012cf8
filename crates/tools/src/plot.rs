//! Common parts of the plots of this crate.

use {
    error_stack::ResultExt,
    hemlockford_core::errors::{ErrorKind, Result, io},
    plotters::{
        coord::Shift,
        drawing::DrawingArea,
        prelude::{Color, IntoDrawingArea, IntoFont, RGBColor, Rectangle, SVGBackend, Text},
        style::{TextStyle, WHITE},
    },
    std::path::Path,
};

/// Width of every plot, in pixels.
pub(crate) const WIDTH: u32 = 900;
/// Colours of plot series, which readers with red-green colour blindness can distinguish.
pub(crate) const COLOURS: [RGBColor; 8] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
    RGBColor(90, 90, 90),
    RGBColor(230, 159, 0),
    RGBColor(240, 228, 66),
];
/// Height of one line of a legend, in pixels.
pub(crate) const LEGEND_LINE: u32 = 20;
/// Side length of the coloured square of a legend item, in pixels.
const SWATCH_SIZE: i32 = 11;
/// Space between two items of a legend, in pixels.
const ITEM_GAP: i32 = 18;
/// Additional share of the estimated text width, for renderers with wider fonts.
const TEXT_WIDTH_MARGIN: f64 = 0.15;

/// A drawing area in pixel coordinates.
pub(crate) type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
/// Result of drawing. The error type is boxed, because the errors of the plot library depend on the coordinate type.
pub(crate) type DrawResult = std::result::Result<(), Box<dyn std::error::Error>>;

/// Draws a plot and saves it as an SVG file.
pub(crate) fn save(path: &Path, size: (u32, u32), draw: impl FnOnce(&Area) -> DrawResult) -> Result<()> {
    let root = SVGBackend::new(path, size).into_drawing_area();
    let draw = || -> DrawResult {
        root.fill(&WHITE)?;
        draw(&root)?;
        root.present()?;
        Ok(())
    };
    let drawn = draw().map_err(|e| io(e.to_string()));
    drawn.change_context(ErrorKind::Io).attach_with(|| format!("cannot draw {}", path.display()))
}

/// Draws a legend from the upper left corner of an area, wrapped into as many lines as needed.
pub(crate) fn legend(area: &Area, items: &[(&str, RGBColor)]) -> DrawResult {
    let style = text_style(13);
    let width = area.dim_in_pixel().0 as i32;
    let (mut x, mut y) = (ITEM_GAP, 6);
    for (name, colour) in items {
        let (text, _) = area.estimate_text_size(name, &style)?;
        let needed = SWATCH_SIZE + 5 + (f64::from(text) * (1.0 + TEXT_WIDTH_MARGIN)) as i32;
        if x > ITEM_GAP && x + needed > width {
            (x, y) = (ITEM_GAP, y + LEGEND_LINE as i32);
        }
        area.draw(&Rectangle::new([(x, y + 2), (x + SWATCH_SIZE, y + 2 + SWATCH_SIZE)], colour.filled()))?;
        area.draw(&Text::new((*name).to_owned(), (x + SWATCH_SIZE + 5, y + 1), style.clone()))?;
        x += needed + ITEM_GAP;
    }
    Ok(())
}

/// Returns the text style for a font size in pixels.
pub(crate) fn text_style(size: i32) -> TextStyle<'static> {
    ("sans-serif", size).into_font().into()
}
