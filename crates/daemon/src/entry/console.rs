//! The operator console of an entry host.

use operator::Config;
use operator::Console;
use operator::status::Source;
use poem::EndpointExt;
use poem::endpoint::BoxEndpoint;

use crate::daemon::Context;
use crate::status;

/// The console's routes.
pub(crate) fn routes(context: &Context) -> BoxEndpoint<'static> {
    console(context).routes().boxed()
}

fn console(context: &Context) -> Console {
    let status_context = context.clone();
    Console::open(Config {
        platform: context.platform.clone(),
        in_force: context.configuration.clone(),
        publications: context.publications.clone(),
        status: Source::new(move || status::gather(&status_context)),
        fleet_secret: context.config.fleet_secret.0.to_string(),
        first_operator: context.config.first_operator,
    })
}

/// The route of this process's status, as JSON.
pub(crate) fn status(context: &Context) -> BoxEndpoint<'static> {
    status::routes(context)
}
