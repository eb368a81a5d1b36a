//! Calls at the agent.

use peer::link::Event;
use snipewinch::call::Message;
use tokio::sync::mpsc;

use crate::node::Node;

/// Starts the part.
pub(crate) fn spawn(_node: &Node, mut inbox: mpsc::Receiver<Event<Message>>) {
    tokio::spawn(async move { while inbox.recv().await.is_some() {} });
}
