//! `bench report`: writes one self-contained HTML page with plots and tables of
//! stored results, which are lines of JSON.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ffi::OsStr;
use std::ffi::OsString;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use serde_json::Value;
use snafu::ResultExt;

use crate::Error;
use crate::error::FileSnafu;
use crate::error::flag_error;

mod page;
mod plot;

use page::Page;
use plot::Plot;
use plot::Series;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Writes one HTML page with plots and tables of stored JSON lines.
        cmd report {
            /// Files of JSON lines, or directories with such files (*.jsonl).
            repeated inputs: PathBuf
            /// The file to write the page to.
            optional --output path: PathBuf
        }
    }
}

/// The default file of the page.
const DEFAULT_OUTPUT: &str = "out/report.html";
/// The default directory of stored lines.
const DEFAULT_INPUT: &str = "docs/results";
/// Hosts at the target size, entries and agents together.
const TARGET_HOSTS: f64 = 3160.0;

/// One stored result.
#[derive(Clone, Debug)]
pub struct Line {
    /// The path of the file that the line was read from.
    pub file: String,
    /// The JSON object of the line.
    pub fields: Value,
}

impl Line {
    fn number(&self, field: &str) -> Option<f64> {
        self.fields.get(field)?.as_f64()
    }

    /// The name of the file without directory and extension.
    fn file_stem(&self) -> &str {
        let stem = Path::new(&self.file).file_stem();
        stem.and_then(OsStr::to_str).unwrap_or(&self.file)
    }

    fn text(&self, field: &str) -> &str {
        self.fields[field].as_str().unwrap_or("")
    }
}

/// Writes the page with the flags after `report`.
///
/// # Errors
///
/// [`Error`] if the flags are wrong, a file is not readable or writable, or a
/// plot is not drawn.
pub fn run(arguments: Vec<OsString>) -> Result<(), Error> {
    let flags = flags::Report::from_vec(arguments).map_err(|error| flag_error(&error))?;
    let inputs = match flags.inputs.is_empty() {
        true => vec![PathBuf::from(DEFAULT_INPUT)],
        false => flags.inputs,
    };
    let mut lines = Vec::new();
    for input in &inputs {
        read(input, &mut lines)?;
    }
    let page = render(&lines)?;
    let output = flags
        .output
        .unwrap_or_else(|| PathBuf::from(DEFAULT_OUTPUT));
    let path = output.to_string_lossy();
    if let Some(parent) = output.parent() {
        fs::create_dir_all(parent).context(FileSnafu { path: path.clone() })?;
    }
    fs::write(&output, page).context(FileSnafu { path })?;
    println!("{} lines in {}", lines.len(), output.display());
    Ok(())
}

fn read(path: &Path, lines: &mut Vec<Line>) -> Result<(), Error> {
    let file = path.to_string_lossy().into_owned();
    if path.is_dir() {
        let entries = fs::read_dir(path).context(FileSnafu { path: &file })?;
        let mut files: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
        files.sort();
        let jsonl = |path: &PathBuf| path.extension().is_some_and(|e| e == "jsonl");
        return files
            .iter()
            .filter(|path| jsonl(path))
            .try_for_each(|path| read(path, lines));
    }
    let text = fs::read_to_string(path).context(FileSnafu { path: &file })?;
    // Lines that are no JSON objects, such as the command that gave the
    // results, are comments.
    let parsed = text.lines().filter_map(|line| {
        let fields: Value = serde_json::from_str(line).ok()?;
        fields.is_object().then(|| Line {
            file: file.clone(),
            fields,
        })
    });
    lines.extend(parsed);
    Ok(())
}

/// Renders the page with the plots and tables of these lines.
///
/// # Errors
///
/// [`Error::Plot`] if a plot is not drawn.
pub fn render(lines: &[Line]) -> Result<String, Error> {
    let mut page = Page::new("snipewinch: measured");
    let burst = lines_with(lines, &["policy", "seconds_to_all"]);
    for plot in [
        replica_timeline(&burst),
        plot_by(
            &burst,
            "policy",
            "agents",
            "seconds_to_all",
            "seconds until every host holds it",
        )
        .map(|plot| plot.with_series(&burst, "agents", "bound_seconds", "lower bound")),
        plot_by(
            &burst,
            "policy",
            "agents",
            "origin_copies",
            "copies sent by the origin",
        ),
    ] {
        page.plot("Weights", plot)?;
    }
    page.table("Weights", &burst);
    let calls = lines_with(lines, &["answered_whole", "p50_ms"]);
    page.plot("Calls", call_percentiles(&calls))?;
    page.table("Calls", &calls);
    let config = lines_with(lines, &["in_force_s_max"]);
    page.plot("Configuration", configuration_delays(&config))?;
    page.table("Configuration", &config);
    let slopes = lines_with(lines, &["slope", "hosts"]);
    for plot in cost_plots(&slopes) {
        page.plot("Cost for each host", Some(plot))?;
    }
    page.table("Cost for each host", &slopes);
    page.table("Drills", &lines_with(lines, &["promises"]));
    page.table("Demo", &lines_with(lines, &["replicas", "ratio_to_bound"]));
    Ok(page.finish())
}

/// The lines that have all of these fields.
fn lines_with(lines: &[Line], fields: &[&str]) -> Vec<Line> {
    let has_fields = |line: &&Line| fields.iter().all(|field| line.fields.get(field).is_some());
    lines.iter().filter(has_fields).cloned().collect()
}

/// Plots `y` over `x`, with one series for each value of `group` in each file,
/// because runs under different conditions are stored in different files.
fn plot_by(lines: &[Line], group: &str, x: &str, y: &str, title: &str) -> Option<Plot> {
    let mut series: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
    for line in lines {
        if let (Some(x), Some(y)) = (line.number(x), line.number(y)) {
            let name = format!("{} ({})", line.text(group), line.file_stem());
            series.entry(name).or_default().push((x, y));
        }
    }
    Plot::new(title, x, y, series.into_iter().map(Series::from).collect())
}

impl Plot {
    /// Adds a series with the field `y` of all lines over `x`, without
    /// duplicate points.
    fn with_series(mut self, lines: &[Line], x: &str, y: &str, name: &str) -> Plot {
        let points: BTreeSet<(u64, u64)> = lines
            .iter()
            .filter_map(|line| Some((line.number(x)?.to_bits(), line.number(y)?.to_bits())))
            .collect();
        let points = points
            .into_iter()
            .map(|(x, y)| (f64::from_bits(x), f64::from_bits(y)))
            .collect();
        self.series.push(Series::from((name.to_owned(), points)));
        self
    }
}

/// Plots the number of replicas over time, from lines with a timeline.
fn replica_timeline(lines: &[Line]) -> Option<Plot> {
    let series = lines.iter().filter_map(|line| {
        let points = line.fields.get("timeline")?.as_array()?;
        let points = points
            .iter()
            .filter_map(|point| Some((point[0].as_f64()?, point[1].as_f64()?)))
            .collect();
        let name = format!("{} {}", line.text("policy"), line.number("agents")?);
        Some(Series::from((name, points)))
    });
    Plot::new(
        "replicas over time",
        "seconds",
        "replicas",
        series.collect(),
    )
}

fn call_percentiles(lines: &[Line]) -> Option<Plot> {
    let quantiles = [(50.0, "p50_ms"), (99.0, "p99_ms"), (99.9, "p999_ms")];
    let series = lines.iter().enumerate().map(|(index, line)| {
        let points = quantiles
            .iter()
            .filter_map(|(quantile, field)| Some((*quantile, line.number(field)?)))
            .collect();
        Series::from((format!("{} {}", index + 1, line.text("faults")), points))
    });
    Plot::new(
        "time of a call",
        "percentile",
        "milliseconds",
        series.collect(),
    )
}

fn configuration_delays(lines: &[Line]) -> Option<Plot> {
    let series = lines.iter().enumerate().map(|(index, line)| {
        let points = [(50.0, "in_force_s_p50"), (100.0, "in_force_s_max")]
            .iter()
            .filter_map(|(quantile, field)| Some((*quantile, line.number(field)?)))
            .collect();
        Series::from((format!("{} {}", index + 1, line.text("faults")), points))
    });
    Plot::new(
        "until a configuration is in force",
        "percentile",
        "seconds",
        series.collect(),
    )
}

/// Plots each cost over the number of hosts, with its fitted line extrapolated
/// to the target size.
fn cost_plots(lines: &[Line]) -> Vec<Plot> {
    let mut measures: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
    for line in lines {
        if let (Some(hosts), Some(value)) = (line.number("hosts"), line.number("value")) {
            let measure = line.text("slope").to_owned();
            measures.entry(measure).or_default().push((hosts, value));
        }
    }
    measures
        .into_iter()
        .filter_map(|(measure, points)| {
            let fit = crate::slopes::Fit::least_squares(&points)?;
            let fewest = points.iter().map(|point| point.0).fold(f64::MAX, f64::min);
            let extrapolation = vec![
                (fewest, fit.value_at(fewest)),
                (TARGET_HOSTS, fit.value_at(TARGET_HOSTS)),
            ];
            let series = vec![
                Series::from(("measured".to_owned(), points)),
                Series::from(("extrapolated to the target".to_owned(), extrapolation)),
            ];
            Plot::new(&measure, "hosts", &measure, series)
        })
        .collect()
}
