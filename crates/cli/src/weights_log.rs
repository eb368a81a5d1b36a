//! What logs say of versions of the weights: which are published, on which a
//! request was sent and began, and how long the engines took to load them.

use std::fmt::Write;

use crate::explain_request::Line;

/// An event about versions of the weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Event {
    /// A process learned of a version.
    Published,
    /// A request was sent to a backend server with an older version.
    Sent,
    /// A request that was sent so has begun.
    Begun,
    /// A request that was sent so was withdrawn.
    Withdrawn,
    /// An agent said something of the rollout on its host.
    Rollout,
}

impl Event {
    fn of(line: &Line) -> Option<Event> {
        match line.event.strip_prefix('E')?.parse().ok()? {
            7022_u32 => Some(Event::Published),
            7126 => Some(Event::Sent),
            7127 => Some(Event::Begun),
            7128 => Some(Event::Withdrawn),
            7200 | 7201 | 7210 | 7220..=7227 | 7229..=7249 => Some(Event::Rollout),
            _ => None,
        }
    }
}

/// How a request was sent to a backend server with old weights, or began there.
#[derive(Debug)]
struct OldWeights<'a> {
    line: &'a Line,
    server: &'a str,
    /// The version that the backend server held.
    held: &'a str,
    newest: u64,
    /// How long the entry had known of the newest version.
    known_ms: u64,
    /// The time since the request was sent, if it has begun.
    wait_ms: Option<u64>,
}

impl OldWeights<'_> {
    fn parse(line: &Line) -> Option<OldWeights<'_>> {
        let event = Event::of(line)?;
        if !matches!(event, Event::Sent | Event::Begun) {
            return None;
        }
        let newest_and_age = line.message.split_once("; version ")?.1;
        let (newest, age) = newest_and_age.split_once(" is known for ")?;
        let (before, after) = line.message.split_once(" of the weights")?;
        Some(OldWeights {
            line,
            server: word_after(&line.message, "backend server ")?,
            held: before.rsplit(' ').next()?,
            newest: newest.parse().ok()?,
            known_ms: number_before(age, " ms")?,
            wait_ms: match event {
                Event::Begun => Some(number_before(after, " ms after it was sent")?),
                _ => None,
            },
        })
    }

    /// Whether the engine has loaded the newest version meanwhile.
    fn is_newest(&self) -> bool {
        let held: Option<u64> = self.held.parse().ok();
        held.is_some_and(|held| held >= self.newest)
    }
}

/// The lines about versions of the weights.
#[derive(Debug, Default)]
pub(crate) struct WeightsLog {
    published: Vec<Line>,
    rollouts: Vec<Line>,
    /// Lines about old weights that the processes left out.
    left_out: u64,
}

impl WeightsLog {
    pub(crate) fn add(&mut self, line: &Line) {
        match Event::of(line) {
            Some(Event::Published) => self.published.push(line.clone()),
            Some(Event::Rollout) => self.rollouts.push(line.clone()),
            Some(Event::Sent | Event::Begun | Event::Withdrawn) => self.left_out += line.left_out,
            None => {}
        }
    }

    /// Says on which version a request began and why. `lines` are those that
    /// name it, in order of time.
    pub(crate) fn explain(&self, id: &str, lines: &[Line]) -> String {
        let steps: Vec<OldWeights<'_>> = lines.iter().filter_map(OldWeights::parse).collect();
        let mut text = String::new();
        for begun in steps.iter().filter(|step| step.wait_ms.is_some()) {
            let is_its_send = |step: &&OldWeights<'_>| {
                step.wait_ms.is_none()
                    && step.server == begun.server
                    && step.line.host == begun.line.host
                    && step.line.time_ms <= begun.line.time_ms
            };
            let sent = steps.iter().rfind(is_its_send);
            text += &self.explain_begin(id, begun, sent);
        }
        if text.is_empty() {
            text = explain_without_begin(id, &steps, lines);
        }
        if self.left_out > 0 {
            let _ = writeln!(
                text,
                "{} lines about old weights are missing in these logs, as they were too many in a second",
                self.left_out
            );
        }
        text
    }

    fn explain_begin(
        &self,
        id: &str,
        begun: &OldWeights<'_>,
        sent: Option<&OldWeights<'_>>,
    ) -> String {
        let wait_ms = begun.wait_ms.unwrap_or(0);
        if begun.is_newest() {
            return format!(
                "Request {id} began on version {} at backend server {}, the newest that {} knew: the engine loaded it within the {wait_ms} ms since the request was sent.\n",
                begun.held, begun.server, begun.line.host
            );
        }
        let mut text = format!(
            "Request {id} began on version {} at backend server {}, when {} had known of version {} for {} ms.\n",
            begun.held, begun.server, begun.line.host, begun.newest, begun.known_ms
        );
        let _ = match sent {
            Some(sent) => writeln!(
                text,
                "- It was sent when version {} was known for {} ms: that is what the entry decided by.",
                sent.newest, sent.known_ms
            ),
            None => writeln!(
                text,
                "- No line says that it was sent to old weights: the entry believed that {} held the newest version, or the line is missing.",
                begun.server
            ),
        };
        let _ = writeln!(
            text,
            "- It began {wait_ms} ms after it was sent: on the way and in the queue of the engine."
        );
        self.explain_news(begun, &mut text);
        self.explain_rollout(begun, &mut text);
        text
    }

    /// The lines that say that a version is published, the first one first.
    fn publications(&self, version: u64) -> impl Iterator<Item = &Line> {
        let word = format!("version {version}");
        let lines = self.published.iter().filter(|line| line.names(&word));
        let mut lines: Vec<&Line> = lines.collect();
        lines.sort_by_key(|line| line.time_ms);
        lines.into_iter()
    }

    /// Says how much later than others the entry learned of the version.
    fn explain_news(&self, begun: &OldWeights<'_>, text: &mut String) {
        let first = self.publications(begun.newest).next();
        let own = self
            .publications(begun.newest)
            .find(|line| line.host == begun.line.host);
        let _ = match (first, own) {
            (Some(first), Some(own)) => writeln!(
                text,
                "- {} learned of version {} {} ms after {}, the first in these logs.",
                own.host,
                begun.newest,
                own.time_ms.saturating_sub(first.time_ms),
                first.host
            ),
            _ => writeln!(
                text,
                "- When {} learned of version {} is not in these logs (E7022); add its log from before {}.",
                begun.line.host,
                begun.newest,
                begun.line.format().split(' ').next().unwrap_or_default()
            ),
        };
    }

    /// Lists what the agent of the backend server did from the publication of
    /// the version on.
    fn explain_rollout(&self, begun: &OldWeights<'_>, text: &mut String) {
        let known_since = begun.line.time_ms.saturating_sub(begun.known_ms);
        let first = self.publications(begun.newest).next();
        let since = first.map_or(known_since, |line| line.time_ms.min(known_since));
        let agent = self
            .rollouts
            .iter()
            .find(|line| line.names(begun.server))
            .map(|line| line.host.as_str());
        let Some(agent) = agent else {
            let _ = writeln!(
                text,
                "- Why {} still held version {} is not in these logs; add the log of its agent.",
                begun.server, begun.held
            );
            return;
        };
        let word = format!("version {}", begun.newest);
        let mut lines: Vec<&Line> = self.rollouts.iter().collect();
        lines.retain(|line| line.host == agent && line.time_ms >= since);
        lines.sort_by_key(|line| line.time_ms);
        let loaded = |line: &&Line| line.event == "E7238" && line.names(&word);
        let end = lines
            .iter()
            .position(loaded)
            .map_or(lines.len(), |at| at + 1);
        let _ = match lines[..end].is_empty() {
            true => writeln!(
                text,
                "- Its agent {agent} says nothing of version {} in these logs; add its log up to E7238.",
                begun.newest
            ),
            false => writeln!(
                text,
                "- {} loaded version {} so:",
                begun.server, begun.newest
            ),
        };
        for line in &lines[..end] {
            let _ = writeln!(text, "  {}", line.format());
        }
    }
}

fn explain_without_begin(id: &str, steps: &[OldWeights<'_>], lines: &[Line]) -> String {
    let withdrawn = lines
        .iter()
        .any(|line| Event::of(line) == Some(Event::Withdrawn));
    match (steps.last(), withdrawn) {
        (Some(_), true) => {
            format!("Request {id} was sent to old weights and withdrawn before it began there.\n")
        }
        (Some(sent), false) => format!(
            "Request {id} was sent to backend server {} with version {}, but no line says that it began there; only streams say so.\n",
            sent.server, sent.held
        ),
        (None, _) => format!(
            "No line says that request {id} was sent to old weights or began on them: \
             if it began, then on the newest version that its entry knew.\n"
        ),
    }
}

/// The word that follows `prefix`.
fn word_after<'a>(text: &'a str, prefix: &str) -> Option<&'a str> {
    let (_, after) = text.split_once(prefix)?;
    after.split([' ', ';', ':', ',']).next()
}

/// The number that stands before `suffix`.
fn number_before(text: &str, suffix: &str) -> Option<u64> {
    let (before, _) = text.split_once(suffix)?;
    before.rsplit(' ').next()?.parse().ok()
}
