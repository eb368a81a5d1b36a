//! The HTTP listeners of every role: metrics, health, readiness and status
//! beside the role's own routes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use poem::Endpoint;
use poem::EndpointExt;
use poem::IntoResponse;
use poem::Route;
use poem::endpoint::BoxEndpoint;
use poem::handler;
use poem::http::StatusCode;
use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::listener::Listener;
use poem::listener::TcpAcceptor;
use poem::listener::TcpListener;
use poem::web::Data;
use poem::web::LocalAddr;
use poem::web::RemoteAddr;
use prometheus::TextEncoder;
use snafu::ResultExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::Error;
use crate::daemon::Context;
use crate::error::HttpSnafu;
use crate::shutdown::Phase;

/// How long open connections may take to close once [`Phase::Stopped`] is
/// reached.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// The routes of a role.
pub(crate) struct Routes {
    /// Routes for callers, or for the engine on the host.
    pub(crate) callers: BoxEndpoint<'static>,
    /// The operator console under `/console`; `None` for a role without it.
    pub(crate) console: Option<BoxEndpoint<'static>>,
    /// The status of the fleet as JSON.
    pub(crate) status: BoxEndpoint<'static>,
}

/// The HTTP listeners of a running daemon.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    operator_address: Option<SocketAddr>,
    tasks: Vec<JoinHandle<()>>,
}

impl Server {
    /// Binds the listeners and serves the routes until the process stops.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound.
    pub(crate) async fn bind(context: &Context, routes: Routes) -> Result<Server, Error> {
        let mut operator_routes = Route::new()
            .at("/metrics", metrics)
            .at("/healthz", health)
            .at("/readyz", ready)
            .at("/status.json", routes.status);
        if let Some(console) = routes.console {
            operator_routes = operator_routes.nest("/console", console);
        }
        let callers = Route::new().nest("/", routes.callers);
        let listen = context.config.listen_http;
        match context.config.listen_operators {
            None => {
                let all = operator_routes.nest("/", callers);
                let (address, task) = serve(context, listen, all).await?;
                Ok(Server {
                    address,
                    operator_address: None,
                    tasks: vec![task],
                })
            }
            Some(listen_operators) => {
                let callers = callers.at("/healthz", health).at("/readyz", ready);
                let (address, callers_task) = serve(context, listen, callers).await?;
                let (operator_address, operators_task) =
                    serve(context, listen_operators, operator_routes).await?;
                Ok(Server {
                    address,
                    operator_address: Some(operator_address),
                    tasks: vec![callers_task, operators_task],
                })
            }
        }
    }

    /// The address that serves callers.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// The address that serves operators: that of callers, unless separate.
    pub(crate) fn operator_address(&self) -> SocketAddr {
        self.operator_address.unwrap_or(self.address)
    }

    /// Waits until [`Phase::Stopped`] is reached and all connections are
    /// closed, for at most [`CLOSE_TIMEOUT`] after that.
    pub(crate) async fn wait_closed(self) {
        for task in self.tasks {
            let _ = task.await;
        }
    }
}

/// Accepts connections with `TCP_NODELAY`. Without it, Nagle's algorithm holds
/// the first part of an answer's body until the caller's delayed
/// acknowledgement of the head arrives, 40 ms on Linux.
struct NoDelayAcceptor {
    acceptor: TcpAcceptor,
}

impl Acceptor for NoDelayAcceptor {
    type Io = TcpStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.acceptor.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(TcpStream, LocalAddr, RemoteAddr, Scheme)> {
        let accepted = self.acceptor.accept().await?;
        // If the option cannot be set, the connection works, only slower.
        let _ = accepted.0.set_nodelay(true);
        Ok(accepted)
    }
}

async fn serve(
    context: &Context,
    listen: SocketAddr,
    routes: impl Endpoint + 'static,
) -> Result<(SocketAddr, JoinHandle<()>), Error> {
    let acceptor = TcpListener::bind(listen)
        .into_acceptor()
        .await
        .context(HttpSnafu { address: listen })?;
    let acceptor = NoDelayAcceptor { acceptor };
    let address = acceptor
        .local_addr()
        .first()
        .and_then(|address| address.as_socket_addr().copied())
        .unwrap_or(listen);
    let routes = routes.data(context.clone());
    let shutdown = context.shutdown.clone();
    let task = tokio::spawn(async move {
        let stopped = async move { shutdown.reached(Phase::Stopped).await };
        let server = poem::Server::new_with_acceptor(acceptor);
        let served = server
            .run_with_graceful_shutdown(routes, stopped, Some(CLOSE_TIMEOUT))
            .await;
        if let Err(error) = served {
            log::error!("E1005 the HTTP server failed: {error}");
        }
    });
    Ok((address, task))
}

#[handler]
fn metrics(Data(context): Data<&Context>) -> impl IntoResponse {
    let families = context.registry.gather();
    let text = TextEncoder::new()
        .encode_to_string(&families)
        .unwrap_or_default();
    text.with_content_type(prometheus::TEXT_FORMAT)
}

#[handler]
fn health() -> &'static str {
    "ok\n"
}

#[handler]
fn ready(Data(context): Data<&Context>) -> (StatusCode, &'static str) {
    let version = context.configuration.borrow().version;
    match version {
        _ if context.shutdown.is_leaving() => (StatusCode::SERVICE_UNAVAILABLE, "leaving\n"),
        0 => (StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n"),
        _ => (StatusCode::OK, "ready\n"),
    }
}
