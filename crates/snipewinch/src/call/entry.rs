//! An entry's calls: where each one runs, what of its answer has arrived, and
//! what to do when a link or an agent is lost.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;

use super::Attempt;
use super::Data;
use super::Executed;
use super::Fault;
use super::Head;
use super::Id;
use super::Link;
use super::Message;
use super::Origin;
use super::Refusal;
use super::Request;
use super::Total;
use crate::host;

mod message;
mod pending;

use pending::Arrival;
use pending::Pending;
use pending::Phase;
use pending::Target;

/// Bytes of an answer that may be under way or wait for the caller.
pub const WINDOW_BYTES: u64 = 256 << 10;
/// How long a repeatable call waits for a new link to its agent.
pub const REPAIR_PATIENCE: Duration = Duration::from_millis(600);
/// How long a call that may run only once waits for a new link to its agent.
pub const ASK_PATIENCE: Duration = Duration::from_secs(10);
/// An agent that has said nothing of a call for so long is asked.
pub const ASK_AFTER: Duration = Duration::from_secs(2);
/// How long before its deadline a call is cancelled, so that the answer can
/// say whether it ran.
pub const CANCEL_LEAD: Duration = Duration::from_millis(200);
/// The most attempts at one call.
pub const ATTEMPTS_MAX: u16 = 4;

/// Why a call has no whole answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Kind {
    /// Every backend server asked had no room.
    Busy,
    /// No backend server of the service can be reached.
    NoBackend,
    /// No backend server has the model's version in force.
    NoVersion,
    /// The customer is over its share.
    Limited,
    /// This entry stops.
    Leaving,
    /// The deadline passed.
    Deadline,
    /// Contact was lost after the call may have started.
    OutcomeUnknown,
    /// The backend server broke off, and the answer can't be completed.
    Broken,
    /// The answer is longer than this entry may hold.
    TooLarge,
}

/// The final word on a call without a whole answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Why.
    pub kind: Kind,
    /// Whether the work ran.
    pub executed: Executed,
    /// When to try again, in milliseconds; 0 for no advice.
    pub retry_ms: u32,
}

/// How an attempt ended, for routing and limits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Settled {
    /// With a whole answer.
    Served,
    /// The agent refused it.
    Refused(Refusal),
    /// The backend server failed.
    Failed(Fault),
    /// The agent was lost.
    Lost,
    /// The deadline passed.
    Deadline,
    /// The call was abandoned by its caller.
    Abandoned,
}

/// What happens to an entry.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request, under a number from [`Entry::next_id`], with its
    /// deadline.
    Begin(Id, Arc<Request>, Duration),
    /// Answers [`Action::Route`]: this host.
    Routed(Id, host::Name),
    /// Answers [`Action::Route`]: none.
    Unrouted(Id, Kind, u32),
    /// A link to an agent is open; the number is the agent's incarnation.
    Up(Link, host::Name, u64),
    /// A link is gone.
    Down(Link),
    /// A message has arrived.
    Message(Link, Message),
    /// A `Start` could not be queued on its link.
    Unsent(Attempt),
    /// The caller has taken so many bytes.
    Consumed(Id, u64),
    /// Nobody waits for the response any more.
    Abandoned(Id),
    /// Time has passed.
    Tick,
}

/// What an entry does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Choose a host; answered by `Routed` or `Unrouted`.
    Route {
        /// The call.
        call: Id,
        /// Hosts that have refused or lost it.
        avoid: Vec<host::Name>,
        /// The model version that has begun to answer, if any.
        version: Option<SmolStr>,
        /// It has been tried before.
        retry: bool,
    },
    /// Send the message.
    Send(Link, Message),
    /// The answer begins.
    Head(Id, Head),
    /// The answer goes on.
    Data(Id, Data),
    /// The answer is whole.
    End(Id),
    /// Drop what has come of the answer: it starts again.
    Reset(Id),
    /// There is no whole answer.
    Fail(Id, Failure),
    /// An attempt at a host has ended.
    Settled(Id, host::Name, Settled),
}

#[derive(Clone, Copy, Debug)]
struct Agent {
    link: Link,
    incarnation: u64,
}

/// An entry's calls.
#[derive(Debug)]
pub struct Entry {
    origin: Origin,
    next_id: u64,
    calls: BTreeMap<Id, Pending>,
    agents: HashMap<host::Name, Agent>,
    links: HashMap<Link, host::Name>,
    out: Vec<Action>,
}

impl Entry {
    /// An entry without calls.
    pub fn open(origin: Origin) -> Entry {
        Entry {
            origin,
            next_id: 1,
            calls: BTreeMap::new(),
            agents: HashMap::new(),
            links: HashMap::new(),
            out: Vec::new(),
        }
    }

    /// Allocates the id of the next call.
    pub fn next_id(&mut self) -> Id {
        let id = Id(self.next_id);
        self.next_id += 1;
        id
    }

    /// Calls that are not over.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call is under way.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Whether a link to the host is open.
    pub fn reaches(&self, host: &host::Name) -> bool {
        self.agents.contains_key(host)
    }

    /// Takes one event in.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        match event {
            Event::Begin(call, request, deadline) => self.begin(now, call, request, deadline),
            Event::Routed(call, host) => self.routed(now, call, host),
            Event::Unrouted(call, kind, retry_ms) => self.unrouted(call, kind, retry_ms),
            Event::Up(link, host, incarnation) => self.up(now, link, host, incarnation),
            Event::Down(link) => self.down(now, link),
            Event::Message(link, message) => self.message(now, link, message),
            Event::Unsent(attempt) => self.unsent(now, attempt),
            Event::Consumed(call, bytes) => self.consumed(call, bytes),
            Event::Abandoned(call) => self.abandon(call),
            Event::Tick => self.tick(now),
        }
        std::mem::take(&mut self.out)
    }

    fn begin(&mut self, now: Duration, call: Id, request: Arc<Request>, deadline: Duration) {
        self.calls
            .insert(call, Pending::open(now, request, deadline));
        self.route(call, false);
    }

    fn route(&mut self, call: Id, retry: bool) {
        if let Some(pending) = self.calls.get_mut(&call) {
            pending.phase = Phase::Routing;
            self.out.push(Action::Route {
                call,
                avoid: pending.avoid.clone(),
                version: pending.version(),
                retry,
            });
        }
    }

    fn routed(&mut self, now: Duration, call: Id, host: host::Name) {
        let Some(pending) = self.calls.get_mut(&call) else {
            return;
        };
        if !matches!(pending.phase, Phase::Routing) {
            return;
        }
        let Some(agent) = self.agents.get(&host).copied() else {
            self.not_run(call, host, Kind::NoBackend, 0, Settled::Lost);
            return;
        };
        let target = Target {
            attempt: Attempt {
                origin: self.origin,
                call,
                retry: pending.attempts,
            },
            host,
            incarnation: agent.incarnation,
        };
        let start = pending.start(now, target, agent.link);
        self.out.push(Action::Send(agent.link, start));
    }

    fn unrouted(&mut self, call: Id, kind: Kind, retry_ms: u32) {
        if let Some(pending) = self.calls.get(&call)
            && matches!(pending.phase, Phase::Routing)
        {
            self.fail(call, kind, retry_ms);
        }
    }

    /// Ends a call without a whole answer.
    fn fail(&mut self, call: Id, kind: Kind, retry_ms: u32) {
        if let Some(pending) = self.calls.remove(&call) {
            let failure = Failure {
                kind,
                executed: pending.executed,
                retry_ms,
            };
            self.out.push(Action::Fail(call, failure));
        }
    }

    /// The present attempt has certainly not run: try elsewhere.
    fn not_run(&mut self, call: Id, host: host::Name, kind: Kind, retry_ms: u32, settled: Settled) {
        self.out.push(Action::Settled(call, host.clone(), settled));
        let Some(pending) = self.calls.get_mut(&call) else {
            return;
        };
        pending.avoid.push(host);
        pending.attempts += 1;
        match pending.cancelling {
            true => self.fail(call, Kind::Deadline, 0),
            false if pending.attempts >= ATTEMPTS_MAX => self.fail(call, kind, retry_ms),
            false => self.route(call, true),
        }
    }

    /// The present attempt may have run and gives no whole answer: try
    /// elsewhere if that does no harm and the answer can still be whole.
    fn lost(&mut self, call: Id, host: host::Name, executed: Executed, settled: Settled) {
        self.out.push(Action::Settled(call, host.clone(), settled));
        let Some(pending) = self.calls.get_mut(&call) else {
            return;
        };
        pending.executed = pending.executed.max(executed);
        pending.avoid.push(host);
        pending.attempts += 1;
        let kind = match executed {
            Executed::Unknown => Kind::OutcomeUnknown,
            Executed::No | Executed::Yes => Kind::Broken,
        };
        let again = pending.attempts < ATTEMPTS_MAX && pending.may_repeat();
        match pending.cancelling {
            true if pending.request.at_most_once => self.fail(call, Kind::OutcomeUnknown, 0),
            true => self.fail(call, Kind::Deadline, 0),
            false if !again => self.fail(call, kind, 0),
            false => {
                if pending.restart() {
                    self.out.push(Action::Reset(call));
                }
                self.route(call, true);
            }
        }
    }

    fn up(&mut self, now: Duration, link: Link, host: host::Name, incarnation: u64) {
        self.links.insert(link, host.clone());
        self.agents
            .insert(host.clone(), Agent { link, incarnation });
        let mut restarted = Vec::new();
        for (call, pending) in &mut self.calls {
            match &pending.phase {
                Phase::Asking(target, _) if target.host != host => {}
                Phase::Asking(target, _) if target.incarnation != incarnation => {
                    restarted.push((*call, target.host.clone()));
                }
                Phase::Asking(target, _) => {
                    let target = target.clone();
                    self.out
                        .push(Action::Send(link, pending.query(now, &target)));
                    if pending.cancelling {
                        let cancel = Message::Cancel(target.attempt);
                        self.out.push(Action::Send(link, cancel));
                    }
                    pending.phase = Phase::Sent(target, link);
                }
                Phase::Routing | Phase::Sent(..) => {}
            }
        }
        restarted.sort_unstable();
        for (call, host) in restarted {
            self.lost(call, host, Executed::Unknown, Settled::Lost);
        }
    }

    fn down(&mut self, now: Duration, link: Link) {
        let Some(host) = self.links.remove(&link) else {
            return;
        };
        if self
            .agents
            .get(&host)
            .is_some_and(|agent| agent.link == link)
        {
            self.agents.remove(&host);
        }
        for pending in self.calls.values_mut() {
            if let Phase::Sent(target, on) = &pending.phase
                && *on == link
            {
                pending.phase = Phase::Asking(target.clone(), now);
            }
        }
    }

    fn unsent(&mut self, now: Duration, attempt: Attempt) {
        let Some(pending) = self.calls.get_mut(&attempt.call) else {
            return;
        };
        pending.heard = now;
        if pending
            .target()
            .is_some_and(|target| target.attempt == attempt)
        {
            let host = self.host(attempt.call);
            self.not_run(attempt.call, host, Kind::Busy, 0, Settled::Lost);
        }
    }

    /// Asks the agent for what is missing.
    fn ask(&mut self, now: Duration, call: Id) {
        let Some(pending) = self.calls.get_mut(&call) else {
            return;
        };
        let Phase::Sent(target, link) = &pending.phase else {
            return;
        };
        let (target, link) = (target.clone(), *link);
        if pending.may_ask() {
            self.out
                .push(Action::Send(link, pending.query(now, &target)));
        }
    }

    fn consumed(&mut self, call: Id, bytes: u64) {
        let Some(pending) = self.calls.get_mut(&call) else {
            return;
        };
        pending.consumed += bytes;
        if let Phase::Sent(target, link) = &pending.phase {
            let (attempt, link) = (target.attempt, *link);
            if let Some(credit) = pending.credit(attempt) {
                self.out.push(Action::Send(link, credit));
            }
        }
    }

    fn abandon(&mut self, call: Id) {
        let Some(pending) = self.calls.get(&call) else {
            return;
        };
        match &pending.phase {
            // Its outcome is still wanted for the record.
            Phase::Asking(..) | Phase::Sent(..) if pending.request.at_most_once => return,
            Phase::Sent(target, link) => {
                let cancel = Message::Cancel(target.attempt);
                self.out.push(Action::Send(*link, cancel));
                let host = target.host.clone();
                self.out
                    .push(Action::Settled(call, host, Settled::Abandoned));
            }
            Phase::Asking(target, _) => {
                let host = target.host.clone();
                self.out
                    .push(Action::Settled(call, host, Settled::Abandoned));
            }
            Phase::Routing => {}
        }
        self.calls.remove(&call);
    }

    fn tick(&mut self, now: Duration) {
        let mut due: Vec<Id> = self
            .calls
            .iter()
            .filter(|(_, pending)| pending.due(now))
            .map(|(call, _)| *call)
            .collect();
        due.sort_unstable();
        for call in due {
            self.overdue(now, call);
        }
    }

    fn overdue(&mut self, now: Duration, call: Id) {
        let Some(pending) = self.calls.get_mut(&call) else {
            return;
        };
        match &pending.phase {
            Phase::Routing => self.fail(call, Kind::Deadline, 0),
            Phase::Asking(target, _) | Phase::Sent(target, _) if now >= pending.deadline => {
                let host = target.host.clone();
                pending.executed = pending.executed.max(Executed::Unknown);
                let kind = match pending.request.at_most_once {
                    true => Kind::OutcomeUnknown,
                    false => Kind::Deadline,
                };
                self.out
                    .push(Action::Settled(call, host, Settled::Deadline));
                self.fail(call, kind, 0);
            }
            Phase::Asking(target, since) if now >= *since + pending.patience() => {
                let host = target.host.clone();
                self.lost(call, host, Executed::Unknown, Settled::Lost);
            }
            Phase::Sent(target, link) if pending.must_cancel(now) => {
                let cancel = Message::Cancel(target.attempt);
                self.out.push(Action::Send(*link, cancel));
                pending.cancelling = true;
            }
            Phase::Sent(target, link) => {
                let (target, link) = (target.clone(), *link);
                self.out
                    .push(Action::Send(link, pending.query(now, &target)));
            }
            Phase::Asking(..) => pending.cancelling = true,
        }
    }
}
