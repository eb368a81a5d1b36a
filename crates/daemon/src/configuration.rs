//! Keeps the configuration in force at this process the newest there is.

use std::sync::Arc;

use peer::link::Event;
use snipewinch::Digest;
use snipewinch::configuration::InForce;
use snipewinch::configuration::Message;
use snipewinch::document::Document;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::node::Node;

/// Where the rest of the process reads the configuration, and where this part
/// writes it. Version 0 is in force before the first was accepted.
pub(crate) fn channel() -> (watch::Receiver<Arc<InForce>>, watch::Sender<Arc<InForce>>) {
    let empty = InForce {
        version: 0,
        digest: Digest::of(b""),
        document: Arc::new(Document::default()),
    };
    let (sender, receiver) = watch::channel(Arc::new(empty));
    (receiver, sender)
}

/// Follows the configuration until the process ends.
pub(crate) async fn run(
    _node: Node,
    mut inbox: mpsc::Receiver<Event<Message>>,
    _feed: watch::Sender<Arc<InForce>>,
) {
    while inbox.recv().await.is_some() {}
}
