//! Runs the state machine of a publication against the configuration table.

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

/// The deadline of a publication, during which the operator waits for the page.
const DEADLINE: Duration = Duration::from_secs(8);

/// A document to publish.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    /// The identifier of the publication.
    pub(crate) operation: SmolStr,
    pub(crate) operator: SmolStr,
    pub(crate) note: String,
    /// The version against which the changes were reviewed.
    pub(crate) base: u64,
    /// Whether the operation was sent before with the outcome
    /// [`Outcome::Unknown`].
    pub(crate) sent: bool,
    /// The document's canonical JSON text.
    pub(crate) text: String,
}

/// Publishes a document and returns the outcome.
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
                let result = platform.current_for_publishing().await;
                Event::Read(result.map_err(|_| Outage))
            }
            Action::Write { version, revision } => {
                let record = record(proposal, version);
                Event::Written(platform.publish(&record, revision).await)
            }
            Action::Abandon => Event::Abandoned(platform.abandon(&proposal.operation).await),
            Action::ReadOperation => {
                let result = platform.operation_state(&proposal.operation).await;
                Event::OperationRead(result.map_err(|_| Outage))
            }
            Action::Wait(delay) => {
                sleep(delay).await;
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
