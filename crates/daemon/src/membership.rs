//! Keeps the membership view current: drives the state machine [`Roster`] with
//! the links, the clock and the membership list of the platform.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use peer::link;
use peer::link::Direction;
use peer::link::Event;
use peer::link::Reason;
use rand::RngExt;
use slotmap::Key;
use slotmap::KeyData;
use snipewinch::host;
use snipewinch::host::Identity;
use snipewinch::membership::Message;
use snipewinch::membership::Roster;
use snipewinch::membership::View;
use snipewinch::membership::roster;
use snipewinch::membership::roster::Action;
use snipewinch::wire::Frame;
use snipewinch::wire::Summary;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;
use tokio::time::sleep;

use crate::daemon::Context;
use crate::shutdown::Phase;

/// The latest summary of each linked process.
#[derive(Clone, Debug, Default)]
pub(crate) struct Summaries {
    links: Arc<Mutex<HashMap<link::Key, Peer>>>,
}

#[derive(Clone, Debug)]
struct Peer {
    identity: Arc<Identity>,
    summary: Arc<Summary>,
}

impl Summaries {
    /// The summaries by host. If several links lead to one host, the process
    /// with the highest incarnation counts, then the newest configuration.
    pub(crate) fn by_host(&self) -> HashMap<host::Name, Arc<Summary>> {
        let mut peers: Vec<Peer> = self.links.lock().values().cloned().collect();
        peers.sort_by_key(|peer| (peer.identity.incarnation, peer.summary.configuration));
        peers
            .into_iter()
            .map(|peer| (peer.identity.host.clone(), peer.summary))
            .collect()
    }

    fn add(&self, link: link::Key, identity: Arc<Identity>) {
        let summary = Arc::default();
        self.links.lock().insert(link, Peer { identity, summary });
    }

    fn remove(&self, link: link::Key) {
        self.links.lock().remove(&link);
    }

    fn update(&self, link: link::Key, summary: Arc<Summary>) {
        if let Some(peer) = self.links.lock().get_mut(&link) {
            peer.summary = summary;
        }
    }
}

/// How often the times of the last arrivals on links are read and the view is
/// updated.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum number of lists that are read and not yet processed.
const LIST_CHANNEL_CAPACITY: usize = 1;
/// The mean pause before another read of the list if one has failed.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The channel through which [`run`] publishes the view to the process.
pub(crate) fn channel() -> (watch::Receiver<Arc<View>>, watch::Sender<Arc<View>>) {
    let (sender, receiver) = watch::channel(Arc::new(View::default()));
    (receiver, sender)
}

/// Keeps the view current until the process exits.
pub(crate) async fn run(
    context: Context,
    mut inbox: mpsc::Receiver<Event<Message>>,
    view_sender: watch::Sender<Arc<View>>,
) {
    let (lists_sender, mut lists) = mpsc::channel(LIST_CHANNEL_CAPACITY);
    tokio::spawn(read_lists(context.clone(), lists_sender));
    let mut driver = Driver {
        roster: Roster::new((*context.identity).clone(), context.identity.incarnation),
        links: Vec::new(),
        context: context.clone(),
        view_sender,
    };
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let leaving = context.shutdown.reached(Phase::Leaving);
    tokio::pin!(leaving);
    let mut is_leaving = false;
    loop {
        tokio::select! {
            event = inbox.recv() => match event {
                Some(event) => driver.handle_link_event(event),
                None => return,
            },
            Some(list) = lists.recv() => driver.handle(list),
            () = &mut leaving, if !is_leaving => {
                is_leaving = true;
                driver.roster.leave();
            }
            _ = ticks.tick() => driver.tick(),
        }
    }
}

/// Reads the membership list repeatedly until [`run`] has returned. Jitter
/// keeps the reads of many hosts from coinciding.
async fn read_lists(context: Context, lists: mpsc::Sender<roster::Event>) {
    loop {
        let pause = match context.platform.members(&context.config.region).await {
            Ok(answer) => {
                let hosts = answer.list.hosts;
                let pause = roster::list_poll_interval(hosts.len(), answer.bytes);
                let event = roster::Event::ListRead {
                    as_of_ms: answer.list.as_of_ms,
                    hosts,
                };
                if lists.send(event).await.is_err() {
                    return;
                }
                pause
            }
            Err(error) => {
                log::debug!("E4102 the membership list could not be read: {error}");
                RETRY_INTERVAL
            }
        };
        let jitter = rand::rng().random_range(0.75..1.25);
        sleep(pause.mul_f64(jitter)).await;
    }
}

struct Driver {
    context: Context,
    roster: Roster,
    links: Vec<link::Key>,
    view_sender: watch::Sender<Arc<View>>,
}

impl Driver {
    fn handle_link_event(&mut self, event: Event<Message>) {
        match event {
            Event::Up {
                link,
                peer,
                direction,
            } => {
                self.links.push(link);
                self.context.summaries.add(link, peer.clone());
                self.handle(roster::Event::Up {
                    link: link_id(link),
                    peer: (*peer).clone(),
                    dialed: direction == Direction::Dialed,
                });
            }
            Event::Down { link, reason, .. } => {
                self.links.retain(|other| *other != link);
                self.context.summaries.remove(link);
                self.handle(roster::Event::Down {
                    link: link_id(link),
                    timed_out: reason == Reason::TimedOut,
                    closed_locally: reason == Reason::ClosedLocally,
                });
            }
            Event::Summary { link, summary } => {
                self.context.summaries.update(link, summary.clone());
                self.handle(roster::Event::Announced {
                    link: link_id(link),
                    leaving: summary.leaving,
                });
                if summary.leaving {
                    self.update_view();
                }
            }
            Event::Messages { link, messages } => {
                for message in messages {
                    let link = link_id(link);
                    self.handle(roster::Event::Message { link, message });
                }
            }
        }
    }

    fn tick(&mut self) {
        let now = self.context.now();
        for index in 0..self.links.len() {
            let link = self.links[index];
            if let Some(idle) = self.context.hub.idle_time(link) {
                self.handle(roster::Event::Received {
                    link: link_id(link),
                    at: now.saturating_sub(idle),
                });
            }
        }
        self.handle(roster::Event::Tick);
        self.update_view();
    }

    fn handle(&mut self, event: roster::Event) {
        for action in self.roster.handle(self.context.now(), event) {
            match action {
                Action::Send { link, message } => {
                    let link = link::Key::from(KeyData::from_ffi(link));
                    // An update that is lost here arrives by another peer.
                    let _ = self.context.hub.send(link, Frame::Membership(message));
                }
                Action::StaleList { behind_ms } => {
                    log::warn!(
                        "E4101 the membership list is {behind_ms} ms older than the newest one read"
                    );
                }
            }
        }
    }

    /// Publishes the view if it has changed.
    fn update_view(&mut self) {
        if !self.roster.take_changed(self.context.now()) {
            return;
        }
        let view = Arc::new(self.roster.view(self.context.now()));
        if **self.view_sender.borrow() == *view {
            return;
        }
        let role = self.context.config.role;
        self.context.platform.set_host_count(role, view.count(role));
        self.view_sender.send_replace(view);
    }
}

/// The identifier of a link in the state machine.
fn link_id(link: link::Key) -> roster::Link {
    link.data().as_ffi()
}
