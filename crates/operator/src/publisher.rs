//! Runs a publication against the platform's table.

use std::time::Duration;

use platform::Client;
use smol_str::SmolStr;
use snipewinch::configuration::Record;
use snipewinch::configuration::publish::Action;
use snipewinch::configuration::publish::Event;
use snipewinch::configuration::publish::Outage;
use snipewinch::configuration::publish::Outcome;
use snipewinch::configuration::publish::Publication;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::console::wall_clock;

/// How long an operator waits at most.
const DEADLINE: Duration = Duration::from_secs(8);

/// What is published.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    pub(crate) operation: SmolStr,
    pub(crate) operator: SmolStr,
    pub(crate) note: String,
    /// The version from which the content was drawn up.
    pub(crate) base: u64,
    /// The same operation was sent before and its outcome was open.
    pub(crate) sent: bool,
    /// The canonical JSON text.
    pub(crate) text: String,
}

/// Publishes, and answers what became of it.
pub(crate) async fn publish(platform: &Client, proposal: &Proposal) -> Outcome {
    let started = Instant::now();
    let mut publication = Publication::open(
        proposal.operation.clone(),
        proposal.base,
        proposal.sent,
        DEADLINE,
    );
    let mut event = Event::Start;
    loop {
        event = match publication.handle(started.elapsed(), event) {
            Action::Finish(outcome) => return outcome,
            Action::Read => {
                let read = platform.current_for_publishing().await;
                Event::Read(read.map_err(|_| Outage))
            }
            Action::Write { version, revision } => {
                let record = record(proposal, version);
                Event::Written(platform.publish(&record, revision).await)
            }
            Action::Abandon => Event::Abandoned(platform.abandon(&proposal.operation).await),
            Action::ReadOperation => {
                let read = platform.operation_state(&proposal.operation).await;
                Event::OperationRead(read.map_err(|_| Outage))
            }
            Action::Wait(pause) => {
                sleep(pause).await;
                Event::Waited
            }
        };
    }
}

fn record(proposal: &Proposal, version: u64) -> Record {
    Record {
        version,
        operation: proposal.operation.clone(),
        operator: proposal.operator.clone(),
        at_ms: wall_clock().as_millis() as u64,
        note: proposal.note.clone(),
        text: proposal.text.clone(),
    }
}
