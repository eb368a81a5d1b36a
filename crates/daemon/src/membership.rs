//! Keeps the view of hosts current.

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

use crate::node::Node;
use crate::shutdown::Phase;

/// What each linked process last said of itself.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reports {
    reports: Arc<Mutex<HashMap<link::Key, Said>>>,
}

#[derive(Clone, Debug)]
struct Said {
    peer: Arc<Identity>,
    summary: Arc<Summary>,
}

impl Reports {
    /// The reports by host; of two links to one host, the later process's.
    pub(crate) fn by_host(&self) -> HashMap<host::Name, Arc<Summary>> {
        let mut said: Vec<Said> = self.reports.lock().values().cloned().collect();
        said.sort_by_key(|said| (said.peer.incarnation, said.summary.configuration));
        said.into_iter()
            .map(|said| (said.peer.host.clone(), said.summary))
            .collect()
    }

    fn up(&self, link: link::Key, peer: Arc<Identity>) {
        let summary = Arc::default();
        self.reports.lock().insert(link, Said { peer, summary });
    }

    fn down(&self, link: link::Key) {
        self.reports.lock().remove(&link);
    }

    fn hear(&self, link: link::Key, summary: Arc<Summary>) {
        if let Some(said) = self.reports.lock().get_mut(&link) {
            said.summary = summary;
        }
    }
}

/// How often silence is looked at and the view renewed.
const TICK: Duration = Duration::from_millis(100);
/// Reads of the list that wait to be taken in.
const LISTS_MAX: usize = 1;
/// The pause after a read of the list that failed.
const RETRY: Duration = Duration::from_secs(1);

/// Where the rest of the process reads the view, and where this part writes it.
pub(crate) fn channel() -> (watch::Receiver<Arc<View>>, watch::Sender<Arc<View>>) {
    let (sender, receiver) = watch::channel(Arc::new(View::default()));
    (receiver, sender)
}

/// Follows the hosts until the process ends.
pub(crate) async fn run(
    node: Node,
    mut inbox: mpsc::Receiver<Event<Message>>,
    feed: watch::Sender<Arc<View>>,
) {
    let (lists_sender, mut lists) = mpsc::channel(LISTS_MAX);
    tokio::spawn(read_lists(node.clone(), lists_sender));
    let mut edge = Edge {
        roster: Roster::new((*node.identity).clone(), node.identity.incarnation),
        links: Vec::new(),
        node: node.clone(),
        feed,
    };
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let leaving = node.shutdown.reached(Phase::Leaving);
    tokio::pin!(leaving);
    let mut left = false;
    loop {
        tokio::select! {
            event = inbox.recv() => match event {
                Some(event) => edge.take(event),
                None => return,
            },
            Some(list) = lists.recv() => edge.handle(list),
            () = &mut leaving, if !left => {
                left = true;
                edge.roster.leave();
            }
            _ = ticks.tick() => edge.tick(),
        }
    }
}

/// Reads the list for as long as somebody takes it in.
async fn read_lists(node: Node, lists: mpsc::Sender<roster::Event>) {
    loop {
        let pause = match node.platform.members(&node.config.region).await {
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
                log::debug!("E4102 the list of hosts was not read: {error}");
                RETRY
            }
        };
        let jitter = rand::rng().random_range(0.75..1.25);
        sleep(pause.mul_f64(jitter)).await;
    }
}

struct Edge {
    node: Node,
    roster: Roster,
    links: Vec<link::Key>,
    feed: watch::Sender<Arc<View>>,
}

impl Edge {
    fn take(&mut self, event: Event<Message>) {
        match event {
            Event::Up {
                link,
                peer,
                direction,
            } => {
                self.links.push(link);
                self.node.reports.up(link, peer.clone());
                self.handle(roster::Event::Up {
                    link: number(link),
                    peer: (*peer).clone(),
                    dialed: direction == Direction::Dialed,
                });
            }
            Event::Down { link, reason, .. } => {
                self.links.retain(|other| *other != link);
                self.node.reports.down(link);
                self.handle(roster::Event::Down {
                    link: number(link),
                    timed_out: reason == Reason::Silent,
                    closed_locally: reason == Reason::Forgotten,
                });
            }
            Event::Summary { link, summary } => {
                self.node.reports.hear(link, summary.clone());
                self.handle(roster::Event::Announced {
                    link: number(link),
                    leaving: summary.leaving,
                });
                if summary.leaving {
                    self.renew();
                }
            }
            Event::Messages { link, messages } => {
                for message in messages {
                    let link = number(link);
                    self.handle(roster::Event::Message { link, message });
                }
            }
        }
    }

    fn tick(&mut self) {
        let now = self.node.now();
        for index in 0..self.links.len() {
            let link = self.links[index];
            if let Some(quiet) = self.node.hub.quiet(link) {
                self.handle(roster::Event::Received {
                    link: number(link),
                    at: now.saturating_sub(quiet),
                });
            }
        }
        self.handle(roster::Event::Tick);
        self.renew();
    }

    fn handle(&mut self, event: roster::Event) {
        for action in self.roster.handle(self.node.now(), event) {
            match action {
                Action::Send { link, message } => {
                    let link = link::Key::from(KeyData::from_ffi(link));
                    // News that don't arrive here arrive by another peer.
                    let _ = self.node.hub.send(link, Frame::Membership(message));
                }
                Action::StaleList { behind_ms } => {
                    log::warn!("E4101 the list of hosts is {behind_ms} ms older than the last one");
                }
            }
        }
    }

    /// Shows the rest of the process what has changed.
    fn renew(&mut self) {
        if !self.roster.take_changed(self.node.now()) {
            return;
        }
        let view = Arc::new(self.roster.view(self.node.now()));
        if **self.feed.borrow() == *view {
            return;
        }
        let role = self.node.config.role;
        self.node.platform.set_host_count(role, view.count(role));
        self.feed.send_replace(view);
    }
}

fn number(link: link::Key) -> roster::Link {
    link.data().as_ffi()
}
