//! Weights at the agent: fetched, checked, passed on and loaded.

use peer::link::Event;
use poem::EndpointExt;
use poem::Route;
use poem::endpoint::BoxEndpoint;
use snipewinch::weights::Message;
use tokio::sync::mpsc;

use crate::node::Node;

/// Starts the part; answers the routes from which the engine loads weights.
pub(crate) fn spawn(
    _node: &Node,
    mut inbox: mpsc::Receiver<Event<Message>>,
) -> BoxEndpoint<'static> {
    tokio::spawn(async move { while inbox.recv().await.is_some() {} });
    Route::new().boxed()
}
