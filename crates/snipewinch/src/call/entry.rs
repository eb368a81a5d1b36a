//! The entry's end of the call protocol: tracks where each call runs and which
//! parts of its answer have arrived, and recovers from lost links and agents.

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

/// Bytes of an answer that may be in flight or buffered for the caller.
pub const WINDOW_BYTES: u64 = 256 << 10;
/// How long a repeatable call waits for a new link to its agent before it is
/// repeated elsewhere; it waits as long again while no other host takes it.
pub const RECONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// How long an at-most-once call waits for a new link to its agent before its
/// outcome is reported as unknown.
pub const AT_MOST_ONCE_RECONNECT_TIMEOUT: Duration = Duration::from_secs(10);
/// How long after the last message or query about a call its agent is queried.
pub const QUERY_INTERVAL: Duration = Duration::from_secs(2);
/// How long before its deadline a call is cancelled. This leaves the agent time
/// to report whether the call ran.
pub const CANCEL_LEAD: Duration = Duration::from_millis(200);
/// The maximum number of attempts at a call.
pub const ATTEMPTS_MAX: u16 = 4;

/// Why a call has no complete answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Kind {
    /// Every backend server that was tried is at its limits.
    Busy,
    /// No backend server of the service is reachable.
    NoBackend,
    /// No backend server has loaded the required model version.
    NoVersion,
    /// The customer has exceeded its share.
    Limited,
    /// The entry is shutting down.
    Leaving,
    /// The deadline passed.
    Deadline,
    /// The agent was lost, or could not report the outcome, after the call may
    /// have started.
    OutcomeUnknown,
    /// The backend server's answer ended early and cannot be completed.
    Broken,
    /// The answer exceeds the size that the entry may buffer.
    TooLarge,
}

/// The final result of a call that has no complete answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Failure {
    /// The reason.
    pub kind: Kind,
    /// Whether the call was executed.
    pub executed: Executed,
    /// The time after which the caller should retry, in milliseconds; 0 for no
    /// advice.
    pub retry_ms: u32,
}

/// How an attempt ended, as reported to routing and admission control.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Settled {
    /// It produced a complete answer.
    Served,
    /// The agent refused it.
    Refused(Refusal),
    /// It failed after it had started.
    Failed(Fault),
    /// The agent could not be reached, its link was not restored in time, or it
    /// restarted.
    Lost,
    /// The deadline passed.
    Deadline,
    /// The call was abandoned by its caller.
    Abandoned,
}

/// An input to [`Entry::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller has sent a request. The id comes from [`Entry::next_id`]; the
    /// duration is the deadline.
    Begin(Id, Arc<Request>, Duration),
    /// Replies to [`Action::Route`] with the selected host.
    Routed(Id, host::Name),
    /// Replies to [`Action::Route`] that no host is available. The number is
    /// the time after which the caller should retry, in milliseconds.
    Unrouted(Id, Kind, u32),
    /// A link to an agent is open. The number is the agent's incarnation.
    Up(Link, host::Name, u64),
    /// A link has closed.
    Down(Link),
    /// A message has arrived.
    Message(Link, Message),
    /// A `Start` could not be queued on its link.
    Unsent(Attempt),
    /// The caller has read this number of further bytes.
    Consumed(Id, u64),
    /// Nobody waits for the answer any more, for example because the caller has
    /// disconnected.
    Abandoned(Id),
    /// Time has passed; sent at regular intervals.
    Tick,
}

/// An action that the embedder has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Select a host. The embedder replies with [`Event::Routed`] or
    /// [`Event::Unrouted`].
    Route {
        /// The call.
        call: Id,
        /// Hosts where an earlier attempt was refused, failed or was lost.
        avoid: Vec<host::Name>,
        /// The model version of the answer that has begun, if any.
        version: Option<SmolStr>,
        /// Whether there was an earlier attempt.
        retry: bool,
    },
    /// Send the message.
    Send(Link, Message),
    /// Pass on the head of the answer.
    Head(Id, Head),
    /// Pass on a part of the answer's body.
    Data(Id, Data),
    /// The answer is complete.
    End(Id),
    /// Discard the buffered answer: it restarts from the beginning.
    Reset(Id),
    /// The call has ended without a complete answer.
    Fail(Id, Failure),
    /// An attempt at a host has ended.
    Settled(Id, host::Name, Settled),
}

#[derive(Clone, Copy, Debug)]
struct Agent {
    link: Link,
    incarnation: u64,
}

/// The calls of one entry.
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
    /// Creates an entry without calls.
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

    /// The number of calls in progress.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call is in progress.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Whether a link to the host is open.
    pub fn reaches(&self, host: &host::Name) -> bool {
        self.agents.contains_key(host)
    }

    /// Processes an event and returns the resulting actions.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        match event {
            Event::Begin(call, request, deadline) => self.begin(now, call, request, deadline),
            Event::Routed(call, host) => self.routed(now, call, host),
            Event::Unrouted(call, kind, retry_ms) => self.unrouted(now, call, kind, retry_ms),
            Event::Up(link, host, incarnation) => self.up(now, link, host, incarnation),
            Event::Down(link) => self.down(now, link),
            Event::Message(link, message) => self.message(now, link, message),
            Event::Unsent(attempt) => self.unsent(now, attempt),
            Event::Consumed(call, bytes) => self.consume(call, bytes),
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

    /// Looks for another host for a call whose agent is out of reach. Until
    /// one is found the call keeps its attempt, which may still be running:
    /// silence does not prove that the agent is lost.
    fn replace(&mut self, now: Duration, call: Id) {
        let Some(pending) = self.calls.get_mut(&call) else {
            return;
        };
        let Phase::Reconnecting(target, _) = &pending.phase else {
            return;
        };
        let target = target.clone();
        if !pending.is_repeatable() || pending.cancelling {
            self.retry_if_repeatable(call, target.host, Executed::Unknown, Settled::Lost);
            return;
        }
        if pending.attempts + 1 >= ATTEMPTS_MAX {
            pending.phase = Phase::Reconnecting(target, now);
            return;
        }
        let mut avoid = pending.avoid.clone();
        avoid.push(target.host.clone());
        let version = pending.version();
        pending.phase = Phase::Replacing(target);
        self.out.push(Action::Route {
            call,
            avoid,
            version,
            retry: true,
        });
    }

    /// Gives up the attempt of a call that another host takes over.
    fn give_up_replaced(&mut self, call: Id) {
        let Some(pending) = self.calls.get_mut(&call) else {
            return;
        };
        let Phase::Replacing(target) = &pending.phase else {
            return;
        };
        let host = target.host.clone();
        pending.phase = Phase::Routing;
        pending.executed = pending.executed.max(Executed::Unknown);
        pending.avoid.push(host.clone());
        pending.attempts += 1;
        self.out.push(Action::Settled(call, host, Settled::Lost));
        if pending.reset() {
            self.out.push(Action::Reset(call));
        }
    }

    fn routed(&mut self, now: Duration, call: Id, host: host::Name) {
        let Some(pending) = self.calls.get_mut(&call) else {
            return;
        };
        if !matches!(pending.phase, Phase::Replacing(_) | Phase::Routing) {
            return;
        }
        let Some(agent) = self.agents.get(&host).copied() else {
            match &pending.phase {
                Phase::Replacing(target) => {
                    pending.phase = Phase::Reconnecting(target.clone(), now);
                    self.out.push(Action::Settled(call, host, Settled::Lost));
                }
                _ => self.retry_unexecuted(call, host, Kind::NoBackend, 0, Settled::Lost),
            }
            return;
        };
        self.give_up_replaced(call);
        let Some(pending) = self.calls.get_mut(&call) else {
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

    fn unrouted(&mut self, now: Duration, call: Id, kind: Kind, retry_ms: u32) {
        let Some(pending) = self.calls.get_mut(&call) else {
            return;
        };
        match &pending.phase {
            Phase::Replacing(target) => {
                pending.phase = Phase::Reconnecting(target.clone(), now);
            }
            Phase::Routing => self.fail(call, kind, retry_ms),
            Phase::Reconnecting(..) | Phase::Sent(..) => {}
        }
    }

    /// Ends a call without a complete answer.
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

    /// Retries a call at another host after an attempt that certainly has not
    /// run. Fails it with `kind` if no attempts remain, and with
    /// [`Kind::Deadline`] if it is being cancelled.
    fn retry_unexecuted(
        &mut self,
        call: Id,
        host: host::Name,
        kind: Kind,
        retry_ms: u32,
        settled: Settled,
    ) {
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

    /// Retries a call at another host after an attempt that may have run and
    /// produced no complete answer. Fails it if it must not be repeated, is
    /// being cancelled, or has no attempts left.
    fn retry_if_repeatable(
        &mut self,
        call: Id,
        host: host::Name,
        executed: Executed,
        settled: Settled,
    ) {
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
        let repeat = pending.attempts < ATTEMPTS_MAX && pending.is_repeatable();
        match pending.cancelling {
            true if pending.request.at_most_once => self.fail(call, Kind::OutcomeUnknown, 0),
            true => self.fail(call, Kind::Deadline, 0),
            false if !repeat => self.fail(call, kind, 0),
            false => {
                if pending.reset() {
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
                Phase::Reconnecting(target, _) | Phase::Replacing(target)
                    if target.host != host => {}
                Phase::Reconnecting(target, _) | Phase::Replacing(target)
                    if target.incarnation != incarnation =>
                {
                    restarted.push((*call, target.host.clone()));
                }
                Phase::Reconnecting(target, _) | Phase::Replacing(target) => {
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
            self.retry_if_repeatable(call, host, Executed::Unknown, Settled::Lost);
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
                pending.phase = Phase::Reconnecting(target.clone(), now);
            }
        }
    }

    fn unsent(&mut self, now: Duration, attempt: Attempt) {
        let Some(pending) = self.calls.get_mut(&attempt.call) else {
            return;
        };
        pending.last_message_at = now;
        if pending
            .target()
            .is_some_and(|target| target.attempt == attempt)
        {
            let host = self.host_of(attempt.call);
            self.retry_unexecuted(attempt.call, host, Kind::Busy, 0, Settled::Lost);
        }
    }

    /// Queries the agent for missing parts, unless a query for them is pending.
    fn query_missing(&mut self, now: Duration, call: Id) {
        let Some(pending) = self.calls.get_mut(&call) else {
            return;
        };
        let Phase::Sent(target, link) = &pending.phase else {
            return;
        };
        let (target, link) = (target.clone(), *link);
        if pending.may_query() {
            self.out
                .push(Action::Send(link, pending.query(now, &target)));
        }
    }

    fn consume(&mut self, call: Id, bytes: u64) {
        let Some(pending) = self.calls.get_mut(&call) else {
            return;
        };
        pending.consumed_bytes += bytes;
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
            // The outcome of an at-most-once call must still be recorded.
            Phase::Reconnecting(..) | Phase::Replacing(_) | Phase::Sent(..)
                if pending.request.at_most_once =>
            {
                return;
            }
            Phase::Sent(target, link) => {
                let cancel = Message::Cancel(target.attempt);
                self.out.push(Action::Send(*link, cancel));
                let host = target.host.clone();
                self.out
                    .push(Action::Settled(call, host, Settled::Abandoned));
            }
            Phase::Reconnecting(target, _) | Phase::Replacing(target) => {
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
            .filter(|(_, pending)| pending.is_due(now))
            .map(|(call, _)| *call)
            .collect();
        due.sort_unstable();
        for call in due {
            self.handle_due(now, call);
        }
    }

    fn handle_due(&mut self, now: Duration, call: Id) {
        let Some(pending) = self.calls.get_mut(&call) else {
            return;
        };
        match &pending.phase {
            Phase::Routing => self.fail(call, Kind::Deadline, 0),
            Phase::Reconnecting(target, _) | Phase::Replacing(target) | Phase::Sent(target, _)
                if now >= pending.deadline =>
            {
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
            Phase::Reconnecting(_, since) if now >= *since + pending.reconnect_timeout() => {
                self.replace(now, call);
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
            Phase::Reconnecting(..) => pending.cancelling = true,
            Phase::Replacing(_) => {}
        }
    }
}
