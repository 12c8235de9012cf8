//! What the plots of this crate share: size, colours, files and legends.

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
/// Colours that are told apart also by readers who confuse red and green.
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
/// Side of the coloured square of a legend, in pixels.
const SWATCH: i32 = 11;
/// Room between two items of a legend, in pixels.
const GAP: i32 = 18;
/// Share of the estimated width that a renderer with wider letters may need in addition.
const SPARE: f64 = 0.15;

/// A part of a plot, in pixels.
pub(crate) type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
/// Result of drawing; the errors of the plot library depend on the kind of coordinates.
pub(crate) type Drawn = std::result::Result<(), Box<dyn std::error::Error>>;

/// Draws an SVG file.
pub(crate) fn save(path: &Path, size: (u32, u32), draw: impl FnOnce(&Area) -> Drawn) -> Result<()> {
    let root = SVGBackend::new(path, size).into_drawing_area();
    let draw = || -> Drawn {
        root.fill(&WHITE)?;
        draw(&root)?;
        root.present()?;
        Ok(())
    };
    let drawn = draw().map_err(|e| io(e.to_string()));
    drawn.change_context(ErrorKind::Io).attach_with(|| format!("cannot draw {}", path.display()))
}

/// Draws a legend from the upper left corner of an area, in as many lines as it needs.
pub(crate) fn legend(area: &Area, items: &[(&str, RGBColor)]) -> Drawn {
    let style = text_style(13);
    let width = area.dim_in_pixel().0 as i32;
    let (mut x, mut y) = (GAP, 6);
    for (name, colour) in items {
        let (text, _) = area.estimate_text_size(name, &style)?;
        let needed = SWATCH + 5 + (f64::from(text) * (1.0 + SPARE)) as i32;
        if x > GAP && x + needed > width {
            (x, y) = (GAP, y + LEGEND_LINE as i32);
        }
        area.draw(&Rectangle::new([(x, y + 2), (x + SWATCH, y + 2 + SWATCH)], colour.filled()))?;
        area.draw(&Text::new((*name).to_owned(), (x + SWATCH + 5, y + 1), style.clone()))?;
        x += needed + GAP;
    }
    Ok(())
}

/// Returns the style of text of a size in pixels.
pub(crate) fn text_style(size: i32) -> TextStyle<'static> {
    ("sans-serif", size).into_font().into()
}
