//! The links between regions: a relay that forwards TCP, paces each ordered
//! pair of regions and can be silent, corrupt or cut.

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

/// Kernel buffer of one relayed socket, so that queues stay short.
const SOCKET_BUFFER_BYTES: u32 = 32 << 10;
/// Connections that one listener lets wait.
const BACKLOG: u32 = 128;

/// An ordered pair of regions.
type Pair = (SmolStr, SmolStr);

/// How one ordered pair of regions behaves, changed by `POST /admin/links`.
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
    /// The delay, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
    /// Nothing passes; what waits goes on when the link is back.
    #[serde(default)]
    pub cut: bool,
    /// Pieces in ten thousand that are corrupted.
    #[serde(default)]
    pub corrupt_per_myriad: u32,
}

/// What passed over one ordered pair of regions.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LinkTraffic {
    /// The region that sends.
    pub from: SmolStr,
    /// The region that receives.
    pub to: SmolStr,
    /// Bytes delivered.
    pub bytes: u64,
    /// Connections opened over the pair.
    pub connections: u64,
}

/// A host as reached from another region: `POST /admin/routes`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Route {
    /// The region that reaches for the host.
    pub from: SmolStr,
    /// The host's region.
    pub to: SmolStr,
    /// The host's name.
    pub host: SmolStr,
    /// Where the host really listens.
    pub target: SocketAddr,
}

/// One direction of one pair of regions.
#[derive(Debug)]
struct Link {
    rate_limiter: RateLimiter,
    state: watch::Sender<State>,
    bytes: AtomicU64,
    pieces: AtomicU64,
}

#[derive(Clone, Debug, Default)]
struct State {
    settings: Settings,
    /// Connections opened under a lower number are silent for good.
    silent_below: u64,
    /// Connections opened under a lower number are closed.
    closed_below: u64,
}

/// All links and the listeners that lead over them.
#[derive(Debug, Default)]
struct Relay {
    links: Mutex<BTreeMap<Pair, Arc<Link>>>,
    routes: Mutex<BTreeMap<(SmolStr, SmolStr), Listener>>,
    connections: AtomicU64,
    opened: Mutex<BTreeMap<Pair, u64>>,
}

#[derive(Debug)]
struct Listener {
    address: SocketAddr,
    target: watch::Sender<SocketAddr>,
}

/// Starts a relay without routes and returns where its administration listens.
///
/// # Errors
///
/// What the system says when the address can't be bound.
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
                    Err(why) => Err(Refusal::new(error(
                        StatusCode::INTERNAL_SERVER_ERROR,
                        &why.to_string(),
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
                let pair: Ends = read_json(request).await?;
                let next = self.connections.load(Ordering::Relaxed) + 1;
                let link = self.link(&pair.from, &pair.to);
                link.state.send_modify(|state| state.silent_below = next);
                Ok(json(StatusCode::OK, &json!({})))
            }
            (Method::POST, "/admin/close") => {
                let pair: Ends = read_json(request).await?;
                let next = self.connections.load(Ordering::Relaxed) + 1;
                let link = self.link(&pair.from, &pair.to);
                link.state.send_modify(|state| state.closed_below = next);
                Ok(json(StatusCode::OK, &json!({})))
            }
            (Method::GET, "/admin/links") => Ok(json(StatusCode::OK, &self.counts())),
            _ => Err(Refusal::new(error(StatusCode::NOT_FOUND, "path"))),
        }
    }

    fn counts(&self) -> Vec<LinkTraffic> {
        let opened = self.opened.lock();
        let links = self.links.lock();
        links
            .iter()
            .map(|(pair, link)| LinkTraffic {
                from: pair.0.clone(),
                to: pair.1.clone(),
                bytes: link.bytes.load(Ordering::Relaxed),
                connections: opened.get(pair).copied().unwrap_or(0),
            })
            .collect()
    }

    fn link(&self, from: &SmolStr, to: &SmolStr) -> Arc<Link> {
        let mut links = self.links.lock();
        let link = links
            .entry((from.clone(), to.clone()))
            .or_insert_with(|| Arc::new(Link::open(from, to)));
        link.clone()
    }

    /// Opens a listener for a host, or points the one it has elsewhere.
    async fn route(self: Arc<Self>, route: Route) -> io::Result<SocketAddr> {
        let key = (route.from.clone(), route.host.clone());
        if let Some(listener) = self.routes.lock().get(&key) {
            listener.target.send_replace(route.target);
            return Ok(listener.address);
        }
        let socket = TcpSocket::new_v4()?;
        // Accepted sockets inherit the buffer.
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
        let there = self.link(&route.from, &route.to);
        let back = self.link(&route.to, &route.from);
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            let number = self.connections.fetch_add(1, Ordering::Relaxed) + 1;
            let pair = (route.from.clone(), route.to.clone());
            *self.opened.lock().entry(pair).or_default() += 1;
            let target = *target.borrow();
            let (there, back) = (there.clone(), back.clone());
            tokio::spawn(async move {
                // An end that breaks off is an ordinary end of a connection.
                let _ = connect(stream, target, there, back, number).await;
            });
        }
    }
}

#[derive(Debug, Deserialize)]
struct Ends {
    from: SmolStr,
    to: SmolStr,
}

impl Link {
    fn open(from: &SmolStr, to: &SmolStr) -> Link {
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
            pieces: AtomicU64::new(0),
        }
    }
}

async fn connect(
    near: TcpStream,
    target: SocketAddr,
    there: Arc<Link>,
    back: Arc<Link>,
    number: u64,
) -> io::Result<()> {
    there.passable().await;
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
    let far = socket.connect(target).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::select! {
        () = there.closed(number) => {}
        () = back.closed(number) => {}
        _ = async {
            tokio::join!(
                forward::run(there.clone(), number, near_read, far_write),
                forward::run(back.clone(), number, far_read, near_write),
            )
        } => {}
    }
    Ok(())
}

impl Link {
    /// Waits while the link is cut.
    async fn passable(&self) {
        let mut state = self.state.subscribe();
        // The sender lives as long as the link does.
        let _ = state.wait_for(|state| !state.settings.cut).await;
    }

    /// Waits until connections as old as this one are closed.
    async fn closed(&self, number: u64) {
        let mut state = self.state.subscribe();
        let _ = state.wait_for(|state| number < state.closed_below).await;
    }

    fn silent(&self, number: u64) -> bool {
        number < self.state.borrow().silent_below
    }
}
