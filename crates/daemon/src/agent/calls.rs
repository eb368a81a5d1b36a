//! Calls at the agent: admitted, run on the backend server, and kept until
//! the entry has the answer.

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
use crate::node::Node;
use crate::shutdown::Phase;
use crate::shutdown::WorkGuard;

mod runner;

/// How often time is looked at.
const TICK: Duration = Duration::from_millis(50);
/// The most events taken in at once.
const BATCH: usize = 256;
/// Pieces of answers that wait for the agent before backend servers are held
/// back.
const ANSWERS_MAX: usize = 1024;

/// Starts the part.
pub(crate) fn spawn(node: &Node, inbox: mpsc::Receiver<LinkEvent<Message>>) {
    let (answers, answered) = mpsc::channel(ANSWERS_MAX);
    let base = node.config.backend.as_deref().unwrap_or_default();
    let authority = base.strip_prefix("http://").unwrap_or(base);
    let driver = Driver {
        node: node.clone(),
        agent: Agent::open(limit(node)),
        server: Server::open(authority),
        running: HashMap::new(),
        answers,
        work: Some(node.shutdown.track_work()),
    };
    tokio::spawn(driver.run(inbox, answered));
}

fn limit(node: &Node) -> Limit {
    let service = node.config.service.clone().unwrap_or_default();
    let in_force = node.configuration.borrow().clone();
    let concurrency = service_of(&in_force, &service).map_or(0, |found| found.concurrency);
    Limit {
        service,
        concurrency: concurrency as usize,
        waiting: concurrency as usize,
    }
}

fn service_of<'a>(in_force: &'a Snapshot, name: &str) -> Option<&'a snipewinch::document::Service> {
    in_force
        .document
        .services
        .iter()
        .find(|service| service.name == name)
}

/// Runs the calls of one agent.
struct Driver {
    node: Node,
    agent: Agent,
    server: Server,
    running: HashMap<Attempt, Control>,
    answers: mpsc::Sender<Event>,
    /// Held until the agent has drained.
    work: Option<WorkGuard>,
}

impl Driver {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<LinkEvent<Message>>,
        mut answered: mpsc::Receiver<Event>,
    ) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut configuration = self.node.configuration.clone();
        let mut confirmed = self.node.confirmed.subscribe();
        let shutdown = self.node.shutdown.clone();
        let leaving = shutdown.reached(Phase::Leaving);
        tokio::pin!(leaving);
        let mut left = false;
        let mut events = Vec::with_capacity(BATCH);
        let mut answers = Vec::with_capacity(BATCH);
        self.reconfigure();
        loop {
            tokio::select! {
                count = inbox.recv_many(&mut events, BATCH) => {
                    if count == 0 {
                        return;
                    }
                }
                _ = answered.recv_many(&mut answers, BATCH) => {}
                _ = ticks.tick() => self.feed(Event::Tick),
                Ok(()) = configuration.changed() => self.reconfigure(),
                Ok(()) = confirmed.changed() => self.reconfigure(),
                () = &mut leaving, if !left => {
                    left = true;
                    self.feed(Event::Leave);
                }
            }
            for event in events.drain(..) {
                self.link(event);
            }
            for event in answers.drain(..) {
                if let Event::End(attempt) | Event::Failed(attempt, ..) = &event {
                    self.running.remove(attempt);
                }
                self.feed(event);
            }
            self.report(left);
        }
    }

    /// Tells entries the load, and the process when nothing is left to do.
    fn report(&mut self, left: bool) {
        let agent = &self.agent;
        self.node.hub.set_load(
            agent.running() as u32,
            agent.waiting() as u32,
            agent.capacity() as u32,
        );
        if left && self.work.is_some() && agent.is_drained(self.node.now()) {
            self.work = None;
        }
    }

    fn reconfigure(&mut self) {
        let limit = limit(&self.node);
        let in_force = self.node.configuration.borrow().clone();
        let service = service_of(&in_force, &limit.service);
        let is_engine =
            service.is_some_and(|service| matches!(service.backend, Backend::Engine { .. }));
        let confirmed = is_engine.then(|| self.node.confirmed.borrow().clone());
        self.feed(Event::Confirmed(confirmed));
        self.feed(Event::Limit(limit));
    }

    fn link(&mut self, event: LinkEvent<Message>) {
        match event {
            LinkEvent::Up { link, peer, .. } if peer.role == Role::Entry => {
                let origin = Origin::of(&peer.host, peer.incarnation);
                self.feed(Event::Up(name(link), origin));
            }
            LinkEvent::Messages { link, messages } => {
                for message in messages {
                    self.feed(Event::Message(name(link), message));
                }
            }
            LinkEvent::Down { link, .. } => self.feed(Event::Down(name(link))),
            LinkEvent::Summary { .. } | LinkEvent::Up { .. } => {}
        }
    }

    fn feed(&mut self, event: Event) {
        for action in self.agent.handle(self.node.now(), event) {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send(link, message) => {
                // What is lost here is asked for by the entry.
                let _ = self.node.hub.send(key(link), Frame::Call(message));
            }
            Action::Run(start) => {
                let attempt = start.attempt;
                let runner = Runner {
                    tracer: self.node.tracer.clone(),
                    server: self.server.clone(),
                    answers: self.answers.clone(),
                    start,
                };
                self.running.insert(attempt, runner.spawn());
            }
            Action::Stop(attempt) => self.control(attempt, Control::stop),
            Action::Pause(attempt) => self.control(attempt, Control::pause),
            Action::Resume(attempt) => self.control(attempt, Control::resume),
        }
    }

    fn control(&self, attempt: Attempt, change: impl Fn(&Control)) {
        if let Some(control) = self.running.get(&attempt) {
            change(control);
        }
    }
}

/// The library's name for a link.
fn name(link: link::Key) -> Link {
    Link(link.data().as_ffi())
}

fn key(link: Link) -> link::Key {
    KeyData::from_ffi(link.0).into()
}
