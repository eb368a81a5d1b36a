//! The attempts of one request: when it goes to another backend server, and
//! when it ends without an answer.
//!
//! Silence does not prove that a backend server has failed. A silent attempt
//! stays open while another one starts beside it, and the first to go on is
//! used (Dean and Barroso, "The tail at scale", CACM 2013). Only a broken
//! connection, a failure or a refusal ends an attempt, or that it goes on while
//! another one is used.

use crate::route::Repeat;

/// The most attempts of one request that are open at the same time: a silent
/// one, and the one that may replace it.
const OPEN_MAX: usize = 2;

/// The most backend servers of one request that could not be reached.
const UNREACHED_MAX: u32 = 8;

/// Identifies an attempt of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Key(u32);

/// What happened to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// No connection to the backend server could be opened. Nothing reached it,
    /// so this is no attempt.
    Unreached,
    /// No backend server has a free slot, or the retry budget is used up.
    Refused,
    /// The backend server reported that it did not execute the request.
    NotRun(Key),
    /// The attempt ended without a complete answer; the request may have been
    /// executed.
    Broken(Key),
    /// The backend server answered with an error.
    Failed(Key),
    /// The attempt was ended because it had not begun while it was allowed to.
    /// The backend server may have begun it all the same.
    Withdrawn(Key),
    /// Nothing has arrived for longer than usual.
    Silent(Key),
    /// The request has taken longer than most, and may get an attempt beside this one.
    Slow(Key),
    /// The next part of the answer has arrived and is used. The embedder ends
    /// all attempts that are not silent, except this one.
    Progressed(Key),
    /// An attempt was ended because another one is used.
    Dropped(Key),
}

/// What to do next with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Send it to another backend server. An attempt that is still open stays
    /// so until the other one has progressed.
    Retry,
    /// Wait for the open attempts, or for the retry that is being started.
    Wait,
    /// Nothing more can arrive: end it without an answer, or with the last
    /// error that a backend server has answered.
    End,
}

impl Step {
    /// What to do after two events, of which this step follows the earlier one.
    pub fn or(self, later: Step) -> Step {
        match self {
            Step::Wait => later,
            Step::Retry | Step::End => self,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Open {
    key: Key,
    is_silent: bool,
}

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    repeat: Repeat,
    runs_max: u32,
    sends: u32,
    unreached: u32,
    runs: u32,
    open: Vec<Open>,
    is_starting: bool,
    /// Whether only the open attempt can complete the answer.
    is_committed: bool,
}

impl Attempts {
    /// Creates the state of a request whose first attempt is being started.
    /// `runs_max` is the largest number of backend servers that may execute it.
    pub fn new(repeat: Repeat, runs_max: u32) -> Attempts {
        Attempts {
            repeat,
            runs_max,
            sends: 0,
            unreached: 0,
            runs: 0,
            open: Vec::with_capacity(OPEN_MAX),
            is_starting: true,
            is_committed: false,
        }
    }

    /// Records that the request is sent to a backend server.
    pub fn begin(&mut self) -> Key {
        let key = Key(self.sends);
        self.sends += 1;
        self.runs += 1;
        self.is_starting = false;
        self.open.push(Open {
            key,
            is_silent: false,
        });
        key
    }

    /// Records an event and returns what to do next.
    pub fn handle(&mut self, event: Event) -> Step {
        match event {
            Event::Unreached => {
                self.unreached += 1;
                self.is_starting = false;
            }
            Event::Refused => self.is_starting = false,
            Event::NotRun(key) => {
                self.close(key);
                self.runs -= 1;
            }
            Event::Broken(key) | Event::Failed(key) | Event::Withdrawn(key) => self.close(key),
            Event::Silent(key) => self.set_silent(key, true),
            Event::Slow(key) => return self.start_beside(key),
            Event::Progressed(key) => {
                self.open.retain(|one| one.key == key || one.is_silent);
                self.is_starting = false;
                self.is_committed = false;
                self.set_silent(key, false);
            }
            Event::Dropped(key) => self.close(key),
        }
        let is_answering = self.open.iter().any(|one| !one.is_silent);
        match self.may_start_after(event) {
            _ if self.is_starting || is_answering => Step::Wait,
            true => {
                self.is_starting = true;
                Step::Retry
            }
            false if self.open.is_empty() => Step::End,
            false => Step::Wait,
        }
    }

    /// Records that no other attempt can go on after what the caller has from
    /// this one, until it progresses. The embedder ends all others.
    pub fn commit(&mut self, key: Key) {
        self.open.retain(|one| one.key == key);
        self.is_committed = true;
    }

    /// How many backend servers may have executed the request.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// How often the request was sent.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    fn may_start_after(&self, event: Event) -> bool {
        let may_rerun = self.repeat.may_rerun() && !self.is_committed;
        let may_run = self.runs == 0 || may_rerun && self.runs < self.runs_max;
        match event {
            Event::Dropped(_) | Event::Progressed(_) | Event::Refused | Event::Slow(_) => false,
            Event::Unreached => may_run && self.unreached < UNREACHED_MAX,
            Event::NotRun(_) => may_run && self.sends <= self.runs_max,
            Event::Failed(_) => may_run && self.repeat == Repeat::Idempotent,
            Event::Broken(_) | Event::Silent(_) | Event::Withdrawn(_) => {
                may_run && self.open.len() < OPEN_MAX
            }
        }
    }

    /// Starts a second attempt beside the only one, if one more server may execute the
    /// request.
    fn start_beside(&mut self, key: Key) -> Step {
        let is_only = self.open.len() == 1 && self.open[0].key == key;
        let may_run = self.repeat.may_rerun() && !self.is_committed && self.runs < self.runs_max;
        match is_only && may_run && !self.is_starting {
            true => {
                self.is_starting = true;
                Step::Retry
            }
            false => Step::Wait,
        }
    }

    fn close(&mut self, key: Key) {
        self.open.retain(|one| one.key != key);
    }

    fn set_silent(&mut self, key: Key, is_silent: bool) {
        let open = self.open.iter_mut().find(|one| one.key == key);
        if let Some(open) = open {
            open.is_silent = is_silent;
        }
    }
}
