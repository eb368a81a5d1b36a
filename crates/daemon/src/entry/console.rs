//! The operators' console on an entry host.

use poem::EndpointExt;
use poem::Route;
use poem::endpoint::BoxEndpoint;

use crate::node::Node;

/// The console's routes.
pub(crate) fn routes(_node: &Node) -> BoxEndpoint<'static> {
    Route::new().boxed()
}

/// What this process knows, as JSON.
pub(crate) fn status(_node: &Node) -> BoxEndpoint<'static> {
    Route::new().boxed()
}
