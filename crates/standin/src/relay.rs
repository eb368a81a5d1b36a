//! The links between regions: a TCP relay that limits the rate of each ordered
//! pair of regions, and can delay, corrupt, cut, silence or close its
//! connections.

use std::collections::BTreeMap;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::http::Handler;
use crate::http::Refusal;
use crate::http::Reply;
use crate::http::Request;
use crate::http::Response;
use crate::http::error;
use crate::http::json;
use crate::http::read_json;
use crate::rate_limit::BYTES_PER_MBIT;
use crate::rate_limit::RateLimiter;

mod forward;

/// Kernel receive buffer of each relayed socket; small, to keep queues short.
const SOCKET_BUFFER_BYTES: u32 = 32 << 10;
/// Connections that wait to be accepted, per listener.
const BACKLOG: u32 = 128;

/// An ordered pair of regions: from, to.
type RegionPair = (SmolStr, SmolStr);

/// The settings of one ordered pair of regions, changed by `POST /admin/links`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The region that sends.
    pub from: SmolStr,
    /// The region that receives.
    pub to: SmolStr,
    /// The rate over all connections, in megabits a second; 0 for no limit.
    #[serde(default)]
    pub mbit: f64,
    /// The one-way delay, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
    /// Stops forwarding; bytes and connections wait until the link is restored.
    #[serde(default)]
    pub cut: bool,
    /// Segments in ten thousand that are corrupted.
    #[serde(default)]
    pub corrupt_per_myriad: u32,
}

/// The traffic of one ordered pair of regions, read by `GET /admin/links`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LinkTraffic {
    /// The region that sends.
    pub from: SmolStr,
    /// The region that receives.
    pub to: SmolStr,
    /// Bytes delivered in this direction.
    pub bytes: u64,
    /// Connections opened from `from` to `to`.
    pub connections: u64,
}

/// A route to a host from another region, added or changed by
/// `POST /admin/routes`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Route {
    /// The region of the callers.
    pub from: SmolStr,
    /// The region of the host.
    pub to: SmolStr,
    /// The name of the host.
    pub host: SmolStr,
    /// The address that the host listens on.
    pub target: SocketAddr,
}

/// The state of one ordered pair of regions.
#[derive(Debug)]
struct Link {
    rate_limiter: RateLimiter,
    state: watch::Sender<State>,
    bytes: AtomicU64,
    segments: AtomicU64,
}

#[derive(Clone, Debug, Default)]
struct State {
    settings: Settings,
    /// Connections with a lower number have stopped forwarding for good and
    /// stay open.
    silent_below: u64,
    /// Connections with a lower number are closed.
    closed_below: u64,
}

/// The links, and a listener for each route.
#[derive(Debug, Default)]
struct Relay {
    links: Mutex<BTreeMap<RegionPair, Arc<Link>>>,
    routes: Mutex<BTreeMap<(SmolStr, SmolStr), Listener>>,
    connections: AtomicU64,
    connections_by_pair: Mutex<BTreeMap<RegionPair, u64>>,
}

#[derive(Debug)]
struct Listener {
    address: SocketAddr,
    target: watch::Sender<SocketAddr>,
}

/// Starts a relay without routes and returns the address of its `/admin` paths.
///
/// # Errors
///
/// The I/O error if binding the address fails.
pub async fn spawn(listen: SocketAddr) -> io::Result<SocketAddr> {
    crate::http::spawn(listen, Arc::new(Relay::default())).await
}

impl Handler for Relay {
    async fn handle(self: Arc<Self>, request: Request) -> Reply {
        self.admin(request).await.into()
    }
}

impl Relay {
    async fn admin(self: Arc<Self>, request: Request) -> Result<Response, Refusal> {
        match (request.method().clone(), request.uri().path()) {
            (Method::POST, "/admin/routes") => {
                let route: Route = read_json(request).await?;
                match self.route(route).await {
                    Ok(address) => Ok(json(StatusCode::OK, &json!({ "address": address }))),
                    Err(e) => Err(Refusal::new(error(
                        StatusCode::INTERNAL_SERVER_ERROR,
                        &e.to_string(),
                    ))),
                }
            }
            (Method::POST, "/admin/links") => {
                let settings: Settings = read_json(request).await?;
                let link = self.link(&settings.from, &settings.to);
                link.rate_limiter.set_rate(settings.mbit * BYTES_PER_MBIT);
                link.state.send_modify(|state| state.settings = settings);
                Ok(json(StatusCode::OK, &json!({})))
            }
            (Method::POST, "/admin/silence") => {
                let id: LinkId = read_json(request).await?;
                let next = self.connections.load(Ordering::Relaxed) + 1;
                let link = self.link(&id.from, &id.to);
                link.state.send_modify(|state| state.silent_below = next);
                Ok(json(StatusCode::OK, &json!({})))
            }
            (Method::POST, "/admin/close") => {
                let id: LinkId = read_json(request).await?;
                let next = self.connections.load(Ordering::Relaxed) + 1;
                let link = self.link(&id.from, &id.to);
                link.state.send_modify(|state| state.closed_below = next);
                Ok(json(StatusCode::OK, &json!({})))
            }
            (Method::GET, "/admin/links") => Ok(json(StatusCode::OK, &self.counts())),
            _ => Err(Refusal::new(error(StatusCode::NOT_FOUND, "path"))),
        }
    }

    fn counts(&self) -> Vec<LinkTraffic> {
        let connections_by_pair = self.connections_by_pair.lock();
        let links = self.links.lock();
        links
            .iter()
            .map(|(pair, link)| LinkTraffic {
                from: pair.0.clone(),
                to: pair.1.clone(),
                bytes: link.bytes.load(Ordering::Relaxed),
                connections: connections_by_pair.get(pair).copied().unwrap_or(0),
            })
            .collect()
    }

    fn link(&self, from: &SmolStr, to: &SmolStr) -> Arc<Link> {
        let mut links = self.links.lock();
        let link = links
            .entry((from.clone(), to.clone()))
            .or_insert_with(|| Arc::new(Link::new(from, to)));
        link.clone()
    }

    /// Opens a listener for the route, or changes the target of the existing
    /// one.
    async fn route(self: Arc<Self>, route: Route) -> io::Result<SocketAddr> {
        let key = (route.from.clone(), route.host.clone());
        if let Some(listener) = self.routes.lock().get(&key) {
            listener.target.send_replace(route.target);
            return Ok(listener.address);
        }
        let socket = TcpSocket::new_v4()?;
        // Accepted sockets inherit the buffer size.
        socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
        socket.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let listener = socket.listen(BACKLOG)?;
        let address = listener.local_addr()?;
        let target = watch::Sender::new(route.target);
        let receiver = target.subscribe();
        self.routes.lock().insert(key, Listener { address, target });
        tokio::spawn(self.accept(listener, route, receiver));
        Ok(address)
    }

    async fn accept(
        self: Arc<Self>,
        listener: TcpListener,
        route: Route,
        target: watch::Receiver<SocketAddr>,
    ) {
        let outbound = self.link(&route.from, &route.to);
        let inbound = self.link(&route.to, &route.from);
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            let number = self.connections.fetch_add(1, Ordering::Relaxed) + 1;
            let pair = (route.from.clone(), route.to.clone());
            *self.connections_by_pair.lock().entry(pair).or_default() += 1;
            let target = *target.borrow();
            let (outbound, inbound) = (outbound.clone(), inbound.clone());
            tokio::spawn(async move {
                // A connection that fails has ended like any other.
                let _ = relay(stream, target, outbound, inbound, number).await;
            });
        }
    }
}

#[derive(Debug, Deserialize)]
struct LinkId {
    from: SmolStr,
    to: SmolStr,
}

impl Link {
    fn new(from: &SmolStr, to: &SmolStr) -> Link {
        let settings = Settings {
            from: from.clone(),
            to: to.clone(),
            ..Settings::default()
        };
        let state = State {
            settings,
            ..State::default()
        };
        Link {
            rate_limiter: RateLimiter::new(0.0),
            state: watch::Sender::new(state),
            bytes: AtomicU64::new(0),
            segments: AtomicU64::new(0),
        }
    }
}

async fn relay(
    client_stream: TcpStream,
    target: SocketAddr,
    outbound: Arc<Link>,
    inbound: Arc<Link>,
    number: u64,
) -> io::Result<()> {
    outbound.wait_while_cut().await;
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
    let host_stream = socket.connect(target).await?;
    client_stream.set_nodelay(true)?;
    host_stream.set_nodelay(true)?;
    let (client_read, client_write) = client_stream.into_split();
    let (host_read, host_write) = host_stream.into_split();
    tokio::select! {
        () = outbound.wait_until_closed(number) => {}
        () = inbound.wait_until_closed(number) => {}
        _ = async {
            tokio::join!(
                forward::run(outbound.clone(), number, client_read, host_write),
                forward::run(inbound.clone(), number, host_read, client_write),
            )
        } => {}
    }
    Ok(())
}

impl Link {
    /// Waits until the link is no longer cut.
    async fn wait_while_cut(&self) {
        let mut state = self.state.subscribe();
        // Does not fail: the link owns the sender.
        let _ = state.wait_for(|state| !state.settings.cut).await;
    }

    /// Waits for a request to close connections up to this number.
    async fn wait_until_closed(&self, number: u64) {
        let mut state = self.state.subscribe();
        let _ = state.wait_for(|state| number < state.closed_below).await;
    }

    fn is_silent(&self, number: u64) -> bool {
        number < self.state.borrow().silent_below
    }
}
