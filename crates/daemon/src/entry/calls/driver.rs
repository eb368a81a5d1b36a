//! Runs the state machine of calls: passes it events of links, callers and the
//! clock, and executes its actions.

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

use super::active_call::ActiveCall;
use super::active_call::Recorder;
use super::claims::ClaimGuard;
use super::sink::Delivery;
use super::sink::Reply;
use super::sink::Scope;
use super::sink::Sink;
use crate::daemon::Context;
use crate::entry::limits::Permit;
use crate::entry::router::PickRequest;
use crate::entry::router::Router;

/// The interval of [`Event::Tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The maximum number of link events or commands that are received at once.
const BATCH_MAX: usize = 256;
/// When callers should retry after the retry budget is exhausted, in
/// milliseconds.
const RETRY_AFTER_MS: u32 = 500;

/// An admitted call to start.
pub(super) struct Begin {
    pub(super) call: Call,
    /// The deadline of the complete answer.
    pub(super) deadline: Instant,
    pub(super) permit: Permit,
    pub(super) claim_guard: Option<ClaimGuard>,
    pub(super) reply: Reply,
    pub(super) scope: Scope,
}

/// A message from a caller's connection to the driver.
pub(super) enum Command {
    /// Start a call.
    Begin(Box<Begin>),
    /// The caller has read this number of further bytes.
    Consumed(Id, u64),
    /// The caller has disconnected.
    Disconnected(Id),
}

/// Runs the calls of one entry.
pub(super) struct Driver {
    context: Context,
    entry: Entry,
    calls: HashMap<Id, ActiveCall>,
    commands: mpsc::UnboundedSender<Command>,
    router: Router,
    retry_budget: Budget,
    attempts: IntCounterVec,
}

impl Driver {
    pub(super) fn open(
        context: &Context,
        router: Router,
        commands: mpsc::UnboundedSender<Command>,
    ) -> Driver {
        let origin = Origin::of(&context.identity.host, context.identity.incarnation);
        Driver {
            context: context.clone(),
            entry: Entry::open(origin),
            calls: HashMap::new(),
            commands,
            router,
            retry_budget: Budget::default(),
            attempts: register_attempts(context),
        }
    }

    pub(super) async fn run(
        mut self,
        mut inbox: mpsc::Receiver<LinkEvent<Message>>,
        mut queue: mpsc::UnboundedReceiver<Command>,
    ) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut events = Vec::with_capacity(BATCH_MAX);
        let mut commands = Vec::with_capacity(BATCH_MAX);
        loop {
            tokio::select! {
                count = inbox.recv_many(&mut events, BATCH_MAX) => {
                    if count == 0 {
                        return;
                    }
                }
                _ = queue.recv_many(&mut commands, BATCH_MAX) => {}
                _ = ticks.tick() => self.tick(),
            }
            for event in events.drain(..) {
                self.handle_link_event(event);
            }
            for command in commands.drain(..) {
                self.handle_command(command);
            }
        }
    }

    fn tick(&mut self) {
        self.handle(Event::Tick);
        let disconnected: Vec<Id> = self
            .calls
            .iter()
            .filter(|(_, active)| active.sink.is_disconnected())
            .map(|(call, _)| *call)
            .collect();
        for call in disconnected {
            self.abandon(call);
        }
    }

    fn handle_link_event(&mut self, event: LinkEvent<Message>) {
        match event {
            LinkEvent::Up { link, peer, .. } if peer.role == Role::Agent => {
                let up = Event::Up(link_id(link), peer.host.clone(), peer.incarnation);
                self.handle(up);
            }
            LinkEvent::Messages { link, messages } => {
                for message in messages {
                    self.handle(Event::Message(link_id(link), message));
                }
            }
            LinkEvent::Down { link, .. } => self.handle(Event::Down(link_id(link))),
            // The router and the limiter get these through the limiter's inbox.
            LinkEvent::Summary { .. } | LinkEvent::Up { .. } => {}
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Begin(begin) => self.begin(*begin),
            Command::Consumed(call, bytes) => self.handle(Event::Consumed(call, bytes)),
            Command::Disconnected(call) => self.abandon(call),
        }
    }

    fn begin(&mut self, begin: Begin) {
        let Begin {
            call,
            deadline,
            permit,
            claim_guard,
            reply,
            scope,
        } = begin;
        let id = self.entry.next_id();
        let request = Arc::new(call.request);
        let active = ActiveCall {
            sink: Sink::open(id, reply, scope, self.commands.clone()),
            request: request.clone(),
            prefixes: call.prefixes,
            permit,
            recorder: claim_guard.map(Recorder::open),
            sent_at: self.context.now(),
            head_at: None,
        };
        self.retry_budget.deposit();
        self.calls.insert(id, active);
        let deadline = deadline.saturating_duration_since(self.context.started);
        self.handle(Event::Begin(id, request, deadline));
    }

    fn abandon(&mut self, call: Id) {
        if let Some(active) = self.calls.get(&call)
            && !active.request.at_most_once
        {
            self.calls.remove(&call);
        }
        self.handle(Event::Abandoned(call));
    }

    /// Passes an event to the state machine and executes the resulting actions,
    /// then does the same with the events that these actions cause.
    fn handle(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let now = self.context.now();
            for action in self.entry.handle(now, event) {
                if let Some(event) = self.execute(action) {
                    events.push_back(event);
                }
            }
        }
    }

    fn execute(&mut self, action: Action) -> Option<Event> {
        let now = self.context.now();
        match action {
            Action::Data(call, data) => {
                let delivery = match self.calls.get_mut(&call) {
                    Some(active) => active.data(data.bytes),
                    None => Delivery::Buffered(data.bytes.len() as u64),
                };
                match delivery {
                    Delivery::Queued => None,
                    Delivery::Buffered(bytes) => Some(Event::Consumed(call, bytes)),
                    Delivery::TooLarge => Some(self.fail_too_large(call)),
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
                    Some(active) => active.outcome(now, settled),
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
        let Some(active) = self.calls.get(&call) else {
            return Event::Unrouted(call, Kind::NoBackend, 0);
        };
        let need = active.request.model.as_deref();
        let need = need.map(|model| Need { model, version });
        let request = PickRequest {
            service: &active.request.service,
            needs: need.as_slice(),
            prefixes: &active.prefixes,
            avoid,
            wait_max: None,
        };
        match self.router.pick(&request) {
            Ok(_) if retry && !self.retry_budget.withdraw() => {
                Event::Unrouted(call, Kind::Busy, RETRY_AFTER_MS)
            }
            Ok(host) => {
                let label = if retry { "again" } else { "first" };
                self.attempts.with_label_values(&[label]).inc();
                self.router.started(&host, &active.prefixes);
                Event::Routed(call, host)
            }
            Err(refusal) => {
                let retry_ms = refusal.retry_after.as_millis() as u32;
                Event::Unrouted(call, failure_kind(refusal.reason), retry_ms)
            }
        }
    }

    fn send(&mut self, link: Link, message: Message) -> Option<Event> {
        let start = started_attempt(&message);
        if let Some(attempt) = start
            && let Some(active) = self.calls.get_mut(&attempt.call)
        {
            active.sent_at = self.context.now();
            active.head_at = None;
        }
        let sent = self.context.hub.send(link_key(link), Frame::Call(message));
        match (sent, start) {
            (Err(_), Some(attempt)) => Some(Event::Unsent(attempt)),
            // After the loss of any other message the state machine queries the
            // agent.
            _ => None,
        }
    }

    fn fail_too_large(&mut self, call: Id) -> Event {
        if let Some(active) = self.calls.remove(&call) {
            active.fail(Failure {
                kind: Kind::TooLarge,
                executed: snipewinch::call::Executed::Yes,
                retry_ms: 0,
            });
        }
        Event::Abandoned(call)
    }
}

fn register_attempts(context: &Context) -> IntCounterVec {
    let options = Opts::new(
        "snipewinch_call_attempts_total",
        "Attempts sent to agents, first ones and repeated ones",
    );
    let attempts = IntCounterVec::new(options, &["try"]).expect("valid metric name and labels");
    // Fails if the registry has this metric already; the attempts of a second
    // entry in one registry are not exported.
    let _ = context.registry.register(Box::new(attempts.clone()));
    attempts
}

fn failure_kind(reason: routing::Reason) -> Kind {
    match reason {
        routing::Reason::Busy => Kind::Busy,
        routing::Reason::NotLoaded => Kind::NoVersion,
        routing::Reason::Leaving
        | routing::Reason::AllTried
        | routing::Reason::NoHost
        | routing::Reason::Unreachable => Kind::NoBackend,
    }
}

fn started_attempt(message: &Message) -> Option<Attempt> {
    match message {
        Message::Start(start) => Some(start.attempt),
        _ => None,
    }
}

/// The identifier of a link in the state machine.
fn link_id(link: link::Key) -> Link {
    Link(link.data().as_ffi())
}

fn link_key(link: Link) -> link::Key {
    KeyData::from_ffi(link.0).into()
}
