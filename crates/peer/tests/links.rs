//! Links over real sockets: who gets in, what ends a link, what replaces it.

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
/// Long enough that a busy machine does not end a healthy link.
const SILENCE_LONG: Duration = Duration::from_secs(60);
const SILENCE_SHORT: Duration = Duration::from_millis(400);

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

    async fn until_refused(&self, kind: &str) {
        while self.refused(kind) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

async fn up<M>(inbox: &mut mpsc::Receiver<Event<M>>) -> (link::Key, Arc<Identity>) {
    loop {
        match inbox.recv().await.expect("the hub lives") {
            Event::Up { link, peer, .. } => return (link, peer),
            Event::Down { .. } | Event::Messages { .. } | Event::Summary { .. } => {}
        }
    }
}

async fn down<M>(inbox: &mut mpsc::Receiver<Event<M>>) -> Reason {
    loop {
        match inbox.recv().await.expect("the hub lives") {
            Event::Down { reason, .. } => return reason,
            Event::Messages { .. } | Event::Summary { .. } | Event::Up { .. } => {}
        }
    }
}

/// Forwards to `target`; when told, the connections it then has go silent for
/// good while new ones work.
async fn forgetful(target: SocketAddr) -> (SocketAddr, watch::Sender<u64>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let forgotten = watch::Sender::new(0_u64);
    let told = forgotten.subscribe();
    tokio::spawn(async move {
        let mut number = 0;
        while let Ok((near, _)) = listener.accept().await {
            number += 1;
            let far = TcpStream::connect(target).await.unwrap();
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            tokio::spawn(pump(near_read, far_write, told.clone(), number));
            tokio::spawn(pump(far_read, near_write, told.clone(), number));
        }
    });
    (address, forgotten)
}

async fn pump(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    forgotten: watch::Receiver<u64>,
    number: u64,
) {
    let mut bytes = vec![0; 16 << 10];
    loop {
        let length = from.read(&mut bytes).await.unwrap_or(0);
        if length == 0 {
            // What lost track of the connection passes no end on either.
            if *forgotten.borrow() >= number {
                std::future::pending::<()>().await;
            }
            return;
        }
        if *forgotten.borrow() < number && to.write_all(&bytes[..length]).await.is_err() {
            return;
        }
    }
}

#[tokio::test]
async fn both_ends_learn_who_the_other_is() {
    let mut near = Process::open("near", SECRET, SILENCE_LONG).await;
    let mut far = Process::open("far", SECRET, SILENCE_LONG).await;
    near.hub.dial("far".into(), far.address());
    let (_, peer) = up(&mut near.inbox.calls).await;
    assert_eq!(peer.host.as_str(), "far");
    let (_, peer) = up(&mut far.inbox.calls).await;
    assert_eq!(peer.host.as_str(), "near");
    assert_eq!(peer.address, near.address());
}

#[tokio::test]
async fn a_summary_reaches_every_part_of_the_peer() {
    let near = Process::open("near", SECRET, SILENCE_LONG).await;
    let mut far = Process::open("far", SECRET, SILENCE_LONG).await;
    near.hub.dial("far".into(), far.address());
    near.hub.update_summary(|summary| summary.leaving = true);
    for part in ["calls", "limits"] {
        let leaving = match part {
            "calls" => leaving(&mut far.inbox.calls).await,
            _ => leaving(&mut far.inbox.limits).await,
        };
        assert!(leaving, "{part}");
    }
}

async fn leaving<M>(inbox: &mut mpsc::Receiver<Event<M>>) -> bool {
    loop {
        match inbox.recv().await.expect("the hub lives") {
            Event::Summary { summary, .. } if summary.leaving => return true,
            Event::Down { .. } => return false,
            Event::Messages { .. } | Event::Summary { .. } | Event::Up { .. } => {}
        }
    }
}

#[tokio::test]
async fn a_process_with_another_key_is_refused_and_counted() {
    let near = Process::open("near", "another fleet's secret", SILENCE_LONG).await;
    let far = Process::open("far", SECRET, SILENCE_LONG).await;
    near.hub.dial("far".into(), far.address());
    far.until_refused("key").await;
    near.until_refused("key").await;
}

#[tokio::test]
async fn a_host_that_is_not_the_expected_one_is_left_alone() {
    let near = Process::open("near", SECRET, SILENCE_LONG).await;
    let far = Process::open("far", SECRET, SILENCE_LONG).await;
    near.hub.dial("replaced".into(), far.address());
    near.until_refused("stranger").await;
}

/// What a foreign process may send first.
struct Foreign {
    name: &'static str,
    bytes: &'static [u8],
    kind: &'static str,
}

const FOREIGN: &[Foreign] = &[
    Foreign {
        name: "a plain HTTP request",
        bytes: b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
        kind: "socket",
    },
    Foreign {
        name: "no HTTP at all",
        bytes: b"\x00\x01\x02\x03\r\n\r\n",
        kind: "socket",
    },
    Foreign {
        name: "a client that never speaks",
        bytes: b"",
        kind: "slow",
    },
];

#[tokio::test]
async fn foreign_bytes_are_refused_and_disturb_nobody() {
    for foreign in FOREIGN {
        let mut far = Process::open("far", SECRET, SILENCE_LONG).await;
        let mut stream = TcpStream::connect(far.address()).await.unwrap();
        stream.write_all(foreign.bytes).await.unwrap();
        far.until_refused(foreign.kind).await;
        let near = Process::open("near", SECRET, SILENCE_LONG).await;
        near.hub.dial("far".into(), far.address());
        let (_, peer) = up(&mut far.inbox.calls).await;
        assert_eq!(peer.host.as_str(), "near", "{}", foreign.name);
    }
}

#[tokio::test]
async fn a_greeting_that_is_too_long_or_not_cbor_is_refused() {
    for (length, kind) in [(1 << 20, "socket"), (16, "decode")] {
        let far = Process::open("far", SECRET, SILENCE_LONG).await;
        let url = format!("ws://{}/", far.address());
        let (mut socket, _) = tokio_tungstenite::connect_async(url).await.unwrap();
        let bytes = vec![0xff; length];
        let _ = socket.send(Message::Binary(bytes.into())).await;
        far.until_refused(kind).await;
    }
}

#[tokio::test]
async fn a_link_that_goes_silent_is_replaced_while_new_ones_work() {
    let mut near = Process::open("near", SECRET, SILENCE_SHORT).await;
    let mut far = Process::open("far", SECRET, SILENCE_SHORT).await;
    let (relay, forgotten) = forgetful(far.address()).await;
    near.hub.dial("far".into(), relay);
    let (first, _) = up(&mut near.inbox.calls).await;
    up(&mut far.inbox.calls).await;
    forgotten.send_replace(1);
    assert_eq!(down(&mut near.inbox.calls).await, Reason::TimedOut);
    let (second, _) = up(&mut near.inbox.calls).await;
    assert_ne!(first, second);
    assert!(near.hub.peer(first).is_none());
    assert!(near.hub.peer(second).is_some());
    up(&mut far.inbox.calls).await;
}

#[tokio::test]
async fn a_forgotten_host_is_told_and_not_dialed_again() {
    let mut near = Process::open("near", SECRET, SILENCE_LONG).await;
    let mut far = Process::open("far", SECRET, SILENCE_LONG).await;
    near.hub.dial("far".into(), far.address());
    up(&mut near.inbox.calls).await;
    near.hub.stop_dialing(&"far".into());
    assert_eq!(down(&mut near.inbox.calls).await, Reason::ClosedLocally);
    assert_eq!(down(&mut far.inbox.calls).await, Reason::Closed);
    assert!(near.hub.dialed().is_empty());
}

#[tokio::test]
async fn a_peer_that_restarts_is_dialed_again() {
    let mut near = Process::open("near", SECRET, SILENCE_LONG).await;
    let far = Process::open("far", SECRET, SILENCE_LONG).await;
    let (relay, _forgotten) = forgetful(far.address()).await;
    near.hub.dial("far".into(), relay);
    let (first, _) = up(&mut near.inbox.calls).await;
    near.hub.close_link(first);
    assert_eq!(down(&mut near.inbox.calls).await, Reason::ClosedLocally);
    let (second, _) = up(&mut near.inbox.calls).await;
    assert_ne!(first, second);
}

#[tokio::test]
async fn a_shutdown_closes_every_link() {
    let near = Process::open("near", SECRET, SILENCE_LONG).await;
    let mut far = Process::open("far", SECRET, SILENCE_LONG).await;
    near.hub.dial("far".into(), far.address());
    up(&mut far.inbox.calls).await;
    near.hub.shutdown().await;
    assert_eq!(down(&mut far.inbox.calls).await, Reason::Closed);
}
