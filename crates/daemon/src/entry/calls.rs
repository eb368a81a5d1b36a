//! Calls at the entry.

use peer::link::Event;
use poem::EndpointExt;
use poem::Route;
use poem::endpoint::BoxEndpoint;
use snipewinch::call::Message;
use tokio::sync::mpsc;

use super::limits::Limiter;
use super::routes::Router;
use crate::node::Node;

/// Starts the part; answers the callers' routes.
pub(crate) fn spawn(
    _node: &Node,
    mut inbox: mpsc::Receiver<Event<Message>>,
    _router: Router,
    _limiter: Limiter,
) -> BoxEndpoint<'static> {
    tokio::spawn(async move { while inbox.recv().await.is_some() {} });
    Route::new().boxed()
}
