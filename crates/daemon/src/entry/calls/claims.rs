//! Claims of idempotency keys in the platform's table.

use std::collections::HashMap;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use platform::tables::Condition;
use platform::tables::Transaction;
use platform::tables::Write;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use snipewinch::Digest;
use snipewinch::call::Origin;
use snipewinch::claim;
use snipewinch::claim::Action;
use snipewinch::claim::Batch;
use snipewinch::claim::Change;
use snipewinch::claim::Claim;
use snipewinch::claim::Denial;
use snipewinch::claim::Event;
use snipewinch::claim::Outcome;
use snipewinch::claim::Row;
use snipewinch::claim::Table;
use snipewinch::claim::Ticket;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;

use crate::node::Node;
use crate::shutdown::Work;

mod sweep;

/// The platform's table of claims.
const TABLE: &str = "claims";
/// How often time is looked at.
const TICK: Duration = Duration::from_millis(50);
/// How much longer than its deadline a call may still be running.
const SLACK: Duration = Duration::from_secs(15);

type Reply = oneshot::Sender<Result<Held, Denial>>;

enum Command {
    Claim(Wanted, Reply),
    Event(Event),
}

/// A claim that is asked for.
pub(super) struct Wanted {
    /// Customer, service and the caller's key.
    pub(super) key: SmolStr,
    /// Distinguishes requests under the same key.
    pub(super) fingerprint: Digest,
    /// How long the call may take.
    pub(super) budget: Duration,
}

/// Claims idempotency keys; clones share one table.
#[derive(Clone)]
pub(super) struct Claims {
    commands: mpsc::UnboundedSender<Command>,
}

/// A claim that is held: its call may run, once.
#[derive(Debug)]
pub(super) struct Held {
    ticket: Ticket,
    commands: mpsc::UnboundedSender<Command>,
    /// The call may have been started, so that the key is not free if nothing
    /// more is heard of it.
    started: bool,
    settled: bool,
}

impl Held {
    /// From here on the call may run.
    pub(super) fn start(&mut self) {
        self.started = true;
    }

    /// The call has ended so.
    pub(super) fn record(mut self, outcome: Outcome) {
        self.settle(Event::Record(self.ticket, outcome));
    }

    /// The call certainly has not run.
    pub(super) fn release(mut self) {
        self.settle(Event::Release(self.ticket));
    }

    fn settle(&mut self, event: Event) {
        if !std::mem::replace(&mut self.settled, true) {
            // Without the task the process ends.
            let _ = self.commands.send(Command::Event(event));
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        match self.started {
            true => self.settle(Event::Record(self.ticket, Outcome::Unknown)),
            false => self.settle(Event::Release(self.ticket)),
        }
    }
}

impl Claims {
    /// Starts the part.
    pub(super) fn spawn(node: &Node) -> Claims {
        let (commands, queue) = mpsc::unbounded_channel();
        let task = Task {
            origin: Origin::of(&node.identity.host, node.identity.incarnation),
            node: node.clone(),
            table: Table::open(),
            next: 1,
            waiting: HashMap::new(),
            commands: commands.clone(),
            work: None,
        };
        tokio::spawn(task.run(queue));
        tokio::spawn(sweep::run(node.clone()));
        Claims { commands }
    }

    /// Claims a key. Dropping the future gives the claim up.
    pub(super) async fn claim(&self, wanted: Wanted) -> Result<Held, Denial> {
        let (reply, replied) = oneshot::channel();
        let sent = self.commands.send(Command::Claim(wanted, reply));
        match sent {
            Ok(()) => replied.await.unwrap_or(Err(Denial::Unavailable)),
            Err(_) => Err(Denial::Unavailable),
        }
    }
}

struct Task {
    node: Node,
    origin: Origin,
    table: Table,
    next: u64,
    waiting: HashMap<Ticket, Reply>,
    commands: mpsc::UnboundedSender<Command>,
    /// Held while an outcome still has to be written.
    work: Option<Work>,
}

impl Task {
    async fn run(mut self, mut queue: mpsc::UnboundedReceiver<Command>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(command) = queue.recv() => self.command(command),
                _ = ticks.tick() => self.feed(Event::Tick),
            }
            match (self.table.has_unwritten(), &self.work) {
                (true, None) => self.work = Some(self.node.shutdown.work()),
                (false, Some(_)) => self.work = None,
                _ => {}
            }
        }
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Event(event) => self.feed(event),
            Command::Claim(wanted, reply) => {
                let ticket = Ticket(self.next);
                self.next += 1;
                self.waiting.insert(ticket, reply);
                let until = wall_ms() + (wanted.budget + SLACK).as_millis() as u64;
                let claim = Claim {
                    key: wanted.key,
                    holder: format_smolstr!("{:016x}-{}", self.origin.0, ticket.0),
                    fingerprint: wanted.fingerprint,
                    until_ms: until,
                };
                self.feed(Event::Claim(ticket, claim));
            }
        }
    }

    fn feed(&mut self, event: Event) {
        let now = self.node.now();
        for action in self.table.handle(now, wall_ms(), event) {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Transact(batch, changes) => {
                let platform = self.node.platform.clone();
                let commands = self.commands.clone();
                let operation = format_smolstr!("{:016x}-{}", self.origin.0, batch.0);
                tokio::spawn(async move {
                    let event = transact(&platform, operation, batch, changes).await;
                    let _ = commands.send(Command::Event(event));
                });
            }
            Action::Read(ticket, key) => {
                let platform = self.node.platform.clone();
                let commands = self.commands.clone();
                tokio::spawn(async move {
                    let event = read(&platform, ticket, &key).await;
                    let _ = commands.send(Command::Event(event));
                });
            }
            Action::Grant(ticket) => {
                let held = Held {
                    ticket,
                    commands: self.commands.clone(),
                    started: false,
                    settled: false,
                };
                if let Some(reply) = self.waiting.remove(&ticket) {
                    // A caller who has gone drops the claim, which releases it.
                    let _ = reply.send(Ok(held));
                }
            }
            Action::Deny(ticket, denial) => {
                if let Some(reply) = self.waiting.remove(&ticket) {
                    let _ = reply.send(Err(denial));
                }
            }
        }
    }
}

async fn transact(
    platform: &platform::Client,
    operation: SmolStr,
    batch: Batch,
    changes: Vec<Change>,
) -> Event {
    let transaction = transaction(operation, &changes);
    let completion = match platform.transact(&transaction).await {
        Ok(revision) => claim::Completion::Committed(revision),
        Err(platform::Error::Conflict { conflicts }) => {
            let keys = conflicts.into_iter().map(|conflict| conflict.key);
            claim::Completion::Conflict(keys.collect())
        }
        Err(error) if error.had_no_effect() => {
            log::warn!("E2001 claims were not written: {error}");
            claim::Completion::Failed
        }
        Err(error) => {
            log::warn!("E2002 claims may have been written: {error}");
            claim::Completion::Lost
        }
    };
    Event::Completed(batch, completion)
}

fn transaction(operation: SmolStr, changes: &[Change]) -> Transaction {
    let conditions = changes.iter().map(|change| Condition {
        table: SmolStr::new_static(TABLE),
        key: change.key.clone(),
        revision: change.revision,
    });
    let writes = changes.iter().map(|change| Write {
        table: SmolStr::new_static(TABLE),
        key: change.key.clone(),
        value: match &change.row {
            Some(row) => serde_json::to_value(row).unwrap_or_default(),
            None => serde_json::Value::Null,
        },
    });
    Transaction {
        operation,
        conditions: conditions.collect(),
        writes: writes.collect(),
    }
}

async fn read(platform: &platform::Client, ticket: Ticket, key: &str) -> Event {
    match platform.get(TABLE, key).await {
        Ok(None) => Event::Read(ticket, None),
        Ok(Some(row)) => match serde_json::from_value::<Row>(row.value) {
            Ok(value) => Event::Read(ticket, Some((value, row.revision))),
            Err(error) => {
                log::error!("E2003 claim {key} can't be read: {error}");
                Event::ReadFailed(ticket)
            }
        },
        Err(error) => {
            log::warn!("E2004 claim {key} was not read: {error}");
            Event::ReadFailed(ticket)
        }
    }
}

/// The wall clock, which only decides between "in progress" and "unknown".
fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as u64
}
