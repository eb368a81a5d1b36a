//! Claims idempotency keys in the platform's table.
//!
//! Embeds [`claim::Table`]: runs its transactions and reads, and hands a
//! [`ClaimGuard`] to each call whose claim is granted.

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

use crate::daemon::Context;
use crate::shutdown::WorkGuard;

mod sweep;

/// The name of the table.
const TABLE: &str = "claims";
/// The interval of [`Event::Tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// How long after its deadline a call may still be running.
const RUN_MARGIN: Duration = Duration::from_secs(15);

type Reply = oneshot::Sender<Result<ClaimGuard, Denial>>;

enum Command {
    Claim(ClaimRequest, Reply),
    Event(Event),
}

/// A request to claim an idempotency key.
pub(super) struct ClaimRequest {
    /// The service, the customer and the caller's key.
    pub(super) key: SmolStr,
    /// The digest of the call's request, to detect that a key is used for
    /// different requests.
    pub(super) fingerprint: Digest,
    /// The time that the call may take.
    pub(super) budget: Duration,
}

/// Claims idempotency keys; clones share one [`claim::Table`].
#[derive(Clone)]
pub(super) struct Claims {
    commands: mpsc::UnboundedSender<Command>,
}

/// A granted claim: its call may run once. Dropping the guard records the
/// outcome as unknown if the call may have started, and releases the key
/// otherwise.
#[derive(Debug)]
pub(super) struct ClaimGuard {
    ticket: Ticket,
    commands: mpsc::UnboundedSender<Command>,
    /// Whether the call may have started. If so, the key must not be released
    /// when the outcome is unknown.
    started: bool,
    settled: bool,
}

impl ClaimGuard {
    /// Marks the call as possibly started.
    pub(super) fn start(&mut self) {
        self.started = true;
    }

    /// Records the outcome of the call.
    pub(super) fn record(mut self, outcome: Outcome) {
        self.settle(Event::Record(self.ticket, outcome));
    }

    /// Releases the key of a call that certainly has not run.
    pub(super) fn release(mut self) {
        self.settle(Event::Release(self.ticket));
    }

    fn settle(&mut self, event: Event) {
        if !std::mem::replace(&mut self.settled, true) {
            // The task only stops when the process exits.
            let _ = self.commands.send(Command::Event(event));
        }
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        match self.started {
            true => self.settle(Event::Record(self.ticket, Outcome::Unknown)),
            false => self.settle(Event::Release(self.ticket)),
        }
    }
}

impl Claims {
    /// Starts the tasks that write claims and delete expired ones.
    pub(super) fn spawn(context: &Context) -> Claims {
        let (commands, queue) = mpsc::unbounded_channel();
        let task = Task {
            origin: Origin::of(&context.identity.host, context.identity.incarnation),
            context: context.clone(),
            table: Table::open(),
            next_ticket: 1,
            waiting: HashMap::new(),
            commands: commands.clone(),
            work: None,
        };
        tokio::spawn(task.run(queue));
        tokio::spawn(sweep::run(context.clone()));
        Claims { commands }
    }

    /// Claims a key. Dropping the future releases the claim.
    ///
    /// # Errors
    ///
    /// When the call must not run.
    pub(super) async fn claim(&self, request: ClaimRequest) -> Result<ClaimGuard, Denial> {
        let (reply, replied) = oneshot::channel();
        let sent = self.commands.send(Command::Claim(request, reply));
        match sent {
            Ok(()) => replied.await.unwrap_or(Err(Denial::Unavailable)),
            Err(_) => Err(Denial::Unavailable),
        }
    }
}

struct Task {
    context: Context,
    origin: Origin,
    table: Table,
    next_ticket: u64,
    waiting: HashMap<Ticket, Reply>,
    commands: mpsc::UnboundedSender<Command>,
    /// Delays a shutdown while an outcome or a release still has to be written.
    work: Option<WorkGuard>,
}

impl Task {
    async fn run(mut self, mut queue: mpsc::UnboundedReceiver<Command>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(command) = queue.recv() => self.command(command),
                _ = ticks.tick() => self.handle(Event::Tick),
            }
            match (self.table.has_unwritten(), &self.work) {
                (true, None) => self.work = Some(self.context.shutdown.track_work()),
                (false, Some(_)) => self.work = None,
                _ => {}
            }
        }
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Event(event) => self.handle(event),
            Command::Claim(request, reply) => {
                let ticket = Ticket(self.next_ticket);
                self.next_ticket += 1;
                self.waiting.insert(ticket, reply);
                let end_ms = wall_ms() + (request.budget + RUN_MARGIN).as_millis() as u64;
                let claim = Claim {
                    key: request.key,
                    holder: format_smolstr!("{:016x}-{}", self.origin.0, ticket.0),
                    fingerprint: request.fingerprint,
                    until_ms: end_ms,
                };
                self.handle(Event::Claim(ticket, claim));
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.context.now();
        for action in self.table.handle(now, wall_ms(), event) {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Transact(batch, changes) => {
                let platform = self.context.platform.clone();
                let commands = self.commands.clone();
                let operation = format_smolstr!("{:016x}-{}", self.origin.0, batch.0);
                tokio::spawn(async move {
                    let event = transact(&platform, operation, batch, changes).await;
                    let _ = commands.send(Command::Event(event));
                });
            }
            Action::Read(ticket, key) => {
                let platform = self.context.platform.clone();
                let commands = self.commands.clone();
                tokio::spawn(async move {
                    let event = read(&platform, ticket, &key).await;
                    let _ = commands.send(Command::Event(event));
                });
            }
            Action::Grant(ticket) => {
                let guard = ClaimGuard {
                    ticket,
                    commands: self.commands.clone(),
                    started: false,
                    settled: false,
                };
                if let Some(reply) = self.waiting.remove(&ticket) {
                    // If the caller has disconnected, the guard is dropped,
                    // which releases the key.
                    let _ = reply.send(Ok(guard));
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
            log::warn!("E2001 transaction on claims failed without effect: {error}");
            claim::Completion::Failed
        }
        Err(error) => {
            log::warn!("E2002 transaction on claims may have taken effect: {error}");
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
                log::error!("E2003 row of claim {key} is malformed: {error}");
                Event::ReadFailed(ticket)
            }
        },
        Err(error) => {
            log::warn!("E2004 reading the row of claim {key} failed: {error}");
            Event::ReadFailed(ticket)
        }
    }
}

/// The wall clock, in milliseconds since the Unix epoch. Only the choice
/// between "in progress" and "unknown" and the expiry of rows depend on it.
fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as u64
}
