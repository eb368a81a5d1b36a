//! The updates that a roster receives from peers and sends to them.

use std::ops::Bound;
use std::time::Duration;

use rand::RngExt;

use super::Action;
use super::HOSTS_MAX;
use super::Link;
use super::Listing;
use super::Process;
use super::Record;
use super::Roster;
use crate::host;
use crate::membership::Endpoint;
use crate::membership::Message;
use crate::membership::State;
use crate::membership::Update;

/// How many peers are sent pending updates at each gossip interval.
const FANOUT: usize = 2;
/// How long after its start a process relays no updates: until then nearly all
/// that it receives is new to it and known to its peers.
const STARTUP_DELAY: Duration = Duration::from_secs(10);
/// The most updates in one gossip message.
const GOSSIP_UPDATES_MAX: usize = 8;
/// The most updates in one message of a snapshot.
const SNAPSHOT_UPDATES_MAX: usize = 256;
/// How often each update is sent, as a multiple of the binary logarithm of the
/// number of hosts.
const RETRANSMIT_FACTOR: u32 = 1;

impl Roster {
    pub(super) fn receive(
        &mut self,
        now: Duration,
        link: Link,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        let Some(connection) = self.links.get(&link) else {
            return;
        };
        let same_region = connection.region == self.own.region;
        match message {
            Message::SnapshotRequest => self.send_snapshot(link, actions),
            Message::Snapshot(updates) => {
                for update in updates {
                    self.apply_update(now, update, same_region);
                }
            }
            Message::Gossip(updates) => {
                for update in updates {
                    let host = update.host.clone();
                    if self.apply_update(now, update, same_region) {
                        self.relay_update(now, &host);
                    }
                }
            }
        }
    }

    pub(super) fn send_snapshot(&self, link: Link, actions: &mut Vec<Action>) {
        let mut updates = vec![self.own_update()];
        updates.extend(
            self.records
                .iter()
                .filter_map(|(host, record)| update_for(host, record)),
        );
        for chunk in updates.chunks(SNAPSHOT_UPDATES_MAX) {
            let message = Message::Snapshot(chunk.to_vec());
            actions.push(Action::Send { link, message });
        }
    }

    /// Applies an update and returns whether it was newer than what was known.
    pub(super) fn apply_update(
        &mut self,
        now: Duration,
        update: Update,
        same_region: bool,
    ) -> bool {
        if update.host == self.own.host {
            self.refute_suspicion(&update);
            return false;
        }
        if self.records.len() >= HOSTS_MAX && !self.records.contains_key(&update.host) {
            return false;
        }
        self.apply_list_status(&update);
        // An address reported across regions may not be reachable from here.
        let address_usable = same_region && update.endpoint.region == self.own.region;
        let record = self.records.entry(update.host.clone()).or_default();
        let newer = match &record.process {
            None => true,
            Some(process) => supersedes(&update, process),
        };
        if !newer {
            return false;
        }
        let keep_endpoint = record.process.as_ref().is_some_and(|process| {
            process.incarnation == update.incarnation && process.address_usable && !address_usable
        });
        let endpoint = match (&record.process, keep_endpoint) {
            (Some(process), true) => process.endpoint.clone(),
            _ => update.endpoint,
        };
        record.last_observed = now;
        record.process = Some(Process {
            incarnation: update.incarnation,
            refutations: update.refutations,
            state: update.state,
            endpoint,
            address_usable: address_usable || keep_endpoint,
        });
        true
    }

    /// Applies the status from a list that a peer has read and this process has
    /// not. It is ignored for a host that was on no list read here; that host
    /// has to wait for the next list.
    fn apply_list_status(&mut self, update: &Update) {
        let read_ms = self.list_as_of_ms.unwrap_or(0);
        let Some(record) = self.records.get_mut(&update.host) else {
            return;
        };
        let incarnation = record.process.as_ref().map_or(u64::MAX, |p| p.incarnation);
        match (update.list_status, &mut record.listing) {
            (Some(status), Some(listing))
                if status.as_of_ms > listing.changed_ms && status.as_of_ms > read_ms =>
            {
                let leaving_incarnation = listing.leaving_incarnation.unwrap_or(incarnation);
                listing.leaving_incarnation = status.leaving.then_some(leaving_incarnation);
                listing.changed_ms = status.as_of_ms;
                self.queue_update(&update.host);
            }
            _ => {}
        }
    }

    /// Refutes a peer's suspicion of this process with a higher count.
    pub(super) fn refute_suspicion(&mut self, update: &Update) {
        let current = update.incarnation == self.own.incarnation;
        if current && update.state == State::Suspect && update.refutations >= self.refutations {
            self.refutations = update.refutations + 1;
            self.queue_update(&self.own.host.clone());
        }
    }

    pub(super) fn send_gossip(&mut self, actions: &mut Vec<Action>) {
        if self.pending_updates.is_empty() || self.links.is_empty() {
            return;
        }
        let links: Vec<Link> = self.links.keys().copied().collect();
        for _ in 0..FANOUT.min(links.len()) {
            let link = links[self.rng.random_range(0..links.len())];
            let updates = self.next_updates();
            if updates.is_empty() {
                return;
            }
            let message = Message::Gossip(updates);
            actions.push(Action::Send { link, message });
        }
    }

    /// Sends the next host, in round-robin order, to a random peer.
    pub(super) fn send_anti_entropy(&mut self, actions: &mut Vec<Action>) {
        let links: Vec<Link> = self.links.keys().copied().collect();
        if links.is_empty() {
            return;
        }
        let after = match self.anti_entropy_cursor.take() {
            Some(host) => Bound::Excluded(host),
            None => Bound::Unbounded,
        };
        let mut rest = self.records.range((after, Bound::Unbounded));
        let next = rest.find_map(|(host, record)| update_for(host, record));
        let update = match next {
            Some(update) => {
                self.anti_entropy_cursor = Some(update.host.clone());
                update
            }
            None => self.own_update(),
        };
        let link = links[self.rng.random_range(0..links.len())];
        let message = Message::Gossip(vec![update]);
        actions.push(Action::Send { link, message });
    }

    /// Takes the pending updates that have the most sends left.
    pub(super) fn next_updates(&mut self) -> Vec<Update> {
        let mut due: Vec<(u32, host::Name)> = self
            .pending_updates
            .iter()
            .map(|(host, remaining)| (*remaining, host.clone()))
            .collect();
        due.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        due.truncate(GOSSIP_UPDATES_MAX);
        let mut updates = Vec::new();
        for (remaining, host) in due {
            match remaining {
                0 | 1 => self.pending_updates.remove(&host),
                _ => self.pending_updates.insert(host.clone(), remaining - 1),
            };
            if host == self.own.host {
                updates.push(self.own_update());
            } else if let Some(record) = self.records.get(&host) {
                updates.extend(update_for(&host, record));
            }
        }
        updates
    }

    pub(super) fn own_update(&self) -> Update {
        Update {
            host: self.own.host.clone(),
            incarnation: self.own.incarnation,
            refutations: self.refutations,
            state: match self.leaving {
                true => State::Leaving,
                false => State::Live,
            },
            endpoint: Endpoint::from(&self.own),
            list_status: None,
        }
    }

    /// Queues an update received from a peer or on a new link, except shortly
    /// after the start.
    pub(super) fn relay_update(&mut self, now: Duration, host: &host::Name) {
        if self
            .started_at
            .is_some_and(|started_at| now >= started_at + STARTUP_DELAY)
        {
            self.queue_update(host);
        }
    }

    pub(super) fn queue_update(&mut self, host: &host::Name) {
        let hosts = self.records.len() as u32 + 2;
        let sends = RETRANSMIT_FACTOR * (u32::BITS - hosts.leading_zeros());
        self.pending_updates.insert(host.clone(), sends);
    }
}

fn update_for(host: &host::Name, record: &Record) -> Option<Update> {
    let process = record.process.as_ref()?;
    Some(Update {
        host: host.clone(),
        incarnation: process.incarnation,
        refutations: process.refutations,
        state: process.state,
        endpoint: process.endpoint.clone(),
        list_status: record.listing.as_ref().and_then(Listing::status),
    })
}

/// Whether an update is newer than what is known: it names a later incarnation,
/// or for the same one a higher refutation count, or for the same count a worse
/// state.
fn supersedes(update: &Update, process: &Process) -> bool {
    let severity = |state: State| match state {
        State::Live => 0,
        State::Suspect => 1,
        State::Leaving => 2,
    };
    // Leaving is final: no refutation of the same incarnation takes it back.
    let has_left = |state: State| state == State::Leaving;
    let known = (
        process.incarnation,
        has_left(process.state),
        process.refutations,
        severity(process.state),
    );
    let received = (
        update.incarnation,
        has_left(update.state),
        update.refutations,
        severity(update.state),
    );
    received > known
}
