//! Drives the state machine of calls over links and callers' connections.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use caller::Call;
use peer::link;
use peer::link::Event as LinkEvent;
use prometheus::IntCounterVec;
use prometheus::Opts;
use slotmap::Key as _;
use slotmap::KeyData;
use snipewinch::call::Attempt;
use snipewinch::call::Id;
use snipewinch::call::Link;
use snipewinch::call::Message;
use snipewinch::call::Origin;
use snipewinch::call::entry::Action;
use snipewinch::call::entry::Entry;
use snipewinch::call::entry::Event;
use snipewinch::call::entry::Failure;
use snipewinch::call::entry::Kind;
use snipewinch::host;
use snipewinch::host::Role;
use snipewinch::retry::Budget;
use snipewinch::routing;
use snipewinch::routing::Need;
use snipewinch::wire::Frame;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;

use super::active_call::Open;
use super::active_call::Record;
use super::claims::Held;
use super::sink::Hold;
use super::sink::Reply;
use super::sink::Sink;
use super::sink::Taken;
use crate::entry::limits::Permit;
use crate::entry::router::Ask;
use crate::entry::router::Router;
use crate::node::Node;

/// How often time is looked at.
const TICK: Duration = Duration::from_millis(50);
/// The most events taken in at once.
const BATCH: usize = 256;
/// When to come back once the retries are used up, in milliseconds.
const RETRY_MS: u32 = 500;

/// A call to begin.
pub(super) struct Begin {
    pub(super) call: Call,
    pub(super) deadline: Instant,
    pub(super) permit: Permit,
    pub(super) held: Option<Held>,
    pub(super) reply: Reply,
    pub(super) hold: Hold,
}

/// What callers' connections tell the driver.
pub(super) enum Command {
    /// Run a call.
    Begin(Box<Begin>),
    /// The caller has taken so many bytes.
    Consumed(Id, u64),
    /// The caller has gone.
    Gone(Id),
}

/// Runs the calls of one entry.
pub(super) struct Driver {
    node: Node,
    entry: Entry,
    calls: HashMap<Id, Open>,
    commands: mpsc::UnboundedSender<Command>,
    router: Router,
    retries: Budget,
    attempts: IntCounterVec,
}

impl Driver {
    pub(super) fn open(
        node: &Node,
        router: Router,
        commands: mpsc::UnboundedSender<Command>,
    ) -> Driver {
        let origin = Origin::of(&node.identity.host, node.identity.incarnation);
        Driver {
            node: node.clone(),
            entry: Entry::open(origin),
            calls: HashMap::new(),
            commands,
            router,
            retries: Budget::default(),
            attempts: attempts(node),
        }
    }

    pub(super) async fn run(
        mut self,
        mut inbox: mpsc::Receiver<LinkEvent<Message>>,
        mut queue: mpsc::UnboundedReceiver<Command>,
    ) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut events = Vec::with_capacity(BATCH);
        let mut commands = Vec::with_capacity(BATCH);
        loop {
            tokio::select! {
                count = inbox.recv_many(&mut events, BATCH) => {
                    if count == 0 {
                        return;
                    }
                }
                _ = queue.recv_many(&mut commands, BATCH) => {}
                _ = ticks.tick() => self.tick(),
            }
            for event in events.drain(..) {
                self.link(event);
            }
            for command in commands.drain(..) {
                self.command(command);
            }
        }
    }

    fn tick(&mut self) {
        self.feed(Event::Tick);
        let gone: Vec<Id> = self
            .calls
            .iter()
            .filter(|(_, open)| open.sink.is_gone())
            .map(|(call, _)| *call)
            .collect();
        for call in gone {
            self.gone(call);
        }
    }

    fn link(&mut self, event: LinkEvent<Message>) {
        match event {
            LinkEvent::Up { link, peer, .. } if peer.role == Role::Agent => {
                let up = Event::Up(name(link), peer.host.clone(), peer.incarnation);
                self.feed(up);
            }
            LinkEvent::Messages { link, messages } => {
                for message in messages {
                    self.feed(Event::Message(name(link), message));
                }
            }
            LinkEvent::Down { link, .. } => self.feed(Event::Down(name(link))),
            // Routing has its own ear for these.
            LinkEvent::Summary { .. } | LinkEvent::Up { .. } => {}
        }
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Begin(begin) => self.begin(*begin),
            Command::Consumed(call, bytes) => self.feed(Event::Consumed(call, bytes)),
            Command::Gone(call) => self.gone(call),
        }
    }

    fn begin(&mut self, begin: Begin) {
        let Begin {
            call,
            deadline,
            permit,
            held,
            reply,
            hold,
        } = begin;
        let id = self.entry.next_id();
        let request = Arc::new(call.request);
        let open = Open {
            sink: Sink::open(id, reply, hold, self.commands.clone()),
            request: request.clone(),
            prefixes: call.prefixes,
            permit,
            record: held.map(Record::open),
            sent: self.node.now(),
            head: None,
        };
        self.retries.deposit();
        self.calls.insert(id, open);
        let deadline = deadline.saturating_duration_since(self.node.started);
        self.feed(Event::Begin(id, request, deadline));
    }

    fn gone(&mut self, call: Id) {
        if let Some(open) = self.calls.get(&call)
            && !open.request.at_most_once
        {
            self.calls.remove(&call);
        }
        self.feed(Event::Abandoned(call));
    }

    /// Gives the state machine an event and does what it says.
    fn feed(&mut self, event: Event) {
        let mut waiting = VecDeque::from([event]);
        while let Some(event) = waiting.pop_front() {
            let now = self.node.now();
            for action in self.entry.handle(now, event) {
                if let Some(event) = self.act(action) {
                    waiting.push_back(event);
                }
            }
        }
    }

    fn act(&mut self, action: Action) -> Option<Event> {
        let now = self.node.now();
        match action {
            Action::Data(call, data) => {
                let taken = match self.calls.get_mut(&call) {
                    Some(open) => open.data(data.bytes),
                    None => Taken::Collected(data.bytes.len() as u64),
                };
                match taken {
                    Taken::Passed => None,
                    Taken::Collected(bytes) => Some(Event::Consumed(call, bytes)),
                    Taken::TooLarge => Some(self.too_large(call)),
                }
            }
            Action::Send(link, message) => self.send(link, message),
            Action::Head(call, head) => {
                self.calls.get_mut(&call)?.head(now, head);
                None
            }
            Action::End(call) => {
                self.calls.remove(&call)?.end(now);
                None
            }
            Action::Reset(call) => {
                self.calls.get_mut(&call)?.reset();
                None
            }
            Action::Fail(call, failure) => {
                self.calls.remove(&call)?.fail(failure);
                None
            }
            Action::Route {
                call,
                avoid,
                version,
                retry,
            } => Some(self.route(call, &avoid, version.as_deref(), retry)),
            Action::Settled(call, host, settled) => {
                let outcome = match self.calls.get(&call) {
                    Some(open) => open.outcome(now, settled),
                    None => {
                        routing::Outcome::without_answer(routing::Status::Cancelled, Duration::ZERO)
                    }
                };
                self.router.ended(&host, &outcome);
                None
            }
        }
    }

    fn route(
        &mut self,
        call: Id,
        avoid: &[host::Name],
        version: Option<&str>,
        retry: bool,
    ) -> Event {
        let Some(open) = self.calls.get_mut(&call) else {
            return Event::Unrouted(call, Kind::NoBackend, 0);
        };
        if retry && !self.retries.withdraw() {
            return Event::Unrouted(call, Kind::Busy, RETRY_MS);
        }
        let need = open.request.model.as_deref();
        let need = need.map(|model| Need { model, version });
        let ask = Ask {
            service: &open.request.service,
            needs: need.as_slice(),
            prefixes: &open.prefixes,
            avoid,
            patience: None,
        };
        match self.router.pick(&ask) {
            Ok(host) => {
                let which = if retry { "again" } else { "first" };
                self.attempts.with_label_values(&[which]).inc();
                self.router.started(&host, &open.prefixes);
                open.sent = self.node.now();
                open.head = None;
                Event::Routed(call, host)
            }
            Err(refusal) => {
                let retry_ms = refusal.retry_after.as_millis() as u32;
                Event::Unrouted(call, kind(refusal.reason), retry_ms)
            }
        }
    }

    fn send(&self, link: Link, message: Message) -> Option<Event> {
        let start = start_of(&message);
        let sent = self.node.hub.send(key(link), Frame::Call(message));
        match (sent, start) {
            (Err(_), Some(attempt)) => Some(Event::Unsent(attempt)),
            // Whatever else is lost is asked for again.
            _ => None,
        }
    }

    fn too_large(&mut self, call: Id) -> Event {
        if let Some(open) = self.calls.remove(&call) {
            open.fail(Failure {
                kind: Kind::TooLarge,
                executed: snipewinch::call::Executed::Yes,
                retry_ms: 0,
            });
        }
        Event::Abandoned(call)
    }
}

fn attempts(node: &Node) -> IntCounterVec {
    let options = Opts::new(
        "snipewinch_call_attempts_total",
        "Attempts sent to agents, first ones and repeated ones",
    );
    let attempts = IntCounterVec::new(options, &["try"]).expect("constant options");
    // A second entry on one registry shares the first one's row.
    let _ = node.registry.register(Box::new(attempts.clone()));
    attempts
}

fn kind(reason: routing::Reason) -> Kind {
    match reason {
        routing::Reason::Busy => Kind::Busy,
        routing::Reason::NotLoaded => Kind::NoVersion,
        routing::Reason::Leaving
        | routing::Reason::AllTried
        | routing::Reason::NoHost
        | routing::Reason::Unreachable => Kind::NoBackend,
    }
}

fn start_of(message: &Message) -> Option<Attempt> {
    match message {
        Message::Start(start) => Some(start.attempt),
        _ => None,
    }
}

/// The library's name for a link.
fn name(link: link::Key) -> Link {
    Link(link.data().as_ffi())
}

fn key(link: Link) -> link::Key {
    KeyData::from_ffi(link.0).into()
}
