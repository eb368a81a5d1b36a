//! Tests all readers of answers against answers that are cut at each byte and closed or
//! reset.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use backend::Engine;
use backend::Server;
use backend::order::Order;
use backend::order::OrderClient;
use snipewinch::call::Attempt;
use snipewinch::call::Executed;
use snipewinch::call::Id;
use snipewinch::call::Origin;
use snipewinch::call::Request;
use snipewinch::call::Start;
use snipewinch::weights::load::Outcome;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// How long bytes are given to arrive before the reset that follows them.
const RESET_DELAY: Duration = Duration::from_millis(30);
/// The servers, and with them the reads at a time.
const PARALLEL: usize = 200;

const EVENTS: &str =
    "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: {\"choices\":[{\"text\":\"b\"}]}\n\n";
const DONE: &str = "data: [DONE]\n\n";

/// How a connection ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Close,
    Reset,
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    Length,
    /// With a trailer.
    Chunks,
    Unframed,
}

impl Framing {
    const ALL: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::Unframed];

    /// Returns a head and a body in two chunks, if there are any.
    fn encode(self, line: &str, body: &str) -> (String, String) {
        let (first, second) = body.split_at(body.len() / 2);
        let chunks = format!(
            "{:x}\r\n{first}\r\n{:x}\r\n{second}\r\n0\r\nX-Sum: 12\r\n\r\n",
            first.len(),
            second.len()
        );
        let interim = match self {
            Framing::Length => "HTTP/1.1 100 Continue\r\n\r\n",
            Framing::Chunks | Framing::Unframed => "",
        };
        let (field, body) = match self {
            Framing::Length => (format!("Content-Length: {}\r\n", body.len()), body.into()),
            Framing::Chunks => ("Transfer-Encoding: chunked\r\n".into(), chunks),
            Framing::Unframed => (String::new(), body.into()),
        };
        (format!("{interim}HTTP/1.1 {line}\r\n{field}\r\n"), body)
    }
}

/// A reader of answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reader {
    /// A call to a service that is no engine.
    Call,
    /// A stream of events of such a service.
    Events,
    /// A failure of such a service.
    Failure,
    /// A stream of an engine.
    Stream,
    Cancel,
    Load,
    CacheEvents,
    Export,
    State,
    Send,
    Fenced,
}

impl Reader {
    const ALL: [Reader; 11] = [
        Reader::Call,
        Reader::Events,
        Reader::Failure,
        Reader::Stream,
        Reader::Cancel,
        Reader::Load,
        Reader::CacheEvents,
        Reader::Export,
        Reader::State,
        Reader::Send,
        Reader::Fenced,
    ];

    /// The status line with the type, and the body, of the whole answer.
    fn answer(self) -> (&'static str, String) {
        const EVENT_STREAM: &str = "200 OK\r\nContent-Type: text/event-stream";
        let state = r#"{"models":[],"fence":3}"#;
        match self {
            Reader::Call => ("200 OK", "whole".into()),
            Reader::Events => (EVENT_STREAM, EVENTS.into()),
            Reader::Failure => ("500 X", "failed".into()),
            Reader::Stream => (EVENT_STREAM, format!("{EVENTS}{DONE}")),
            Reader::Cancel => ("200 OK", r#"{"state":"cancelled"}"#.into()),
            Reader::Load => ("200 OK", r#"{"running":1,"waiting":2,"capacity":3}"#.into()),
            Reader::CacheEvents => (
                "200 OK",
                r#"{"events":[{"sequence":1,"kind":"stored","prefix":"a"}]}"#.into(),
            ),
            Reader::Export => ("200 OK", "0123abcd".into()),
            Reader::State => ("200 OK", state.into()),
            Reader::Send => ("200 OK", format!(r#"{{"state":{state}}}"#)),
            Reader::Fenced => ("409 X", r#"{"fence":31}"#.into()),
        }
    }

    /// Whether a cut body that ends with its connection may be the whole one.
    fn takes(self, sent: &str) -> bool {
        match self {
            Reader::Call | Reader::Failure | Reader::Export => true,
            Reader::Events => sent.is_empty() || sent.ends_with("\n\n"),
            _ => false,
        }
    }

    /// Reads an answer. Returns the value in text, or whether the error denies that the
    /// request ran.
    async fn read(self, address: SocketAddr) -> Result<String, bool> {
        let server = Server::open(&address.to_string());
        let engine = Engine::open(server.clone());
        let orders = OrderClient::open(server.clone());
        let order = Order::Unload {
            model: "m".into(),
            version: "1".into(),
        };
        match self {
            Reader::Call | Reader::Events | Reader::Failure => call(&server, None).await,
            Reader::Stream => call(&server, Some("m")).await,
            Reader::Cancel => text(engine.cancel("1").await),
            Reader::Load => text(engine.load().await),
            Reader::CacheEvents => text(engine.cache_events(0).await),
            Reader::Export => text(engine.export("a").await),
            Reader::State => text(orders.state().await),
            Reader::Send | Reader::Fenced => match orders.send(1, &order).await {
                Outcome::Unknown => Err(false),
                outcome => Ok(format!("{outcome:?}")),
            },
        }
    }
}

fn text<T: std::fmt::Debug, E>(result: Result<T, E>) -> Result<String, bool> {
    let result = result.map_err(|_| false);
    result.map(|value| format!("{value:?}"))
}

async fn call(server: &Server, model: Option<&str>) -> Result<String, bool> {
    let denied = |error: backend::Error| error.executed() == Executed::No;
    let mut reply = server.call(&start(model)).await.map_err(denied)?;
    let mut bytes = Vec::new();
    while let Some(data) = reply.next().await.map_err(denied)? {
        bytes.extend_from_slice(&data.bytes);
    }
    let body = String::from_utf8_lossy(&bytes);
    Ok(format!("{} {body}", reply.head.status))
}

fn start(model: Option<&str>) -> Start {
    Start {
        attempt: Attempt {
            origin: Origin(1),
            call: Id(1),
            retry: 0,
        },
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
/// Reads a request with its body; false once the connection is closed.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        if let Some(end) = text.find("\r\n\r\n") {
            let length = text
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "))
                .and_then(|length| length.parse().ok());
            if bytes.len() >= end + 4 + length.unwrap_or(0) {
                return true;
            }
        }
        match stream.read_buf(&mut bytes).await {
            Ok(0) | Err(_) => return false,
            Ok(_) => {}
        }
    }
}

/// What a server sends on each connection before it ends it.
type Script = Arc<Mutex<(String, End)>>;

/// A server that gives each connection one answer.
struct Cutter {
    address: SocketAddr,
    script: Script,
    task: JoinHandle<()>,
}

impl Drop for Cutter {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Cutter {
    async fn spawn() -> Cutter {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let script: Script = Arc::new(Mutex::new((String::new(), End::Close)));
        let shared = Arc::clone(&script);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (text, end) = shared.lock().unwrap().clone();
                serve(stream, &text, end).await;
            }
        });
        Cutter {
            address,
            script,
            task,
        }
    }

    /// Reads an answer of which only `text` arrives.
    async fn read(&self, reader: Reader, text: &str, end: End) -> Result<String, bool> {
        *self.script.lock().unwrap() = (text.to_owned(), end);
        reader.read(self.address).await
    }
}

async fn serve(mut stream: TcpStream, text: &str, end: End) {
    if !read_request(&mut stream).await {
        return;
    }
    let _ = stream.write_all(text.as_bytes()).await;
    if end == End::Reset {
        sleep(RESET_DELAY).await;
        stream.set_zero_linger().unwrap();
    }
}

/// One cut of an answer.
struct Cut {
    reader: Reader,
    framing: Framing,
    answer: Arc<String>,
    /// The length of the head.
    head: usize,
    /// The value that the whole answer has.
    whole: Arc<String>,
    length: usize,
    end: End,
}

impl Cut {
    /// What is wrong with the result of the reader; none if nothing is.
    async fn fault(&self, server: &Cutter) -> Option<String> {
        let (reader, framing, end) = (self.reader, self.framing, self.end);
        let sent = &self.answer[..self.length];
        let found = server.read(reader, sent, end).await;
        let fault = match &found {
            Err(true) => "a run is denied",
            Err(false) if self.is_complete() => "a whole answer is lost",
            Err(false) => return None,
            Ok(value) if self.is_complete() && *value != *self.whole => "another value",
            Ok(_) if self.is_complete() || self.may_end() => return None,
            Ok(_) => "taken as whole",
        };
        let shown = &sent[self.length.saturating_sub(40)..];
        Some(format!(
            "{reader:?} {framing:?} {end:?} after {shown:?}: {fault}: {found:?}"
        ))
    }

    fn is_complete(&self) -> bool {
        self.length == self.answer.len()
    }

    /// Whether the connection ends where the answer may end.
    fn may_end(&self) -> bool {
        let is_unframed = self.framing == Framing::Unframed && self.end == End::Close;
        // An engine's stream is complete at its closing event.
        let has_closed = self.reader == Reader::Stream && self.answer[..self.length].contains(DONE);
        let sent = self.answer.get(self.head..self.length);
        has_closed || is_unframed && sent.is_some_and(|sent| self.reader.takes(sent))
    }
}

/// All cuts of the answer that a reader gets.
async fn cuts(server: &Cutter, reader: Reader, framing: Framing) -> Vec<Cut> {
    let (line, body) = reader.answer();
    let (head, body) = framing.encode(line, &body);
    let answer = Arc::new(format!("{head}{body}"));
    let whole = server.read(reader, &answer, End::Close).await;
    let whole = Arc::new(whole.unwrap_or_else(|_| panic!("{reader:?} reads {answer:?}")));
    let length = answer.len();
    (0..length)
        .flat_map(|cut| [(cut, End::Close), (cut, End::Reset)])
        .chain([(length, End::Close)])
        .map(|(cut, end)| Cut {
            reader,
            framing,
            answer: Arc::clone(&answer),
            head: head.len(),
            whole: Arc::clone(&whole),
            length: cut,
            end,
        })
        .collect()
}

/// Guards against a part of an answer, or a head alone, that counts as the answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_answer_is_not_taken_as_whole() {
    let first = Cutter::spawn().await;
    let mut all = Vec::new();
    for reader in Reader::ALL {
        for framing in Framing::ALL {
            all.extend(cuts(&first, reader, framing).await);
        }
    }
    println!("{} cuts", all.len());
    let all = Arc::new(Mutex::new(all));
    let mut tasks = JoinSet::new();
    for _ in 0..PARALLEL {
        let all = Arc::clone(&all);
        tasks.spawn(async move {
            let server = Cutter::spawn().await;
            let mut faults = Vec::new();
            loop {
                let next = all.lock().unwrap().pop();
                let Some(cut) = next else {
                    return faults;
                };
                faults.extend(cut.fault(&server).await);
            }
        });
    }
    let faults: Vec<String> = tasks.join_all().await.concat();
    let shown = faults[..faults.len().min(20)].join("\n");
    assert!(faults.is_empty(), "{} faults:\n{shown}", faults.len());
}

/// Guards against an answer whose status is none that counts as one.
#[tokio::test(flavor = "multi_thread")]
async fn a_status_outside_100_to_599_is_no_answer() {
    let server = Cutter::spawn().await;
    for reader in Reader::ALL {
        for status in ["000", "099", "600", "700", "999"] {
            let (line, body) = reader.answer();
            let line = format!("{status}{}", &line[3..]);
            let (head, body) = Framing::Length.encode(&line, &body);
            let found = server
                .read(reader, &format!("{head}{body}"), End::Close)
                .await;
            assert_eq!(found, Err(false), "{reader:?} {status}");
        }
    }
}
