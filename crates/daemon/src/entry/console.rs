//! The operator console of an entry host.

use operator::Config;
use operator::Console;
use operator::status::Source;
use poem::EndpointExt;
use poem::endpoint::BoxEndpoint;

use crate::node::Node;
use crate::status;

/// The console's routes.
pub(crate) fn routes(node: &Node) -> BoxEndpoint<'static> {
    console(node).routes().boxed()
}

fn console(node: &Node) -> Console {
    let status_node = node.clone();
    Console::open(Config {
        platform: node.platform.clone(),
        in_force: node.configuration.clone(),
        publications: node.publications.clone(),
        status: Source::new(move || status::gather(&status_node)),
        fleet_secret: node.config.fleet_secret.0.to_string(),
        first_operator: node.config.first_operator,
    })
}

/// The route of this process's status, as JSON.
pub(crate) fn status(node: &Node) -> BoxEndpoint<'static> {
    status::routes(node)
}
