//! Drives the state machine of calls over links and callers' connections.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use caller::Call;
use peer::link;
use peer::link::Event as LinkEvent;
use slotmap::Key as _;
use slotmap::KeyData;
use snipewinch::call::Attempt;
use snipewinch::call::Link;
use snipewinch::call::Message;
use snipewinch::call::Number;
use snipewinch::call::Origin;
use snipewinch::call::Request;
use snipewinch::call::entry::Action;
use snipewinch::call::entry::Entry;
use snipewinch::call::entry::Event;
use snipewinch::call::entry::Failure;
use snipewinch::call::entry::Kind;
use snipewinch::host;
use snipewinch::host::Role;
use snipewinch::wire::Frame;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;

use super::choose::Agents;
use super::sink::Hold;
use super::sink::Reply;
use super::sink::Sink;
use super::sink::Taken;
use crate::entry::limits::Limiter;
use crate::entry::routes::Router;
use crate::node::Node;

/// How often time is looked at.
const TICK: Duration = Duration::from_millis(50);
/// The most events taken in at once.
const BATCH: usize = 256;
/// When to come back if no backend server takes a call, in milliseconds.
const RETRY_MS: u32 = 500;

/// A call to begin.
pub(super) struct Begin {
    pub(super) call: Call,
    pub(super) deadline: Instant,
    pub(super) reply: Reply,
    pub(super) hold: Hold,
}

/// What callers' connections tell the driver.
pub(super) enum Command {
    /// Run a call.
    Begin(Box<Begin>),
    /// The caller has taken so many bytes.
    Consumed(Number, u64),
    /// The caller has gone.
    Gone(Number),
}

struct Open {
    sink: Sink,
    request: Arc<Request>,
}

/// Runs the calls of one entry.
pub(super) struct Driver {
    node: Node,
    entry: Entry,
    agents: Agents,
    calls: HashMap<Number, Open>,
    commands: mpsc::UnboundedSender<Command>,
    _router: Router,
    _limiter: Limiter,
}

impl Driver {
    pub(super) fn open(
        node: &Node,
        router: Router,
        limiter: Limiter,
        commands: mpsc::UnboundedSender<Command>,
    ) -> Driver {
        let origin = Origin::of(&node.identity.host, node.identity.incarnation);
        Driver {
            node: node.clone(),
            entry: Entry::open(origin),
            agents: Agents::default(),
            calls: HashMap::new(),
            commands,
            _router: router,
            _limiter: limiter,
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
        let gone: Vec<Number> = self
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
                self.agents.up(&peer);
                let up = Event::Up(name(link), peer.host.clone(), peer.incarnation);
                self.feed(up);
            }
            LinkEvent::Messages { link, messages } => {
                for message in messages {
                    self.feed(Event::Message(name(link), message));
                }
            }
            LinkEvent::Summary { link, summary } => {
                if let Some(peer) = self.node.hub.peer(link) {
                    self.agents.summary(&peer.host, summary);
                }
            }
            LinkEvent::Down { link, .. } => self.feed(Event::Down(name(link))),
            LinkEvent::Up { .. } => {}
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
            reply,
            hold,
        } = begin;
        let number = self.entry.number();
        let request = Arc::new(call.request);
        let open = Open {
            sink: Sink::open(number, reply, hold, self.commands.clone()),
            request: request.clone(),
        };
        self.calls.insert(number, open);
        let deadline = deadline.saturating_duration_since(self.node.started);
        self.feed(Event::Begin(number, request, deadline));
    }

    fn gone(&mut self, call: Number) {
        if let Some(open) = self.calls.get(&call)
            && !open.request.once
        {
            self.calls.remove(&call);
        }
        self.feed(Event::Gone(call));
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
        match action {
            Action::Data(call, data) => {
                let open = self.calls.get_mut(&call);
                let taken = match open {
                    Some(open) => open.sink.data(data.bytes),
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
                let open = self.calls.get_mut(&call)?;
                let streamed = open.request.is_streamed(&head);
                open.sink.head(head, streamed);
                None
            }
            Action::End(call) => {
                self.calls.remove(&call)?.sink.end();
                None
            }
            Action::Reset(call) => {
                self.calls.get_mut(&call)?.sink.reset();
                None
            }
            Action::Fail(call, failure) => {
                self.calls.remove(&call)?.sink.fail(failure);
                None
            }
            Action::Route { call, avoid, .. } => Some(self.route(call, &avoid)),
            Action::Settled(_, host, _) => {
                self.agents.settled(&host);
                None
            }
        }
    }

    fn route(&mut self, call: Number, avoid: &[host::Name]) -> Event {
        let none = Event::Unrouted(call, Kind::NoBackend, RETRY_MS);
        let Some(open) = self.calls.get(&call) else {
            return none;
        };
        let reaches = |host: &host::Name| self.entry.reaches(host);
        let service = &open.request.service;
        match self.agents.choose(service, avoid, reaches) {
            Some(host) => Event::Routed(call, host),
            None => none,
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

    fn too_large(&mut self, call: Number) -> Event {
        if let Some(open) = self.calls.remove(&call) {
            open.sink.fail(Failure {
                kind: Kind::TooLarge,
                run: snipewinch::call::Run::Yes,
                retry_ms: 0,
            });
        }
        Event::Gone(call)
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
