//! What a roster hears from peers and tells them.

use std::ops::Bound;
use std::time::Duration;

use rand::RngExt;

use super::Action;
use super::HOSTS_MAX;
use super::Link;
use super::Listed;
use super::Record;
use super::Roster;
use super::Told;
use crate::host;
use crate::membership::Message;
use crate::membership::Place;
use crate::membership::Rumor;
use crate::membership::State;

/// Peers that are told news at once.
const FANOUT: usize = 2;
/// How long a process takes in what is there before it passes news on.
const STARTING: Duration = Duration::from_secs(10);
/// Rumors in one message of news.
const NEWS_MAX: usize = 8;
/// Rumors in one message of an answer.
const ANSWER_MAX: usize = 256;
/// How often each rumor is told, times the logarithm of the number of hosts.
const RETELL: u32 = 1;

impl Roster {
    pub(super) fn receive(
        &mut self,
        now: Duration,
        link: Link,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        let Some(connection) = self.links.get(&link) else {
            return;
        };
        let near = connection.region == self.own.region;
        match message {
            Message::Ask => self.tell_all(link, actions),
            Message::All(rumors) => {
                for rumor in rumors {
                    self.hear(now, rumor, near);
                }
            }
            Message::News(rumors) => {
                for rumor in rumors {
                    let host = rumor.host.clone();
                    if self.hear(now, rumor, near) {
                        self.retell(now, &host);
                    }
                }
            }
        }
    }

    pub(super) fn tell_all(&self, link: Link, actions: &mut Vec<Action>) {
        let mut rumors = vec![self.own_rumor()];
        rumors.extend(
            self.records
                .iter()
                .filter_map(|(host, record)| rumor(host, record)),
        );
        for chunk in rumors.chunks(ANSWER_MAX) {
            let message = Message::All(chunk.to_vec());
            actions.push(Action::Send { link, message });
        }
    }

    /// Takes in a rumor; answers whether it was news.
    pub(super) fn hear(&mut self, now: Duration, rumor: Rumor, near: bool) -> bool {
        if rumor.host == self.own.host {
            self.hear_of_self(&rumor);
            return false;
        }
        if self.records.len() >= HOSTS_MAX && !self.records.contains_key(&rumor.host) {
            return false;
        }
        self.hear_list(&rumor);
        // An address told across regions need not work from here.
        let address_known = near && rumor.place.region == self.own.region;
        let record = self.records.entry(rumor.host.clone()).or_default();
        let news = match &record.told {
            None => true,
            Some(told) => supersedes(&rumor, told),
        };
        if !news {
            return false;
        }
        let kept = record.told.as_ref().is_some_and(|told| {
            told.incarnation == rumor.incarnation && told.address_known && !address_known
        });
        let place = match (&record.told, kept) {
            (Some(told), true) => told.place.clone(),
            _ => rumor.place,
        };
        record.evidence_at = now;
        record.told = Some(Told {
            incarnation: rumor.incarnation,
            denials: rumor.denials,
            state: rumor.state,
            place,
            address_known: address_known || kept,
        });
        true
    }

    /// A peer passes on what a list said that this process has not read yet.
    /// A host that the list never named here has to wait for the list.
    fn hear_list(&mut self, rumor: &Rumor) {
        let read_ms = self.list_as_of_ms.unwrap_or(0);
        let Some(record) = self.records.get_mut(&rumor.host) else {
            return;
        };
        let incarnation = record.told.as_ref().map_or(u64::MAX, |t| t.incarnation);
        match (rumor.listed, &mut record.listed) {
            (Some(word), Some(listed))
                if word.as_of_ms > listed.changed_ms && word.as_of_ms > read_ms =>
            {
                let since = listed.leaving_since.unwrap_or(incarnation);
                listed.leaving_since = word.leaving.then_some(since);
                listed.changed_ms = word.as_of_ms;
                self.spread(&rumor.host);
            }
            _ => {}
        }
    }

    /// Others think that this process is gone: it knows better.
    pub(super) fn hear_of_self(&mut self, rumor: &Rumor) {
        let current = rumor.incarnation == self.own.incarnation;
        if current && rumor.state == State::Suspect && rumor.denials >= self.denials {
            self.denials = rumor.denials + 1;
            self.spread(&self.own.host.clone());
        }
    }

    pub(super) fn tell_news(&mut self, actions: &mut Vec<Action>) {
        if self.news.is_empty() || self.links.is_empty() {
            return;
        }
        let links: Vec<Link> = self.links.keys().copied().collect();
        for _ in 0..FANOUT.min(links.len()) {
            let link = links[self.rng.random_range(0..links.len())];
            let rumors = self.next_rumors();
            if rumors.is_empty() {
                return;
            }
            let message = Message::News(rumors);
            actions.push(Action::Send { link, message });
        }
    }

    /// Tells the next host in turn to a peer at random.
    pub(super) fn repair(&mut self, actions: &mut Vec<Action>) {
        let links: Vec<Link> = self.links.keys().copied().collect();
        if links.is_empty() {
            return;
        }
        let after = match self.repaired.take() {
            Some(host) => Bound::Excluded(host),
            None => Bound::Unbounded,
        };
        let mut rest = self.records.range((after, Bound::Unbounded));
        let next = rest.find_map(|(host, record)| rumor(host, record));
        let rumor = match next {
            Some(rumor) => {
                self.repaired = Some(rumor.host.clone());
                rumor
            }
            None => self.own_rumor(),
        };
        let link = links[self.rng.random_range(0..links.len())];
        let message = Message::News(vec![rumor]);
        actions.push(Action::Send { link, message });
    }

    /// The news told least often so far.
    pub(super) fn next_rumors(&mut self) -> Vec<Rumor> {
        let mut due: Vec<(u32, host::Name)> = self
            .news
            .iter()
            .map(|(host, left)| (*left, host.clone()))
            .collect();
        due.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        due.truncate(NEWS_MAX);
        let mut rumors = Vec::new();
        for (left, host) in due {
            match left {
                0 | 1 => self.news.remove(&host),
                _ => self.news.insert(host.clone(), left - 1),
            };
            if host == self.own.host {
                rumors.push(self.own_rumor());
            } else if let Some(record) = self.records.get(&host) {
                rumors.extend(rumor(&host, record));
            }
        }
        rumors
    }

    pub(super) fn own_rumor(&self) -> Rumor {
        Rumor {
            host: self.own.host.clone(),
            incarnation: self.own.incarnation,
            denials: self.denials,
            state: match self.leaving {
                true => State::Leaving,
                false => State::Live,
            },
            place: Place::from(&self.own),
            listed: None,
        }
    }

    /// Passes on what is new. To a process that has just started all is new.
    pub(super) fn retell(&mut self, now: Duration, host: &host::Name) {
        if self.opened.is_some_and(|opened| now >= opened + STARTING) {
            self.spread(host);
        }
    }

    pub(super) fn spread(&mut self, host: &host::Name) {
        let hosts = self.records.len() as u32 + 2;
        let times = RETELL * (u32::BITS - hosts.leading_zeros());
        self.news.insert(host.clone(), times);
    }
}

fn rumor(host: &host::Name, record: &Record) -> Option<Rumor> {
    let told = record.told.as_ref()?;
    Some(Rumor {
        host: host.clone(),
        incarnation: told.incarnation,
        denials: told.denials,
        state: told.state,
        place: told.place.clone(),
        listed: record.listed.as_ref().and_then(Listed::word),
    })
}

/// Whether a rumor says more than what is known: of a later process, or of the
/// same one a later denial, or of the same denial a worse state.
fn supersedes(rumor: &Rumor, told: &Told) -> bool {
    let severity = |state: State| match state {
        State::Live => 0,
        State::Suspect => 1,
        State::Leaving => 2,
    };
    // Leaving is the last word of a process: no denial takes it back.
    let left = |state: State| state == State::Leaving;
    let ours = (
        told.incarnation,
        left(told.state),
        told.denials,
        severity(told.state),
    );
    let theirs = (
        rumor.incarnation,
        left(rumor.state),
        rumor.denials,
        severity(rumor.state),
    );
    theirs > ours
}
