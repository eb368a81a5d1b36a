//! Keeps the newest accepted configuration in force in this process: drives the
//! state machine [`Follower`] with the links, the clock and the table service.

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

use crate::daemon::Context;

/// The interval of [`follow::Event::Tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// The maximum number of queued results of reads, and of queued publications.
const RESULT_CHANNEL_CAPACITY: usize = 16;

/// The channel through which [`run`] publishes the configuration to the
/// process. Until a version is adopted, the empty version 0 is in force.
pub(crate) fn channel() -> (watch::Receiver<Arc<Snapshot>>, watch::Sender<Arc<Snapshot>>) {
    let (sender, receiver) = watch::channel(Arc::new(Snapshot::empty()));
    (receiver, sender)
}

/// The channel on which the console passes on versions that it has published.
pub(crate) fn publications() -> (mpsc::Sender<Snapshot>, mpsc::Receiver<Snapshot>) {
    mpsc::channel(RESULT_CHANNEL_CAPACITY)
}

/// Follows the configuration until the process exits.
pub(crate) async fn run(
    context: Context,
    mut inbox: mpsc::Receiver<Event<Message>>,
    mut published: mpsc::Receiver<Snapshot>,
    configuration_sender: watch::Sender<Arc<Snapshot>>,
) {
    let polls_table = context.config.role == Role::Entry;
    let (results, mut results_inbox) = mpsc::channel(RESULT_CHANNEL_CAPACITY);
    let version_gauge = version_gauge(&context);
    let mut driver = Driver {
        follower: Follower::open(context.identity.incarnation, polls_table),
        context,
        configuration_sender,
        results,
        version_gauge,
    };
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            event = inbox.recv() => match event {
                Some(event) => driver.handle_link_event(event),
                None => return,
            },
            Some(event) = results_inbox.recv() => driver.handle(event),
            Some(in_force) = published.recv() => driver.handle(follow::Event::Published(in_force)),
            _ = ticks.tick() => driver.tick(),
        }
    }
}

fn version_gauge(context: &Context) -> IntGauge {
    let gauge = IntGauge::new(
        "snipewinch_configuration_version",
        "The version of the configuration in force.",
    )
    .expect("a valid metric name");
    context
        .registry
        .register(Box::new(gauge.clone()))
        .expect("unique");
    gauge
}

struct Driver {
    context: Context,
    follower: Follower,
    configuration_sender: watch::Sender<Arc<Snapshot>>,
    results: mpsc::Sender<follow::Event>,
    version_gauge: IntGauge,
}

impl Driver {
    fn handle_link_event(&mut self, event: Event<Message>) {
        match event {
            Event::Up { link, .. } => self.handle(follow::Event::Connected(link_id(link))),
            Event::Down { link, .. } => self.handle(follow::Event::Disconnected(link_id(link))),
            Event::Summary { link, summary } => {
                self.handle(follow::Event::Heartbeat(
                    link_id(link),
                    summary.configuration,
                ));
            }
            Event::Messages { link, messages } => {
                for message in messages {
                    self.handle(follow::Event::Message(link_id(link), message));
                }
            }
        }
    }

    fn tick(&mut self) {
        let entries = self.context.view.borrow().count(Role::Entry);
        self.follower.set_entry_count(entries);
        self.handle(follow::Event::Tick);
    }

    fn handle(&mut self, event: follow::Event) {
        for action in self.follower.handle(self.context.now(), event) {
            self.execute(action);
        }
    }

    fn execute(&self, action: Action) {
        match action {
            Action::Send(peer, message) => {
                let link = link::Key::from(KeyData::from_ffi(peer));
                // If the link is gone, its `Disconnected` event follows, and
                // the follower sends its request to another peer.
                let _ = self.context.hub.send(link, Frame::Configuration(message));
            }
            Action::Poll => self.poll(),
            Action::Fetch => self.fetch(),
            Action::Adopt(in_force) => self.adopt(in_force),
            Action::Reject { version, reason } => {
                log::warn!(
                    "E4002 configuration version {version} is rejected, the version in force stays: {reason}"
                );
            }
            Action::ReportDivergence { version } => {
                log::error!(
                    "E4003 a peer has different content under configuration version {version}"
                );
            }
        }
    }

    fn adopt(&self, in_force: Arc<Snapshot>) {
        log::info!(
            "E4001 configuration version {} is in force",
            in_force.version
        );
        self.version_gauge.set(in_force.version as i64);
        let stamp = in_force.stamp();
        self.configuration_sender.send_replace(in_force);
        self.context
            .hub
            .update_summary(|summary| summary.configuration = stamp);
    }

    fn poll(&self) {
        let platform = self.context.platform.clone();
        let results = self.results.clone();
        tokio::spawn(async move {
            let stamp = platform.stamp().await;
            if let Err(error) = &stamp {
                log::debug!("E4004 the configuration table could not be read: {error}");
            }
            let _ = results.send(follow::Event::Polled(stamp.ok())).await;
        });
    }

    fn fetch(&self) {
        let platform = self.context.platform.clone();
        let results = self.results.clone();
        tokio::spawn(async move {
            let record = platform.current().await;
            if let Err(error) = &record {
                log::debug!("E4004 the configuration table could not be read: {error}");
            }
            let document = record.ok().flatten().map(|record| RawDocument {
                version: record.version,
                text: record.text,
            });
            let _ = results.send(follow::Event::Fetched(document)).await;
        });
    }
}

/// The identifier of a link in the state machine.
fn link_id(link: link::Key) -> follow::PeerId {
    link.data().as_ffi()
}
