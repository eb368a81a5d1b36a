//! Entries and servers that may end under requests, on one store.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use standin::store::Store;
use tokio::time::sleep;
use tokio::time::timeout;

use super::Harness;
use super::Options;
use super::TIMEOUT;
use super::crashing::CrashingServer;
use super::crashing::Naming;
use super::crashing::Reaction;
use super::crashing::Trigger;

/// The time in which entries learn of a change of the list.
const LIST_DELAY: Duration = Duration::from_millis(300);

/// Entries and servers on one store.
pub(crate) struct Fleet {
    pub(crate) store: Store,
    store_address: SocketAddr,
    pub(crate) servers: Vec<CrashingServer>,
    pub(crate) entries: Vec<Harness>,
}

impl Fleet {
    /// Starts a server for each reaction to the trigger, and entries.
    pub(crate) async fn start_with(
        trigger: &Trigger,
        reactions: &[Reaction],
        entries: usize,
        downtime: Duration,
        configuration: &Value,
    ) -> Fleet {
        let naming = Naming::Changes;
        Fleet::start_named(trigger, reactions, entries, downtime, configuration, naming).await
    }

    /// The same with servers that may keep their ids.
    pub(crate) async fn start_named(
        trigger: &Trigger,
        reactions: &[Reaction],
        entries: usize,
        downtime: Duration,
        configuration: &Value,
        naming: Naming,
    ) -> Fleet {
        let (store, store_address) = Store::spawn(([127, 0, 0, 1], 0).into()).await.unwrap();
        store.put("op", "config", configuration);
        let servers = reactions
            .iter()
            .enumerate()
            .map(|(index, reaction)| {
                let name = format!("s{index}");
                CrashingServer::spawn(&store, name, naming, trigger.clone(), *reaction, downtime)
            })
            .collect();
        let mut fleet = Fleet {
            store,
            store_address,
            servers,
            entries: Vec::new(),
        };
        for _ in 0..entries {
            fleet.add_entry().await;
        }
        fleet
    }

    /// Starts a further entry and returns its address for callers.
    pub(crate) async fn add_entry(&mut self) -> SocketAddr {
        let name = format!("edge-{}", self.entries.len() + 1);
        let options = Options::default();
        let entry = Harness::start_on(&self.store, self.store_address, &name, &options).await;
        let callers = entry.callers;
        self.entries.push(entry);
        callers
    }

    /// The addresses for callers of all entries.
    pub(crate) fn callers(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.callers).collect()
    }

    /// When requests that are the trigger arrived at any server.
    pub(crate) fn suspects(&self) -> Vec<Instant> {
        let all = self.servers.iter();
        all.flat_map(|server| server.record().suspects).collect()
    }

    /// When servers ended, in order.
    pub(crate) fn ends(&self) -> Vec<Instant> {
        let all = self.servers.iter();
        let mut ends: Vec<Instant> = all.flat_map(|server| server.record().ends).collect();
        ends.sort();
        ends
    }

    /// Waits until all servers are up and known to the entries.
    pub(crate) async fn wait_up(&self) {
        let waiting = async {
            while !self.servers.iter().all(|server| server.record().is_up) {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(TIMEOUT, waiting).await.expect("all servers return");
        sleep(LIST_DELAY).await;
    }
}
