//! Customers' limits at the entry, corrected by what other entries tell.

use peer::link::Event;
use snipewinch::limit::Message;
use tokio::sync::mpsc;

use crate::node::Node;

/// Admits customers' calls.
#[derive(Clone, Debug)]
pub(crate) struct Limiter;

/// Starts the part.
pub(crate) fn spawn(_node: &Node, mut inbox: mpsc::Receiver<Event<Message>>) -> Limiter {
    tokio::spawn(async move { while inbox.recv().await.is_some() {} });
    Limiter
}
