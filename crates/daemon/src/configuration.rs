//! Keeps the configuration in force at this process the newest there is.

use std::sync::Arc;
use std::time::Duration;

use peer::link;
use peer::link::Event;
use prometheus::IntGauge;
use slotmap::Key;
use slotmap::KeyData;
use snipewinch::configuration::Message;
use snipewinch::configuration::Snapshot;
use snipewinch::configuration::follow;
use snipewinch::configuration::follow::Action;
use snipewinch::configuration::follow::Follower;
use snipewinch::configuration::follow::RawDocument;
use snipewinch::host::Role;
use snipewinch::wire::Frame;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use crate::node::Node;

/// How often deadlines are looked at.
const TICK: Duration = Duration::from_millis(200);
/// Results of reads and publications that wait.
const RESULTS_MAX: usize = 16;

/// Where the rest of the process reads the configuration, and where this part
/// writes it. Version 0 is in force before the first was accepted.
pub(crate) fn channel() -> (watch::Receiver<Arc<Snapshot>>, watch::Sender<Arc<Snapshot>>) {
    let (sender, receiver) = watch::channel(Arc::new(Snapshot::empty()));
    (receiver, sender)
}

/// Where the console hands over what it has published.
pub(crate) fn publications() -> (mpsc::Sender<Snapshot>, mpsc::Receiver<Snapshot>) {
    mpsc::channel(RESULTS_MAX)
}

/// Follows the configuration until the process ends.
pub(crate) async fn run(
    node: Node,
    mut inbox: mpsc::Receiver<Event<Message>>,
    mut published: mpsc::Receiver<Snapshot>,
    feed: watch::Sender<Arc<Snapshot>>,
) {
    let polls = node.config.role == Role::Entry;
    let (results, mut done) = mpsc::channel(RESULTS_MAX);
    let version = gauge(&node);
    let mut edge = Edge {
        follower: Follower::open(node.identity.incarnation, polls),
        node,
        feed,
        results,
        version,
    };
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            event = inbox.recv() => match event {
                Some(event) => edge.take(event),
                None => return,
            },
            Some(event) = done.recv() => edge.handle(event),
            Some(in_force) = published.recv() => edge.handle(follow::Event::Published(in_force)),
            _ = ticks.tick() => edge.tick(),
        }
    }
}

fn gauge(node: &Node) -> IntGauge {
    let gauge = IntGauge::new(
        "snipewinch_configuration_version",
        "The version of the configuration in force.",
    )
    .expect("name");
    node.registry
        .register(Box::new(gauge.clone()))
        .expect("unique");
    gauge
}

struct Edge {
    node: Node,
    follower: Follower,
    feed: watch::Sender<Arc<Snapshot>>,
    results: mpsc::Sender<follow::Event>,
    version: IntGauge,
}

impl Edge {
    fn take(&mut self, event: Event<Message>) {
        match event {
            Event::Up { link, .. } => self.handle(follow::Event::Connected(number(link))),
            Event::Down { link, .. } => self.handle(follow::Event::Disconnected(number(link))),
            Event::Summary { link, summary } => {
                self.handle(follow::Event::Heartbeat(
                    number(link),
                    summary.configuration,
                ));
            }
            Event::Messages { link, messages } => {
                for message in messages {
                    self.handle(follow::Event::Message(number(link), message));
                }
            }
        }
    }

    fn tick(&mut self) {
        let entries = self.node.view.borrow().count(Role::Entry);
        self.follower.set_entry_count(entries);
        self.handle(follow::Event::Tick);
    }

    fn handle(&mut self, event: follow::Event) {
        for action in self.follower.handle(self.node.now(), event) {
            self.act(action);
        }
    }

    fn act(&self, action: Action) {
        match action {
            Action::Send(peer, message) => {
                let link = link::Key::from(KeyData::from_ffi(peer));
                // A link that is gone is reported as down; another is asked.
                let _ = self.node.hub.send(link, Frame::Configuration(message));
            }
            Action::Poll => self.poll(),
            Action::Fetch => self.fetch(),
            Action::Adopt(in_force) => self.adopt(in_force),
            Action::Reject { version, reason } => {
                log::warn!("E4002 version {version} is refused, the old one stays: {reason}");
            }
            Action::ReportDivergence { version } => {
                log::error!("E4003 a peer has other content under version {version}");
            }
        }
    }

    fn adopt(&self, in_force: Arc<Snapshot>) {
        log::info!("E4001 version {} is in force", in_force.version);
        self.version.set(in_force.version as i64);
        let stamp = in_force.stamp();
        self.feed.send_replace(in_force);
        self.node
            .hub
            .change_summary(|summary| summary.configuration = stamp);
    }

    fn poll(&self) {
        let platform = self.node.platform.clone();
        let results = self.results.clone();
        tokio::spawn(async move {
            let stamp = platform.stamp().await;
            if let Err(error) = &stamp {
                log::debug!("E4004 the table was not read: {error}");
            }
            let _ = results.send(follow::Event::Polled(stamp.ok())).await;
        });
    }

    fn fetch(&self) {
        let platform = self.node.platform.clone();
        let results = self.results.clone();
        tokio::spawn(async move {
            let record = platform.current().await;
            if let Err(error) = &record {
                log::debug!("E4004 the table was not read: {error}");
            }
            let text = record.ok().flatten().map(|record| RawDocument {
                version: record.version,
                text: record.text,
            });
            let _ = results.send(follow::Event::Fetched(text)).await;
        });
    }
}

fn number(link: link::Key) -> follow::PeerId {
    link.data().as_ffi()
}
