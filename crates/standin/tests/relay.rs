//! The links between regions: forwarding, counting and each fault.

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

const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

struct Bench {
    client: Client,
    admin: SocketAddr,
    /// The echoing host as reached from the other region.
    near: SocketAddr,
}

async fn open() -> Bench {
    let admin = relay::spawn(ANY).await.expect("relay");
    let echo = TcpListener::bind(ANY).await.expect("echo");
    let target = echo.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = echo.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                let _ = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    let client = Client::new();
    let route = json!({"from": "a", "to": "b", "host": "h", "target": target});
    let answer = client.post(admin, "/admin/routes", &route).await;
    let near = answer.expect("route").json()["address"].clone();
    Bench {
        client,
        admin,
        near: serde_json::from_value(near).expect("address"),
    }
}

impl Bench {
    async fn post(&self, path: &str, body: Value) {
        let answer = self.client.post(self.admin, path, &body).await;
        assert_eq!(answer.expect("admin").status, 200);
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.near).await.expect("connect")
    }
}

async fn echo(stream: &mut TcpStream, text: &[u8]) -> Vec<u8> {
    stream.write_all(text).await.expect("write");
    let mut back = vec![0; text.len()];
    stream.read_exact(&mut back).await.expect("read");
    back
}

#[tokio::test]
async fn bytes_pass_both_ways_and_are_counted() {
    let bench = open().await;
    let mut stream = bench.connect().await;
    let text = vec![7; 100_000];
    let (mut from, mut to) = stream.split();
    let mut back = vec![0; text.len()];
    let (sent, read) = tokio::join!(to.write_all(&text), from.read_exact(&mut back));
    assert!(sent.is_ok() && read.is_ok() && back == text);
    let counts = bench.client.get(bench.admin, "/admin/links").await;
    let counts: Vec<relay::LinkTraffic> =
        serde_json::from_value(counts.expect("links").json()).expect("counts");
    let bytes: Vec<u64> = counts.iter().map(|count| count.bytes).collect();
    assert_eq!(bytes, [100_000, 100_000]);
}

#[tokio::test]
async fn an_old_connection_falls_silent_while_a_new_one_works() {
    let bench = open().await;
    let mut old = bench.connect().await;
    assert_eq!(echo(&mut old, b"before").await, b"before");
    bench
        .post("/admin/silence", json!({"from": "a", "to": "b"}))
        .await;
    old.write_all(b"lost").await.expect("the socket stays open");
    let mut new = bench.connect().await;
    assert_eq!(echo(&mut new, b"after").await, b"after");
    let nothing = old.try_read(&mut [0; 8]);
    assert_eq!(
        nothing.expect_err("silent").kind(),
        std::io::ErrorKind::WouldBlock
    );
}

#[tokio::test]
async fn a_cut_link_goes_on_where_it_stopped() {
    let bench = open().await;
    let mut stream = bench.connect().await;
    assert_eq!(echo(&mut stream, b"1").await, b"1");
    bench
        .post("/admin/links", json!({"from": "a", "to": "b", "cut": true}))
        .await;
    stream.write_all(b"2").await.expect("write");
    bench
        .post("/admin/links", json!({"from": "a", "to": "b"}))
        .await;
    let mut back = [0; 1];
    stream.read_exact(&mut back).await.expect("read");
    assert_eq!(&back, b"2");
}

#[tokio::test]
async fn connections_are_closed_and_bytes_corrupted_on_demand() {
    let bench = open().await;
    let mut stream = bench.connect().await;
    assert_eq!(echo(&mut stream, b"abc").await, b"abc");
    let corrupt = json!({"from": "a", "to": "b", "corrupt_per_myriad": 10_000});
    bench.post("/admin/links", corrupt).await;
    assert_eq!(echo(&mut stream, b"abc").await, b"a7c");
    bench
        .post("/admin/close", json!({"from": "a", "to": "b"}))
        .await;
    let end = stream.read(&mut [0; 8]).await;
    assert!(matches!(end, Ok(0) | Err(_)), "{end:?}");
}
