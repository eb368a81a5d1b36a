//! Line plots as SVG.

use plotters::prelude::*;

use crate::Error;

/// The width and height of a plot.
const SIZE_PX: (u32, u32) = (760, 380);
/// The height of the y axis, relative to the highest point.
const Y_SCALE: f64 = 1.08;

/// A plot of one or more series.
#[derive(Clone, Debug)]
pub(super) struct Plot {
    title: String,
    x: String,
    y: String,
    pub(super) series: Vec<Series>,
}

/// A named line through points, sorted by x.
#[derive(Clone, Debug)]
pub(super) struct Series {
    name: String,
    points: Vec<(f64, f64)>,
}

impl From<(String, Vec<(f64, f64)>)> for Series {
    fn from((name, mut points): (String, Vec<(f64, f64)>)) -> Series {
        points.sort_by(|a, b| a.0.total_cmp(&b.0));
        Series { name, points }
    }
}

impl Plot {
    /// Creates a plot with axis labels `x` and `y`; `None` if no series has a
    /// point.
    pub(super) fn new(title: &str, x: &str, y: &str, series: Vec<Series>) -> Option<Plot> {
        let any = series.iter().any(|series| !series.points.is_empty());
        any.then(|| Plot {
            title: title.to_owned(),
            x: x.to_owned(),
            y: y.to_owned(),
            series,
        })
    }

    /// Draws the plot as SVG text.
    ///
    /// # Errors
    ///
    /// [`Error::Plot`] if drawing fails.
    pub(super) fn svg(&self) -> Result<String, Error> {
        let mut svg = String::new();
        match self.draw(&mut svg) {
            Ok(()) => Ok(svg),
            Err(error) => Err(Error::Plot {
                what: self.title.clone(),
                detail: error.to_string(),
            }),
        }
    }

    fn draw(&self, svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::with_string(svg, SIZE_PX).into_drawing_area();
        area.fill(&WHITE)?;
        let points = || self.series.iter().flat_map(|series| &series.points);
        let low = points().map(|point| point.0).fold(f64::MAX, f64::min);
        let high = points().map(|point| point.0).fold(f64::MIN, f64::max);
        let top = points().map(|point| point.1).fold(0.0, f64::max);
        // An axis needs a range that is not empty.
        let high = if high > low { high } else { low + 1.0 };
        let top = if top > 0.0 { top * Y_SCALE } else { 1.0 };
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(64)
            .build_cartesian_2d(low..high, 0.0..top)?;
        chart
            .configure_mesh()
            .x_desc(&self.x)
            .y_desc(&self.y)
            .light_line_style(WHITE.mix(0.0))
            .draw()?;
        for (index, series) in self.series.iter().enumerate() {
            let color = Palette99::pick(index).to_rgba();
            let line = LineSeries::new(series.points.iter().copied(), color.stroke_width(2));
            chart
                .draw_series(line)?
                .label(&series.name)
                .legend(move |(x, y)| {
                    Rectangle::new([(x, y - 4), (x + 12, y + 4)], color.filled())
                });
            let dots = series.points.iter();
            let dots = dots.map(|point| Circle::new(*point, 3, color.filled()));
            chart.draw_series(dots)?;
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.2))
            .draw()?;
        area.present()?;
        Ok(())
    }
}
