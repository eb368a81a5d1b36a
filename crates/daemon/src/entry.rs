//! The entry role: callers' requests, the operator console, routing and
//! admission control.

use peer::link::Event;
use snipewinch::call;
use snipewinch::limit;
use tokio::sync::mpsc;

use crate::daemon::Context;
use crate::http::Routes;

mod calls;
mod console;
mod limits;
mod router;

/// Starts the tasks of the role and returns its HTTP routes.
pub(crate) fn spawn(
    context: &Context,
    calls: mpsc::Receiver<Event<call::Message>>,
    limits: mpsc::Receiver<Event<limit::Message>>,
) -> Routes {
    let router = router::spawn(context);
    let limiter = limits::spawn(context, limits, router.clone());
    Routes {
        callers: calls::spawn(context, calls, router, limiter),
        console: Some(console::routes(context)),
        status: console::status(context),
    }
}
