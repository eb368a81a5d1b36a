//! Links over TCP sockets: authentication, the end of a link and reconnects.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::SinkExt;
use peer::FleetKey;
use peer::hub;
use peer::hub::Hub;
use peer::hub::Inbox;
use peer::link;
use peer::link::Event;
use peer::link::Reason;
use prometheus::Registry;
use snipewinch::host::Identity;
use snipewinch::host::Role;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_tungstenite::tungstenite::Message;

const SECRET: &str = "the fleet's own secret";
/// Long enough that a healthy link does not time out on an overloaded host.
const IDLE_TIMEOUT_LONG: Duration = Duration::from_secs(60);
const IDLE_TIMEOUT_SHORT: Duration = Duration::from_millis(400);

struct Process {
    hub: Hub,
    inbox: Inbox,
    registry: Registry,
}

impl Process {
    async fn open(host: &str, secret: &str, idle_timeout: Duration) -> Process {
        let any = "127.0.0.1:0".parse().unwrap();
        let config = hub::Config {
            listen: any,
            identity: Identity {
                host: host.into(),
                incarnation: 1,
                role: Role::Agent,
                zone: "zone".into(),
                region: "region".into(),
                service: None,
                address: any,
            },
            key: FleetKey::new(secret),
            heartbeat_interval: Duration::from_millis(50),
            idle_timeout,
        };
        let registry = Registry::new();
        let (hub, inbox) = Hub::bind(config, &registry).await.unwrap();
        Process {
            hub,
            inbox,
            registry,
        }
    }

    fn address(&self) -> SocketAddr {
        self.hub.identity().address
    }

    fn refused(&self, kind: &str) -> u64 {
        let families = self.registry.gather();
        families
            .iter()
            .filter(|family| family.name() == "snipewinch_peer_refused_total")
            .flat_map(|family| family.get_metric())
            .filter(|metric| metric.get_label().iter().any(|label| label.value() == kind))
            .map(|metric| metric.get_counter().value() as u64)
            .sum()
    }

    async fn wait_refused(&self, kind: &str) {
        while self.refused(kind) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

async fn wait_up<M>(inbox: &mut mpsc::Receiver<Event<M>>) -> (link::Key, Arc<Identity>) {
    loop {
        match inbox.recv().await.expect("the hub is running") {
            Event::Up { link, peer, .. } => return (link, peer),
            Event::Down { .. } | Event::Messages { .. } | Event::Summary { .. } => {}
        }
    }
}

async fn wait_down<M>(inbox: &mut mpsc::Receiver<Event<M>>) -> Reason {
    loop {
        match inbox.recv().await.expect("the hub is running") {
            Event::Down { reason, .. } => return reason,
            Event::Messages { .. } | Event::Summary { .. } | Event::Up { .. } => {}
        }
    }
}

/// Starts a proxy to `target` and returns its address. Setting the sender to n
/// makes the first n connections drop all bytes and stay open; later
/// connections are forwarded.
async fn blackhole_proxy(target: SocketAddr) -> (SocketAddr, watch::Sender<u64>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let blackholed = watch::Sender::new(0_u64);
    let receiver = blackholed.subscribe();
    tokio::spawn(async move {
        let mut number = 0;
        while let Ok((near, _)) = listener.accept().await {
            number += 1;
            let far = TcpStream::connect(target).await.unwrap();
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            tokio::spawn(forward(near_read, far_write, receiver.clone(), number));
            tokio::spawn(forward(far_read, near_write, receiver.clone(), number));
        }
    });
    (address, blackholed)
}

async fn forward(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    blackholed: watch::Receiver<u64>,
    number: u64,
) {
    let mut bytes = vec![0; 16 << 10];
    loop {
        let length = from.read(&mut bytes).await.unwrap_or(0);
        if length == 0 {
            // A network device that has lost the state of the connection does
            // not forward its close either.
            if *blackholed.borrow() >= number {
                std::future::pending::<()>().await;
            }
            return;
        }
        if *blackholed.borrow() < number && to.write_all(&bytes[..length]).await.is_err() {
            return;
        }
    }
}

#[tokio::test]
async fn both_ends_learn_the_identity_of_the_peer() {
    let mut near = Process::open("near", SECRET, IDLE_TIMEOUT_LONG).await;
    let mut far = Process::open("far", SECRET, IDLE_TIMEOUT_LONG).await;
    near.hub.dial("far".into(), far.address());
    let (_, peer) = wait_up(&mut near.inbox.calls).await;
    assert_eq!(peer.host.as_str(), "far");
    let (_, peer) = wait_up(&mut far.inbox.calls).await;
    assert_eq!(peer.host.as_str(), "near");
    assert_eq!(peer.address, near.address());
}

#[tokio::test]
async fn a_summary_reaches_every_module_of_the_peer() {
    let near = Process::open("near", SECRET, IDLE_TIMEOUT_LONG).await;
    let mut far = Process::open("far", SECRET, IDLE_TIMEOUT_LONG).await;
    near.hub.dial("far".into(), far.address());
    near.hub.update_summary(|summary| summary.leaving = true);
    for module in ["calls", "limits"] {
        let leaving = match module {
            "calls" => wait_leaving(&mut far.inbox.calls).await,
            _ => wait_leaving(&mut far.inbox.limits).await,
        };
        assert!(leaving, "{module}");
    }
}

async fn wait_leaving<M>(inbox: &mut mpsc::Receiver<Event<M>>) -> bool {
    loop {
        match inbox.recv().await.expect("the hub is running") {
            Event::Summary { summary, .. } if summary.leaving => return true,
            Event::Down { .. } => return false,
            Event::Messages { .. } | Event::Summary { .. } | Event::Up { .. } => {}
        }
    }
}

#[tokio::test]
async fn a_process_with_another_key_is_refused_and_counted() {
    let near = Process::open("near", "another fleet's secret", IDLE_TIMEOUT_LONG).await;
    let far = Process::open("far", SECRET, IDLE_TIMEOUT_LONG).await;
    near.hub.dial("far".into(), far.address());
    far.wait_refused("key").await;
    near.wait_refused("key").await;
}

#[tokio::test]
async fn an_unexpected_host_is_refused() {
    let near = Process::open("near", SECRET, IDLE_TIMEOUT_LONG).await;
    let far = Process::open("far", SECRET, IDLE_TIMEOUT_LONG).await;
    near.hub.dial("replaced".into(), far.address());
    near.wait_refused("stranger").await;
}

/// What a client that is not a peer sends first, and the kind of error that is
/// counted.
struct InvalidClient {
    name: &'static str,
    bytes: &'static [u8],
    kind: &'static str,
}

const INVALID_CLIENTS: &[InvalidClient] = &[
    InvalidClient {
        name: "a plain HTTP request",
        bytes: b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
        kind: "socket",
    },
    InvalidClient {
        name: "no HTTP at all",
        bytes: b"\x00\x01\x02\x03\r\n\r\n",
        kind: "socket",
    },
    InvalidClient {
        name: "a client that sends nothing",
        bytes: b"",
        kind: "slow",
    },
];

#[tokio::test]
async fn invalid_clients_are_refused_without_effect_on_peers() {
    for client in INVALID_CLIENTS {
        let mut far = Process::open("far", SECRET, IDLE_TIMEOUT_LONG).await;
        let mut stream = TcpStream::connect(far.address()).await.unwrap();
        stream.write_all(client.bytes).await.unwrap();
        far.wait_refused(client.kind).await;
        let near = Process::open("near", SECRET, IDLE_TIMEOUT_LONG).await;
        near.hub.dial("far".into(), far.address());
        let (_, peer) = wait_up(&mut far.inbox.calls).await;
        assert_eq!(peer.host.as_str(), "near", "{}", client.name);
    }
}

#[tokio::test]
async fn a_hello_that_is_too_long_or_not_cbor_is_refused() {
    for (length, kind) in [(1 << 20, "socket"), (16, "decode")] {
        let far = Process::open("far", SECRET, IDLE_TIMEOUT_LONG).await;
        let url = format!("ws://{}/", far.address());
        let (mut socket, _) = tokio_tungstenite::connect_async(url).await.unwrap();
        let bytes = vec![0xff; length];
        let _ = socket.send(Message::Binary(bytes.into())).await;
        far.wait_refused(kind).await;
    }
}

#[tokio::test]
async fn a_black_holed_link_times_out_and_is_replaced() {
    let mut near = Process::open("near", SECRET, IDLE_TIMEOUT_SHORT).await;
    let mut far = Process::open("far", SECRET, IDLE_TIMEOUT_SHORT).await;
    let (proxy, blackholed) = blackhole_proxy(far.address()).await;
    near.hub.dial("far".into(), proxy);
    let (first, _) = wait_up(&mut near.inbox.calls).await;
    wait_up(&mut far.inbox.calls).await;
    blackholed.send_replace(1);
    assert_eq!(wait_down(&mut near.inbox.calls).await, Reason::TimedOut);
    let (second, _) = wait_up(&mut near.inbox.calls).await;
    assert_ne!(first, second);
    assert!(near.hub.peer(first).is_none());
    assert!(near.hub.peer(second).is_some());
    wait_up(&mut far.inbox.calls).await;
}

#[tokio::test]
async fn stop_dialing_closes_the_link_and_does_not_dial_again() {
    let mut near = Process::open("near", SECRET, IDLE_TIMEOUT_LONG).await;
    let mut far = Process::open("far", SECRET, IDLE_TIMEOUT_LONG).await;
    near.hub.dial("far".into(), far.address());
    wait_up(&mut near.inbox.calls).await;
    near.hub.stop_dialing(&"far".into());
    assert_eq!(
        wait_down(&mut near.inbox.calls).await,
        Reason::ClosedLocally
    );
    assert_eq!(wait_down(&mut far.inbox.calls).await, Reason::Closed);
    assert!(near.hub.dialed().is_empty());
}

#[tokio::test]
async fn a_locally_closed_link_is_dialed_again() {
    let mut near = Process::open("near", SECRET, IDLE_TIMEOUT_LONG).await;
    let far = Process::open("far", SECRET, IDLE_TIMEOUT_LONG).await;
    let (proxy, _blackholed) = blackhole_proxy(far.address()).await;
    near.hub.dial("far".into(), proxy);
    let (first, _) = wait_up(&mut near.inbox.calls).await;
    near.hub.close_link(first);
    assert_eq!(
        wait_down(&mut near.inbox.calls).await,
        Reason::ClosedLocally
    );
    let (second, _) = wait_up(&mut near.inbox.calls).await;
    assert_ne!(first, second);
}

#[tokio::test]
async fn a_shutdown_closes_every_link() {
    let near = Process::open("near", SECRET, IDLE_TIMEOUT_LONG).await;
    let mut far = Process::open("far", SECRET, IDLE_TIMEOUT_LONG).await;
    near.hub.dial("far".into(), far.address());
    wait_up(&mut far.inbox.calls).await;
    near.hub.shutdown().await;
    assert_eq!(wait_down(&mut far.inbox.calls).await, Reason::Closed);
}
