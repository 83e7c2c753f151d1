/*!
A picture of the delays: in what the jobs of each second spent their time.
*/

use {
    super::{Cause, Delays, Fate, Ms},
    plotters::prelude::{
        BLACK, ChartBuilder, Color, IntoDrawingArea, RGBColor, Rectangle,
        SVGBackend, SeriesLabelPosition, WHITE,
    },
    std::{collections::BTreeMap, error::Error},
};

/// The picture's width and height, in pixels.
const SIZE: (u32, u32) = (960, 420);

/// Over how many milliseconds jobs are put together by their first try.
const BAR_MS: Ms = 1_000;

/// One colour a cause, in the order of [`Cause::ALL`], told apart also by
/// those who see few colours.
const COLOURS: [RGBColor; 11] = [
    RGBColor(213, 94, 0),
    RGBColor(240, 228, 66),
    RGBColor(0, 0, 0),
    RGBColor(120, 120, 120),
    RGBColor(86, 180, 233),
    RGBColor(0, 114, 178),
    RGBColor(204, 121, 167),
    RGBColor(0, 158, 115),
    RGBColor(120, 94, 60),
    RGBColor(200, 200, 200),
    RGBColor(60, 60, 140),
];

/// Draws the time of jobs that weren't on time as SVG: a bar for each second
/// of first tries, split by cause.
///
/// # Errors
///
/// Returns why the picture can't be drawn.
pub fn svg(delays: &Delays) -> Result<String, Box<dyn Error>> {
    let mut picture = String::new();
    let bars = bars(delays);
    let seconds = bars.keys().map(|(second, _)| *second).max();
    let seconds = seconds.unwrap_or(0) + 1;
    let mut heights: BTreeMap<Ms, f64> = BTreeMap::new();
    for ((second, _), spent_s) in &bars {
        *heights.entry(*second).or_default() += spent_s;
    }
    let highest = heights.values().copied().fold(1.0, f64::max);
    {
        let area =
            SVGBackend::with_string(&mut picture, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(48)
            .caption("time of late jobs, by cause", ("sans-serif", 18))
            .build_cartesian_2d(0.0..seconds as f64, 0.0..highest * 1.05)?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_desc("second of the first try")
            .y_desc("job-seconds")
            .draw()?;
        let mut bases: BTreeMap<Ms, f64> = BTreeMap::new();
        for (cause, colour) in Cause::ALL.into_iter().zip(COLOURS) {
            let mut boxes = Vec::new();
            for second in 0..seconds {
                let Some(spent_s) = bars.get(&(second, cause)) else {
                    continue;
                };
                let base = bases.entry(second).or_default();
                let (left, right) = (second as f64 + 0.1, second as f64 + 0.9);
                let corners = [(left, *base), (right, *base + spent_s)];
                boxes.push(Rectangle::new(corners, colour.filled()));
                *base += spent_s;
            }
            chart.draw_series(boxes)?.label(cause.name()).legend(
                move |(x, y)| {
                    let corners = [(x, y - 5), (x + 12, y + 5)];
                    Rectangle::new(corners, colour.filled())
                },
            );
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperRight)
            .background_style(WHITE.mix(0.9))
            .border_style(BLACK)
            .draw()?;
        area.present()?;
    }
    Ok(picture)
}

/// Returns how many job-seconds the late jobs of each second spent in each
/// cause.
fn bars(delays: &Delays) -> BTreeMap<(Ms, Cause), f64> {
    let mut bars = BTreeMap::new();
    let Some(first) = delays.jobs().first() else { return bars };
    let late = delays
        .jobs()
        .iter()
        .filter(|job| matches!(job.fate, Fate::Late | Fate::LateUnavoidably));
    for job in late {
        let second = (job.first_ms - first.first_ms) / BAR_MS;
        for (cause, ms) in job.by_cause() {
            *bars.entry((second, cause)).or_default() += ms as f64 / 1_000.0;
        }
    }
    bars
}
