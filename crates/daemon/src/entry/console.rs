//! The operators' console on an entry host.

use operator::Config;
use operator::Console;
use operator::status::Source;
use poem::EndpointExt;
use poem::endpoint::BoxEndpoint;

use crate::node::Node;
use crate::status;

/// The console's routes.
pub(crate) fn routes(node: &Node) -> BoxEndpoint<'static> {
    open(node).routes().boxed()
}

fn open(node: &Node) -> Console {
    let gathered = node.clone();
    Console::open(Config {
        platform: node.platform.clone(),
        in_force: node.configuration.clone(),
        published: node.publications.clone(),
        status: Source::new(move || status::gather(&gathered)),
        secret: node.config.fleet_secret.0.to_string(),
        first_operator: node.config.first_operator,
    })
}

/// What this process knows, as JSON.
pub(crate) fn status(node: &Node) -> BoxEndpoint<'static> {
    status::routes(node)
}
