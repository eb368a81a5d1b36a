//! The contract of an engine's orders, with its faults in a table, over real
//! sockets.

use backend::Server;
use backend::order::Order;
use backend::order::OrderClient;
use snipewinch::Digest;
use snipewinch::weights::load::Outcome;
use snipewinch::weights::load::Role;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

const STATE: &str = r#"{"fence":9,"role":"both","loading":false,"models":[{"model":"verse","version":"v1","manifest":"m","given_digest":"d"}]}"#;

/// Answers one request with these bytes; tells what was asked.
async fn engine(answer: String) -> (Server, oneshot::Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (asked, request) = oneshot::channel();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut text = Vec::new();
        let mut buffer = vec![0; 4096];
        // The head and, for an order, the JSON body up to its last brace.
        while !text.ends_with(b"\r\n\r\n") && !text.ends_with(b"}}") {
            let length = stream.read(&mut buffer).await.unwrap();
            text.extend_from_slice(&buffer[..length]);
            let post = text.starts_with(b"POST");
            if !post && text.ends_with(b"\r\n\r\n") || post && text.ends_with(b"}}") {
                break;
            }
        }
        let _ = asked.send(String::from_utf8(text).unwrap());
        let _ = stream.write_all(answer.as_bytes()).await;
        let _ = stream.shutdown().await;
    });
    (Server::open(&address), request)
}

fn response(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}")
}

fn load() -> Order {
    Order::Load {
        model: "verse".into(),
        version: "v2".into(),
        manifest: Digest::of(b"v2"),
        size: 4096,
        source: "http://127.0.0.1:1/weights/x".to_owned(),
    }
}

#[tokio::test]
async fn every_answer_is_understood_or_leaves_the_outcome_open() {
    let done = format!(r#"{{"state":{STATE}}}"#);
    let cases = [
        ("done", response("200 OK", &done), "done"),
        (
            "fenced",
            response("409 Conflict", r#"{"fence":77}"#),
            "fenced 77",
        ),
        (
            "another conflict",
            response("409 Conflict", "{}"),
            "unknown",
        ),
        ("not a state", response("200 OK", "{}"), "unknown"),
        ("failed", response("502 Bad Gateway", "{}"), "unknown"),
        ("cut", response("200 OK", &done)[..60].to_owned(), "unknown"),
        ("no answer", String::new(), "unknown"),
    ];
    for (name, answer, expected) in cases {
        let (server, asked) = engine(answer).await;
        let outcome = OrderClient::open(server).send(12, &load()).await;
        let seen = match &outcome {
            Outcome::Done(state) => {
                assert_eq!(state.fence, 9, "{name}");
                assert_eq!(state.models[0].version, "v1", "{name}");
                "done".to_owned()
            }
            Outcome::Fenced { fence } => format!("fenced {fence}"),
            Outcome::Unknown => "unknown".to_owned(),
        };
        assert_eq!(seen, expected, "{name}");
        let asked = asked.await.unwrap();
        assert!(asked.contains(r#""fence":12"#), "{name}: {asked}");
        assert!(asked.contains(r#""kind":"load""#), "{name}: {asked}");
    }
}

#[tokio::test]
async fn the_state_is_read_or_its_absence_said() {
    let (server, _) = engine(response("200 OK", STATE)).await;
    let state = OrderClient::open(server).state().await.unwrap();
    assert_eq!((state.fence, state.role), (9, Some(Role::Both)));
    for answer in [response("503 Service Unavailable", ""), String::new()] {
        let (server, _) = engine(answer.clone()).await;
        let state = OrderClient::open(server).state().await;
        assert!(state.is_err(), "{answer:?}: {state:?}");
    }
}

#[tokio::test]
async fn orders_are_written_as_the_contract_says() {
    let adapter = Order::Adapter {
        model: "verse".into(),
        adapter: "ballads".into(),
        version: "a1".into(),
        manifest: Digest::of(b"a1"),
        size: 7,
        source: "http://127.0.0.1:1/weights/y".to_owned(),
    };
    let unload = Order::Unload {
        model: "verse".into(),
        version: "v1".into(),
    };
    let role = Order::Role { role: Role::Decode };
    let cases = [
        (
            adapter,
            r#""kind":"adapter","model":"verse","adapter":"ballads""#,
        ),
        (unload, r#""kind":"unload","model":"verse","version":"v1""#),
        (role, r#""kind":"role","role":"decode""#),
    ];
    for (order, expected) in cases {
        let text = serde_json::to_string(&order).unwrap();
        assert!(text.contains(expected), "{text}");
    }
}
