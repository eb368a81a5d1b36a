//! The agent role: runs calls on the backend server of its host and exchanges
//! weights with other agents.

use peer::link::Event;
use snipewinch::call;
use tokio::sync::mpsc;

use crate::daemon::Context;
use crate::http::Routes;
use crate::status;

mod calls;
mod weights;

/// Starts the tasks of the role and returns its HTTP routes.
pub(crate) fn spawn(
    context: &Context,
    calls_inbox: mpsc::Receiver<Event<call::Message>>,
    weights_inbox: mpsc::Receiver<Event<snipewinch::weights::Message>>,
) -> Routes {
    calls::spawn(context, calls_inbox);
    Routes {
        callers: weights::spawn(context, weights_inbox),
        console: None,
        status: status::routes(context),
    }
}
