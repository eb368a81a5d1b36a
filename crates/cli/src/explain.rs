//! Explains the numbers of events and errors.

use crate::error::Error;
use crate::error::NumberSnafu;

const CATALOGUE: &str = include_str!("../../../docs/EVENTS.md");

/// The row of the catalogue for a number.
pub(crate) fn run(number: &str) -> Result<String, Error> {
    let digits = number.trim_start_matches(['E', 'e']);
    let wanted = format!("E{digits}");
    let mut rows = CATALOGUE.lines().filter_map(row);
    match rows.find(|row| row.number == wanted) {
        Some(row) => Ok(format!(
            "{} ({})\n  {}\n  What to do: {}",
            row.number, row.level, row.meaning, row.remedy
        )),
        None => NumberSnafu { number }.fail(),
    }
}

struct Row<'a> {
    number: &'a str,
    level: &'a str,
    meaning: &'a str,
    remedy: &'a str,
}

fn row(line: &str) -> Option<Row<'_>> {
    let mut cells = line.strip_prefix("| E")?.split('|').map(str::trim);
    let number = cells.next()?;
    let number = &line[2..3 + number.len()];
    Some(Row {
        number,
        level: cells.next()?,
        meaning: cells.next()?,
        remedy: cells.next()?,
    })
}
