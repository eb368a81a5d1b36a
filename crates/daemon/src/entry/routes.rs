//! Chooses backend servers for calls, and which hosts are linked to.

use crate::node::Node;

/// Chooses backend servers for calls.
#[derive(Clone, Debug)]
pub(crate) struct Router;

/// Starts the part.
pub(crate) fn spawn(_node: &Node) -> Router {
    Router
}
