//! The `explain` command: describes an event or error by its number.

use crate::error::Error;
use crate::error::UnknownNumberSnafu;

const EVENTS_PAGE: &str = include_str!("../../../docs/EVENTS.md");

/// Formats the table row of a number, which may be written without the `E` or
/// with a lower-case one.
pub(crate) fn run(number: &str) -> Result<String, Error> {
    let digits = number.trim_start_matches(['E', 'e']);
    let normalized = format!("E{digits}");
    let mut rows = EVENTS_PAGE.lines().filter_map(parse_row);
    match rows.find(|row| row.number == normalized) {
        Some(row) => Ok(format!(
            "{} ({})\n  {}\n  What to do: {}",
            row.number, row.level, row.meaning, row.remedy
        )),
        None => UnknownNumberSnafu { number }.fail(),
    }
}

/// What an event means; `None` if it has no row.
pub(crate) fn meaning(event: &str) -> Option<&'static str> {
    let mut rows = EVENTS_PAGE.lines().filter_map(parse_row);
    rows.find(|row| row.number == event).map(|row| row.meaning)
}

/// A row of the table of events.
struct Row<'a> {
    number: &'a str,
    level: &'a str,
    meaning: &'a str,
    remedy: &'a str,
}

fn parse_row(line: &str) -> Option<Row<'_>> {
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
