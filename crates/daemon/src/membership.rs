//! Keeps the view of hosts current.

use std::sync::Arc;

use peer::link::Event;
use snipewinch::membership::Message;
use snipewinch::membership::View;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::node::Node;

/// Where the rest of the process reads the view, and where this part writes it.
pub(crate) fn channel() -> (watch::Receiver<Arc<View>>, watch::Sender<Arc<View>>) {
    let (sender, receiver) = watch::channel(Arc::new(View::default()));
    (receiver, sender)
}

/// Follows the hosts until the process ends.
pub(crate) async fn run(
    _node: Node,
    mut inbox: mpsc::Receiver<Event<Message>>,
    _feed: watch::Sender<Arc<View>>,
) {
    while inbox.recv().await.is_some() {}
}
