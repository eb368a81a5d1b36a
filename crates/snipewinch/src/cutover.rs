//! Whether a request may still be sent to a backend server that holds an older
//! version of the weights than the newest published one.
//!
//! The use of an older version is bounded by when a request *begins* there, and
//! an entry decides when it *sends* it. As with a lease (Gray and Cheriton, SOSP
//! 1989), who acts on the permission has to be done before it ends at whoever
//! gave it. So the decision counts from the earliest moment at which the newer
//! version may have been published, and adds what lies between sending and
//! beginning: the way, and the wait for other requests of that server. What has
//! been sent and not begun in time is withdrawn.

use std::time::Duration;

/// How much longer than by the model of its engine a request may wait for others:
/// the model knows neither the lengths of contexts nor requests that came without a
/// slot.
const QUEUE_FACTOR: f64 = 1.5;
/// How long before the bound a request that has not begun must have left its
/// backend server.
pub const WITHDRAW_MARGIN: Duration = Duration::from_millis(100);
/// The time before the bound in which requests go to a backend server with an
/// older version only if no other one has a free slot.
const LAST_CHOICE_TIME: Duration = Duration::from_secs(1);
/// How long before the bound requests are usually sent last to a backend server
/// with an older version.
pub const SEND_MARGIN: Duration = Duration::from_millis(600);
/// How long the message of another process with the age of a version takes at
/// most while the links are sound.
const ANNOUNCEMENT_DELAY_MAX: Duration = Duration::from_millis(200);
/// The uncertainty of the time of a publication from which on other processes
/// are believed that know it better.
const VAGUE_MIN: Duration = Duration::from_millis(500);
/// How many processes pass an age on. Each may add the time by which its message
/// took longer than [`ANNOUNCEMENT_DELAY_MAX`].
const RELAYS_MAX: u8 = 3;

/// When a version was published, as a process knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Interval {
    /// The earliest moment.
    pub earliest: Duration,
    /// The latest moment.
    pub latest: Duration,
}

impl Interval {
    /// What is known by two observations of the same moment; the first one if
    /// they contradict each other, unless the other is of an earlier publication.
    fn intersection(self, other: Interval) -> Interval {
        let both = Interval {
            earliest: self.earliest.max(other.earliest),
            latest: self.latest.min(other.latest),
        };
        match both.earliest <= both.latest {
            true => both,
            false if other.is_before(self) => other,
            false => self,
        }
    }

    /// Whether it is so much earlier that it is of another publication of the same
    /// version: what a store that was restored had lost is written again.
    fn is_before(self, later: Interval) -> bool {
        self.latest + VAGUE_MIN < later.earliest
    }

    fn width(self) -> Duration {
        self.latest.saturating_sub(self.earliest)
    }
}

/// The age of a version, as one process tells it to another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Age {
    /// The greatest possible age.
    pub most: Duration,
    /// By how much it may be less.
    pub uncertainty: Duration,
    /// How many processes have passed it on.
    pub relays: u8,
}

/// When a version was published, from what a process has read and heard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Estimate {
    interval: Interval,
    /// Through how many processes its earliest moment came.
    relays: u8,
}

impl Estimate {
    /// From two reads of the store, of which the later one showed the version.
    pub fn observed(interval: Interval) -> Estimate {
        Estimate {
            interval,
            relays: 0,
        }
    }

    /// From what another process has said; `None` if too many have passed it on,
    /// or if it may have been before the origin of the clock.
    pub fn heard(now: Duration, age: Age) -> Option<Estimate> {
        let relays = age.relays.saturating_add(1);
        let interval = Interval {
            earliest: now.checked_sub(age.most + ANNOUNCEMENT_DELAY_MAX)?,
            latest: now.saturating_sub(age.most.saturating_sub(age.uncertainty)),
        };
        (relays <= RELAYS_MAX).then_some(Estimate { interval, relays })
    }

    /// From what another process has said of a version that was not known here. The
    /// own read of the store at `confirmed` did not show it. `None` if nothing is
    /// known of its age.
    pub fn first_heard(
        now: Duration,
        age: Option<Age>,
        confirmed: Option<Duration>,
    ) -> Option<Estimate> {
        let heard = age.and_then(|age| Estimate::heard(now, age));
        let own = confirmed.map(|earliest| {
            Estimate::observed(Interval {
                earliest,
                latest: now,
            })
        });
        match (heard, own) {
            (Some(mut heard), Some(own)) => {
                heard.narrow(own);
                Some(heard)
            }
            (heard, own) => heard.or(own),
        }
    }

    /// The moments between which it was.
    pub fn interval(self) -> Interval {
        self.interval
    }

    /// What to say to other processes.
    pub fn age(self, now: Duration) -> Age {
        Age {
            most: now.saturating_sub(self.interval.earliest),
            uncertainty: self.interval.width(),
            relays: self.relays,
        }
    }

    /// Makes it more precise by another estimate; true if it changed. What other
    /// processes say counts only while it is vague, as the delays of their messages
    /// would add up, or if it is of an earlier publication.
    pub fn narrow(&mut self, other: Estimate) -> bool {
        let is_believed = other.relays == 0
            || self.interval.width() > VAGUE_MIN
            || other.interval.is_before(self.interval);
        let interval = self.interval.intersection(other.interval);
        if !is_believed || interval == self.interval {
            return false;
        }
        if interval.earliest != self.interval.earliest {
            self.relays = other.relays;
        }
        self.interval = interval;
        true
    }
}

/// A published version of a model's weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Publication {
    /// The version.
    pub version: u64,
    /// The newest version before it, as far as the process knows; none if the
    /// process started later and nobody has told it.
    pub replaces: Option<u64>,
    /// When it was published; `None` if it may have been at any time before the
    /// process started.
    pub published: Option<Estimate>,
}

/// What lies between sending a request and its begin.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Delay {
    /// The longest time to the backend server and back.
    pub transfer: Duration,
    /// The wait for others there, by the model of its engine.
    pub queue: Duration,
    /// How long its own prompt is read there.
    pub prompt: Duration,
}

impl Delay {
    /// Of a request whose first event is predicted after `first_event`, of which
    /// its own prompt takes `prompt`.
    pub fn new(transfer: Duration, first_event: Duration, prompt: Duration) -> Delay {
        let prompt = prompt.min(first_event);
        Delay {
            transfer,
            queue: first_event - prompt,
            prompt,
        }
    }

    /// How long the request may take to begin.
    fn most(self) -> Duration {
        self.transfer + self.queue.mul_f64(QUEUE_FACTOR) + self.prompt
    }
}

/// Whether a request may be sent to a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// No newer version is known than the one that it holds.
    Current,
    /// It may, and is withdrawn at this time if it has not begun.
    Until(Duration),
    /// It may begin too late.
    Outdated,
}

/// The latest time at which a request may begin on version `held`, by the
/// versions that are published; `None` if none of them is newer. An older
/// version may be used for `bound` after a newer one was published. If there may
/// be one between that the process does not know, `held` counts as too old.
pub fn begin_by(publications: &[Publication], held: u64, bound: Duration) -> Option<Duration> {
    let newer = || publications.iter().filter(|one| one.version > held);
    let first = newer().min_by_key(|one| one.version)?;
    match first.follows(held) {
        true => newer().map(|one| one.begin_by(bound)).min(),
        false => Some(Duration::ZERO),
    }
}

/// The publication that ended the time of version `held` as the newest, if it is
/// known.
pub fn first_newer(publications: &[Publication], held: u64) -> Option<&Publication> {
    let newer = publications.iter().filter(|one| one.version > held);
    let first = newer.min_by_key(|one| one.version);
    first.filter(|one| one.follows(held))
}

impl Publication {
    /// Whether no other version was published between `held` and this one.
    fn follows(&self, held: u64) -> bool {
        let is_next = self.version <= held.saturating_add(1);
        is_next || self.replaces.is_some_and(|replaced| replaced <= held)
    }

    /// The latest time at which a request may begin on an older version. One of
    /// unknown age counts as old.
    fn begin_by(&self, bound: Duration) -> Duration {
        let published = self.published;
        published.map_or(Duration::ZERO, |published| {
            published.interval().earliest + bound
        })
    }
}

/// When a request is withdrawn that has to begin by `begin_by` at a backend server
/// `transfer` away.
pub fn withdraw_at(begin_by: Duration, transfer: Duration) -> Duration {
    begin_by.saturating_sub(transfer + WITHDRAW_MARGIN)
}

/// Whether a request may be sent now that has to begin by `begin_by`.
pub fn admit(now: Duration, begin_by: Option<Duration>, delay: Delay) -> Verdict {
    let Some(begin_by) = begin_by else {
        return Verdict::Current;
    };
    let withdraw_at = withdraw_at(begin_by, delay.transfer);
    match now + delay.most() < withdraw_at {
        true => Verdict::Until(withdraw_at),
        false => Verdict::Outdated,
    }
}

/// Whether a backend server on which requests have to begin by `begin_by` is to
/// be used only if no other one has a free slot.
pub fn is_last_choice(now: Duration, begin_by: Option<Duration>) -> bool {
    begin_by.is_some_and(|begin_by| now + LAST_CHOICE_TIME >= begin_by)
}

/// The oldest version to which a request may still be sent; 0 if any.
pub fn min_version(now: Duration, publications: &[Publication], bound: Duration) -> u64 {
    let outdated = publications
        .iter()
        .filter(|one| admit(now, Some(one.begin_by(bound)), Delay::default()) == Verdict::Outdated);
    outdated.map(|one| one.version).max().unwrap_or(0)
}
