//! The entry role: callers' requests, the operator console, routing and
//! admission control.

use peer::link::Event;
use snipewinch::call;
use snipewinch::limit;
use tokio::sync::mpsc;

use crate::http::Routes;
use crate::node::Node;

mod calls;
mod console;
mod limits;
mod router;

/// Starts the tasks of the role and returns its HTTP routes.
pub(crate) fn spawn(
    node: &Node,
    calls: mpsc::Receiver<Event<call::Message>>,
    limits: mpsc::Receiver<Event<limit::Message>>,
) -> Routes {
    let router = router::spawn(node);
    let limiter = limits::spawn(node, limits, router.clone());
    Routes {
        callers: calls::spawn(node, calls, router, limiter),
        console: Some(console::routes(node)),
        status: console::status(node),
    }
}
