//! The client of the engine, against engines that do not answer.

use std::time::Duration;

use backend::Engine;
use backend::Server;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::sleep;
use tokio::time::timeout;

/// The longest time that a cancellation may take.
const END_TIMEOUT: Duration = Duration::from_secs(8);
const BYTE_INTERVAL: Duration = Duration::from_millis(50);

/// Starts an engine that answers a request with `start` and, if that is not
/// empty, sends bytes without end.
async fn endless_engine(start: &'static str) -> Engine {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 4096];
        assert!(stream.read(&mut request).await.unwrap() > 0);
        stream.write_all(start.as_bytes()).await.unwrap();
        if start.is_empty() {
            std::future::pending::<()>().await;
        }
        while stream.write_all(b" ").await.is_ok() {
            sleep(BYTE_INTERVAL).await;
        }
    });
    Engine::open(Server::open(&address))
}

#[tokio::test]
async fn a_cancellation_without_an_answer_does_not_hold_the_slot_of_its_call() {
    let cases = [
        ("silent", ""),
        ("endless head", "HTTP/1.1 200 OK\r\nx: "),
        ("endless body", "HTTP/1.1 200 OK\r\n\r\n"),
    ];
    for (name, start) in cases {
        let engine = endless_engine(start).await;
        let cancelled = timeout(END_TIMEOUT, engine.cancel("1")).await;
        let cancelled = cancelled.expect(name);
        assert!(cancelled.is_err(), "{name}: {cancelled:?}");
    }
}
