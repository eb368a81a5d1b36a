//! The client for orders, against scripted answers of an engine over real
//! sockets.

use backend::Error;
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

/// Serves one request with these bytes as the answer. The receiver gets the
/// request.
async fn serve_one(answer: String) -> (Server, oneshot::Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (request_sender, request) = oneshot::channel();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut text = Vec::new();
        let mut buffer = vec![0; 4096];
        // Reads the head and, for an order, the JSON body up to its last brace.
        while !text.ends_with(b"\r\n\r\n") && !text.ends_with(b"}}") {
            let length = stream.read(&mut buffer).await.unwrap();
            text.extend_from_slice(&buffer[..length]);
            let post = text.starts_with(b"POST");
            if !post && text.ends_with(b"\r\n\r\n") || post && text.ends_with(b"}}") {
                break;
            }
        }
        let _ = request_sender.send(String::from_utf8(text).unwrap());
        let _ = stream.write_all(answer.as_bytes()).await;
        let _ = stream.shutdown().await;
    });
    (Server::open(&address), request)
}

fn response(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}")
}

fn load_order() -> Order {
    Order::Load {
        model: "verse".into(),
        version: "v2".into(),
        manifest: Digest::of(b"v2"),
        size: 4096,
        source: "http://127.0.0.1:1/weights/x".to_owned(),
    }
}

#[tokio::test]
async fn an_answer_is_decoded_or_leaves_the_outcome_unknown() {
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
        (
            "truncated",
            response("200 OK", &done)[..60].to_owned(),
            "unknown",
        ),
        ("no answer", String::new(), "unknown"),
    ];
    for (name, answer, expected) in cases {
        let (server, request) = serve_one(answer).await;
        let outcome = OrderClient::open(server).send(12, &load_order()).await;
        let actual = match &outcome {
            Outcome::Done(state) => {
                assert_eq!(state.fence, 9, "{name}");
                assert_eq!(state.models[0].version, "v1", "{name}");
                "done".to_owned()
            }
            Outcome::Fenced { fence } => format!("fenced {fence}"),
            Outcome::Unknown => "unknown".to_owned(),
        };
        assert_eq!(actual, expected, "{name}");
        let request = request.await.unwrap();
        assert!(request.contains(r#""fence":12"#), "{name}: {request}");
        assert!(request.contains(r#""kind":"load""#), "{name}: {request}");
    }
}

#[tokio::test]
async fn reading_the_state_returns_it_or_an_error() {
    let (server, _) = serve_one(response("200 OK", STATE)).await;
    let state = OrderClient::open(server).state().await.unwrap();
    assert_eq!((state.fence, state.role), (9, Some(Role::Both)));
    for answer in [response("503 Service Unavailable", ""), String::new()] {
        let (server, _) = serve_one(answer.clone()).await;
        let state = OrderClient::open(server).state().await;
        assert!(state.is_err(), "{answer:?}: {state:?}");
    }
}

#[tokio::test]
async fn orders_have_the_json_form_of_the_engine_interface() {
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

#[tokio::test]
async fn a_state_that_does_not_come_in_time_is_no_answer_of_the_engine() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let state = OrderClient::open(Server::open(&address)).state().await;
    assert!(matches!(state, Err(Error::Timeout { .. })), "{state:?}");
}
