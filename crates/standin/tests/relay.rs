//! Tests of the relay: forwarding, counting and injected faults.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;
use standin::client::Client;
use standin::relay;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

struct Setup {
    client: Client,
    admin: SocketAddr,
    /// The relay's address for the echo server.
    relay_address: SocketAddr,
}

async fn start() -> Setup {
    let admin = relay::spawn(ANY_PORT).await.expect("relay");
    let echo = TcpListener::bind(ANY_PORT).await.expect("echo");
    let target = echo.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = echo.accept().await {
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.split();
                let _ = tokio::io::copy(&mut reader, &mut writer).await;
            });
        }
    });
    let client = Client::new();
    let route = json!({"from": "a", "to": "b", "host": "h", "target": target});
    let response = client.post(admin, "/admin/routes", &route).await;
    let relay_address = response.expect("route").json()["address"].clone();
    Setup {
        client,
        admin,
        relay_address: serde_json::from_value(relay_address).expect("address"),
    }
}

impl Setup {
    async fn post(&self, path: &str, body: Value) {
        let response = self.client.post(self.admin, path, &body).await;
        assert_eq!(response.expect("admin").status, 200);
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.relay_address)
            .await
            .expect("connect")
    }
}

async fn echo(stream: &mut TcpStream, text: &[u8]) -> Vec<u8> {
    stream.write_all(text).await.expect("write");
    let mut back = vec![0; text.len()];
    stream.read_exact(&mut back).await.expect("read");
    back
}

#[tokio::test]
async fn relay_forwards_and_counts_bytes_in_both_directions() {
    let setup = start().await;
    let mut stream = setup.connect().await;
    let text = vec![7; 100_000];
    let (mut reader, mut writer) = stream.split();
    let mut back = vec![0; text.len()];
    let (sent, read) = tokio::join!(writer.write_all(&text), reader.read_exact(&mut back));
    assert!(sent.is_ok() && read.is_ok() && back == text);
    let counts = setup.client.get(setup.admin, "/admin/links").await;
    let counts: Vec<relay::LinkTraffic> =
        serde_json::from_value(counts.expect("links").json()).expect("counts");
    let bytes: Vec<u64> = counts.iter().map(|count| count.bytes).collect();
    assert_eq!(bytes, [100_000, 100_000]);
}

#[tokio::test]
async fn silence_stops_open_connections_but_not_new_ones() {
    let setup = start().await;
    let mut old = setup.connect().await;
    assert_eq!(echo(&mut old, b"before").await, b"before");
    setup
        .post("/admin/silence", json!({"from": "a", "to": "b"}))
        .await;
    old.write_all(b"lost")
        .await
        .expect("a silent connection stays open");
    let mut new = setup.connect().await;
    assert_eq!(echo(&mut new, b"after").await, b"after");
    let silent_read = old.try_read(&mut [0; 8]);
    assert_eq!(
        silent_read.expect_err("silent").kind(),
        std::io::ErrorKind::WouldBlock
    );
}

#[tokio::test]
async fn restored_link_delivers_what_was_sent_while_it_was_cut() {
    let setup = start().await;
    let mut stream = setup.connect().await;
    assert_eq!(echo(&mut stream, b"1").await, b"1");
    setup
        .post("/admin/links", json!({"from": "a", "to": "b", "cut": true}))
        .await;
    stream.write_all(b"2").await.expect("write");
    setup
        .post("/admin/links", json!({"from": "a", "to": "b"}))
        .await;
    let mut back = [0; 1];
    stream.read_exact(&mut back).await.expect("read");
    assert_eq!(&back, b"2");
}

#[tokio::test]
async fn admin_requests_corrupt_bytes_and_close_connections() {
    let setup = start().await;
    let mut stream = setup.connect().await;
    assert_eq!(echo(&mut stream, b"abc").await, b"abc");
    let corrupt = json!({"from": "a", "to": "b", "corrupt_per_myriad": 10_000});
    setup.post("/admin/links", corrupt).await;
    assert_eq!(echo(&mut stream, b"abc").await, b"a7c");
    setup
        .post("/admin/close", json!({"from": "a", "to": "b"}))
        .await;
    let end = stream.read(&mut [0; 8]).await;
    assert!(matches!(end, Ok(0) | Err(_)), "{end:?}");
}
