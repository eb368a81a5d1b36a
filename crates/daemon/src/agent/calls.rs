//! Calls at the agent: embeds the state machine [`Agent`], which admits calls
//! and retains answers, and runs the attempts on the backend server.

use std::collections::HashMap;
use std::time::Duration;

use backend::Server;
use peer::link;
use peer::link::Event as LinkEvent;
use slotmap::Key as _;
use slotmap::KeyData;
use snipewinch::call::Attempt;
use snipewinch::call::Link;
use snipewinch::call::Message;
use snipewinch::call::Origin;
use snipewinch::call::agent::Action;
use snipewinch::call::agent::Agent;
use snipewinch::call::agent::Event;
use snipewinch::call::agent::Limit;
use snipewinch::configuration::Snapshot;
use snipewinch::document::Backend;
use snipewinch::host::Role;
use snipewinch::wire::Frame;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use self::runner::Control;
use self::runner::Runner;
use crate::daemon::Context;
use crate::shutdown::Phase;
use crate::shutdown::WorkGuard;

mod runner;

/// The interval of [`Event::Tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The maximum number of link events, and of parts of answers, processed at
/// once.
const BATCH_MAX: usize = 256;
/// The maximum number of queued parts of answers. Once the queue is full, no
/// more is read from the backend server.
const ANSWER_CHANNEL_CAPACITY: usize = 1024;

/// Starts the task that runs calls.
pub(crate) fn spawn(context: &Context, inbox: mpsc::Receiver<LinkEvent<Message>>) {
    let (answers, answers_inbox) = mpsc::channel(ANSWER_CHANNEL_CAPACITY);
    let base = context.config.backend.as_deref().unwrap_or_default();
    let authority = base.strip_prefix("http://").unwrap_or(base);
    let driver = Driver {
        context: context.clone(),
        agent: Agent::open(limit(context)),
        server: Server::open(authority),
        running: HashMap::new(),
        answers,
        work_guard: Some(context.shutdown.track_work()),
    };
    tokio::spawn(driver.run(inbox, answers_inbox));
}

/// The admission limits by the configuration in force: as many calls may be
/// queued as may run.
fn limit(context: &Context) -> Limit {
    let service = context.config.service.clone().unwrap_or_default();
    let in_force = context.configuration.borrow().clone();
    let concurrency = find_service(&in_force, &service).map_or(0, |found| found.concurrency);
    Limit {
        service,
        concurrency: concurrency as usize,
        waiting: concurrency as usize,
    }
}

fn find_service<'a>(
    in_force: &'a Snapshot,
    name: &str,
) -> Option<&'a snipewinch::document::Service> {
    in_force
        .document
        .services
        .iter()
        .find(|service| service.name == name)
}

/// Drives the state machine and the running attempts.
struct Driver {
    context: Context,
    agent: Agent,
    server: Server,
    running: HashMap<Attempt, Control>,
    answers: mpsc::Sender<Event>,
    /// Keeps the process running until the agent has drained.
    work_guard: Option<WorkGuard>,
}

impl Driver {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<LinkEvent<Message>>,
        mut answers_inbox: mpsc::Receiver<Event>,
    ) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut configuration = self.context.configuration.clone();
        let mut confirmed = self.context.confirmed.subscribe();
        let shutdown = self.context.shutdown.clone();
        let leaving = shutdown.reached(Phase::Leaving);
        tokio::pin!(leaving);
        let mut is_leaving = false;
        let mut events = Vec::with_capacity(BATCH_MAX);
        let mut answers = Vec::with_capacity(BATCH_MAX);
        self.reconfigure();
        loop {
            tokio::select! {
                count = inbox.recv_many(&mut events, BATCH_MAX) => {
                    if count == 0 {
                        return;
                    }
                }
                _ = answers_inbox.recv_many(&mut answers, BATCH_MAX) => {}
                _ = ticks.tick() => self.handle(Event::Tick),
                Ok(()) = configuration.changed() => self.reconfigure(),
                Ok(()) = confirmed.changed() => self.reconfigure(),
                () = &mut leaving, if !is_leaving => {
                    is_leaving = true;
                    self.handle(Event::Leave);
                }
            }
            for event in events.drain(..) {
                self.handle_link_event(event);
            }
            for event in answers.drain(..) {
                if let Event::End(attempt) | Event::Failed(attempt, ..) = &event {
                    self.running.remove(attempt);
                }
                self.handle(event);
            }
            self.report_load(is_leaving);
        }
    }

    /// Sets the load that heartbeats report; once a leaving agent has drained,
    /// lets the process exit.
    fn report_load(&mut self, is_leaving: bool) {
        let agent = &self.agent;
        self.context.hub.set_load(
            agent.running() as u32,
            agent.waiting() as u32,
            agent.capacity() as u32,
        );
        if is_leaving && self.work_guard.is_some() && agent.is_drained(self.context.now()) {
            self.work_guard = None;
        }
    }

    fn reconfigure(&mut self) {
        let limit = limit(&self.context);
        let in_force = self.context.configuration.borrow().clone();
        let service = find_service(&in_force, &limit.service);
        let is_engine =
            service.is_some_and(|service| matches!(service.backend, Backend::Engine { .. }));
        let confirmed = is_engine.then(|| self.context.confirmed.borrow().clone());
        self.handle(Event::Confirmed(confirmed));
        self.handle(Event::Limit(limit));
    }

    fn handle_link_event(&mut self, event: LinkEvent<Message>) {
        match event {
            LinkEvent::Up { link, peer, .. } if peer.role == Role::Entry => {
                let origin = Origin::of(&peer.host, peer.incarnation);
                self.handle(Event::Up(link_id(link), origin));
            }
            LinkEvent::Messages { link, messages } => {
                for message in messages {
                    self.handle(Event::Message(link_id(link), message));
                }
            }
            LinkEvent::Down { link, .. } => self.handle(Event::Down(link_id(link))),
            LinkEvent::Summary { .. } | LinkEvent::Up { .. } => {}
        }
    }

    fn handle(&mut self, event: Event) {
        for action in self.agent.handle(self.context.now(), event) {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send(link, message) => {
                // If the message is lost, the entry queries the state of the
                // attempt.
                let _ = self.context.hub.send(link_key(link), Frame::Call(message));
            }
            Action::Run(start) => {
                let attempt = start.attempt;
                let runner = Runner {
                    tracer: self.context.tracer.clone(),
                    server: self.server.clone(),
                    answers: self.answers.clone(),
                    start,
                };
                self.running.insert(attempt, runner.spawn());
            }
            Action::Stop(attempt) => self.send_command(attempt, Control::stop),
            Action::Pause(attempt) => self.send_command(attempt, Control::pause),
            Action::Resume(attempt) => self.send_command(attempt, Control::resume),
        }
    }

    fn send_command(&self, attempt: Attempt, command: impl Fn(&Control)) {
        if let Some(control) = self.running.get(&attempt) {
            command(control);
        }
    }
}

/// The identifier of a link in the state machine.
fn link_id(link: link::Key) -> Link {
    Link(link.data().as_ffi())
}

fn link_key(link: Link) -> link::Key {
    KeyData::from_ffi(link.0).into()
}
