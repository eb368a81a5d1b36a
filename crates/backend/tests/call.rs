//! Answers of a backend server that end with their connection, or only long
//! after they are complete.

use std::sync::Arc;
use std::time::Duration;

use backend::Error;
use backend::Reply;
use backend::Server;
use snipewinch::call::Attempt;
use snipewinch::call::Id;
use snipewinch::call::Origin;
use snipewinch::call::Request;
use snipewinch::call::Start;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::timeout;

const EVENT: &str = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n";
const DONE: &str = "data: [DONE]\n\n";
/// The longest time in which an answer that has arrived must be complete.
const END_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves one request with `answer`; then closes the connection, or keeps it
/// open and silent.
async fn serve_one(answer: String, closes: bool) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 4096];
        assert!(stream.read(&mut request).await.unwrap() > 0);
        stream.write_all(answer.as_bytes()).await.unwrap();
        if !closes {
            std::future::pending::<()>().await;
        }
    });
    Server::open(&address)
}

fn start(model: Option<&str>) -> Start {
    let attempt = Attempt {
        origin: Origin(1),
        call: Id(1),
        retry: 0,
    };
    Start {
        attempt,
        budget_ms: 60_000,
        credit_bytes: 1 << 20,
        version: None,
        resume_from: 0,
        request: Arc::new(Request {
            service: "s".into(),
            method: "POST".into(),
            path: "/x".into(),
            model: model.map(Into::into),
            stream: model.is_some(),
            ..Request::default()
        }),
    }
}

/// An event stream with neither a length nor chunks.
fn unframed(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n{body}")
}

/// Reads the rest of an answer and returns its bytes.
async fn read(reply: &mut Reply) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    while let Some(data) = reply.next().await? {
        bytes.extend_from_slice(&data.bytes);
    }
    Ok(bytes)
}

#[tokio::test]
async fn a_stream_is_complete_at_its_closing_event_though_the_engine_falls_silent() {
    let server = serve_one(unframed(&format!("{EVENT}{DONE}")), false).await;
    let mut reply = server.call(&start(Some("m"))).await.unwrap();
    let bytes = timeout(END_TIMEOUT, read(&mut reply)).await;
    let bytes = bytes.expect("the answer is complete").unwrap();
    assert_eq!(bytes, EVENT.as_bytes());
}

#[tokio::test]
async fn bytes_without_end_after_the_closing_event_do_not_spoil_a_complete_stream() {
    let rest = "x".repeat(1 << 20);
    let server = serve_one(unframed(&format!("{EVENT}{DONE}{rest}")), false).await;
    let mut reply = server.call(&start(Some("m"))).await.unwrap();
    let bytes = timeout(END_TIMEOUT, read(&mut reply)).await;
    let bytes = bytes.expect("the answer is complete").unwrap();
    assert_eq!(bytes, EVENT.as_bytes());
}

#[tokio::test]
async fn an_unframed_stream_of_a_service_that_ends_inside_an_event_is_not_complete() {
    let cases = [
        ("between events", "data: a\n\ndata: b\n\n", true),
        ("carriage returns", "data: a\r\n\r\n", true),
        ("no event", "", true),
        ("inside a line", "data: a\n\ndata: b", false),
        ("after a line", "data: a\n\ndata: b\n", false),
    ];
    for (name, body, is_complete) in cases {
        let server = serve_one(unframed(body), true).await;
        let mut reply = server.call(&start(None)).await.unwrap();
        match read(&mut reply).await {
            Ok(bytes) => assert!(is_complete && bytes == body.as_bytes(), "{name}"),
            Err(error) => {
                let is_truncated = matches!(error, Error::Truncated);
                assert!(!is_complete && is_truncated, "{name}: {error}");
            }
        }
    }
}
