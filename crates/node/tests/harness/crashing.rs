//! Backend servers that end under certain requests.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use socket2::SockRef;
use standin::store::Store;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::complete_answer;
use super::events;
use super::field;
use super::listed;
use super::read_request;
use super::reserve_port;
use super::stream_head;

/// The time from the head of an answer to the end of the server.
const END_DELAY: Duration = Duration::from_millis(50);
/// The time before each event of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(30);
/// How many events a stream has.
const EVENTS: usize = 3;
/// How many connections may wait to be accepted.
const BACKLOG: u32 = 128;

/// The requests under which a server ends.
#[derive(Clone, Debug)]
pub(crate) enum Trigger {
    /// Those with a part in their prompt before the last one.
    PromptPart(String),
    /// Those with a path and a body.
    Request { path: String, body: String },
    /// Those whose body begins with a text.
    BodyStart(String),
}

impl Trigger {
    fn matches(&self, request: &str) -> bool {
        match self {
            Trigger::PromptPart(part) => has_part(request, part),
            Trigger::Request { path, body } => {
                let target = request.split(' ').nth(1).unwrap_or_default();
                let found = target.split('?').next().unwrap_or_default();
                let (_, content) = request.split_once("\r\n\r\n").unwrap_or_default();
                found == path && content == body
            }
            Trigger::BodyStart(start) => {
                let (_, content) = request.split_once("\r\n\r\n").unwrap_or_default();
                content.starts_with(start)
            }
        }
    }
}

/// What a server does with requests that are the trigger, after the head of the
/// answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reaction {
    /// It answers like all others.
    Answer,
    /// It ends.
    End,
    /// It answers with a failure and ends.
    FailAndEnd,
    /// It ends within a long answer.
    EndMidway,
    /// It sends nothing more.
    Hold,
    /// It resets the connection.
    Reset,
}

/// Under which id a server returns after its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Naming {
    /// Under another id.
    Changes,
    /// Under its id, with a later time of start.
    Stays,
}

/// What a server has seen.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    /// When requests that are the trigger arrived.
    pub(crate) suspects: Vec<Instant>,
    /// The ids of their attempts.
    pub(crate) suspect_ids: Vec<String>,
    /// How many other requests arrived.
    pub(crate) sound: usize,
    /// When it ended.
    pub(crate) ends: Vec<Instant>,
    /// Whether it listens.
    pub(crate) is_up: bool,
}

/// What became of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    Closed,
    ServerEnded,
}

struct State {
    name: String,
    naming: Naming,
    trigger: Trigger,
    /// How long it refuses connections after its end.
    downtime: Duration,
    address: SocketAddr,
    store: Store,
    reaction: Mutex<Reaction>,
    record: Mutex<Record>,
    ended: Notify,
}

/// A backend server that answers resumable streams. It lists itself, and returns at its
/// address each time that it has ended.
pub(crate) struct CrashingServer {
    state: Arc<State>,
}

impl CrashingServer {
    pub(crate) fn spawn(
        store: &Store,
        name: String,
        naming: Naming,
        trigger: Trigger,
        reaction: Reaction,
        downtime: Duration,
    ) -> CrashingServer {
        let reserved = reserve_port();
        let address = reserved.local_addr().unwrap();
        let state = Arc::new(State {
            name,
            naming,
            trigger,
            downtime,
            address,
            store: store.clone(),
            reaction: Mutex::new(reaction),
            record: Mutex::default(),
            ended: Notify::new(),
        });
        let listener = state.start(0);
        tokio::spawn(Arc::clone(&state).run(reserved, listener));
        CrashingServer { state }
    }

    pub(crate) fn record(&self) -> Record {
        self.state.record.lock().unwrap().clone()
    }

    pub(crate) fn set_reaction(&self, reaction: Reaction) {
        *self.state.reaction.lock().unwrap() = reaction;
    }

    /// Ends the server, whatever runs on it.
    pub(crate) fn end(&self) {
        self.state.ended.notify_one();
    }
}

impl State {
    fn id(&self, incarnation: usize) -> String {
        match self.naming {
            Naming::Changes => format!("{}-{incarnation}", self.name),
            Naming::Stays => self.name.clone(),
        }
    }

    /// Listens and replaces its row in the list.
    fn start(&self, incarnation: usize) -> TcpListener {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_reuseaddr(true).unwrap();
        socket.bind(self.address).unwrap();
        let listener = socket.listen(BACKLOG).unwrap();
        match incarnation.checked_sub(1) {
            Some(before) if self.naming == Naming::Changes => {
                self.store.remove("servers", &self.id(before));
            }
            Some(_) | None => {}
        }
        let mut row = listed(self.address, "za", "ready");
        row["born"] = (1_790_000_000_000 + incarnation as u64).into();
        self.store.put("servers", &self.id(incarnation), &row);
        self.record.lock().unwrap().is_up = true;
        listener
    }

    /// Runs one incarnation after the other. The port stays reserved between
    /// them.
    async fn run(self: Arc<State>, _reserved: TcpSocket, mut listener: TcpListener) {
        for incarnation in 0.. {
            self.accept_until_ended(listener, self.id(incarnation))
                .await;
            sleep(self.downtime).await;
            listener = self.start(incarnation + 1);
        }
    }

    async fn accept_until_ended(self: &Arc<State>, listener: TcpListener, id: String) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                biased;
                () = self.ended.notified() => break,
                fate = connections.join_next(), if !connections.is_empty() => {
                    if matches!(fate, Some(Ok(Fate::ServerEnded))) {
                        break;
                    }
                }
                accepted = listener.accept() => {
                    let (stream, _) = accepted.unwrap();
                    connections.spawn(Arc::clone(self).serve(stream, id.clone()));
                }
            }
        }
        drop(listener);
        connections.shutdown().await;
        let mut record = self.record.lock().unwrap();
        record.ends.push(Instant::now());
        record.is_up = false;
    }

    async fn serve(self: Arc<State>, mut stream: TcpStream, id: String) -> Fate {
        while let Some(request) = read_request(&mut stream).await {
            let reaction = self.record_request(&request);
            let attempt = field(&request, "x-attempt-id").unwrap_or_default();
            let is_expected = field(&request, "x-expect-instance").as_ref() == Some(&id);
            let head = match (is_expected, reaction) {
                (false, _) => complete_answer(421, "X-Not-Executed: 1\r\n", ""),
                (true, Reaction::FailAndEnd) => {
                    complete_answer(502, "Connection: close\r\n", "failed")
                }
                (true, _) => stream_head(),
            };
            let head = head.replace("{id}", &attempt);
            if stream.write_all(head.as_bytes()).await.is_err() {
                return Fate::Closed;
            }
            match reaction {
                _ if !is_expected => {}
                Reaction::Answer => match send_events(&mut stream, &request).await {
                    Some(()) => {}
                    None => return Fate::Closed,
                },
                Reaction::End => {
                    sleep(END_DELAY).await;
                    return Fate::ServerEnded;
                }
                Reaction::FailAndEnd => return Fate::ServerEnded,
                Reaction::EndMidway => {
                    let _ = stream.write_all(long_chunk().as_bytes()).await;
                    sleep(END_DELAY).await;
                    return Fate::ServerEnded;
                }
                Reaction::Hold => pending().await,
                Reaction::Reset => {
                    sleep(END_DELAY).await;
                    let socket = SockRef::from(&stream);
                    socket.set_linger(Some(Duration::ZERO)).unwrap();
                    return Fate::Closed;
                }
            }
        }
        Fate::Closed
    }

    /// Counts a request and returns what to do with it.
    fn record_request(&self, request: &str) -> Reaction {
        let mut record = self.record.lock().unwrap();
        match self.trigger.matches(request) {
            true => {
                record.suspects.push(Instant::now());
                let id = field(request, "x-attempt-id").unwrap_or_default();
                record.suspect_ids.push(id);
                *self.reaction.lock().unwrap()
            }
            false => {
                record.sound += 1;
                Reaction::Answer
            }
        }
    }
}

/// Whether the prompt of a request has a part before its last one.
fn has_part(request: &str, part: &str) -> bool {
    let prompt = field(request, "x-prefix-hash").unwrap_or_default();
    let Some((shared, _)) = prompt.rsplit_once(',') else {
        return false;
    };
    let mut ids = shared.split(',').filter_map(|one| one.split(':').next());
    ids.any(|id| id.trim().eq_ignore_ascii_case(part))
}

/// A chunk that is too long to be buffered.
fn long_chunk() -> String {
    format!("{:x}\r\n{}\r\n", 300 << 10, "x".repeat(300 << 10))
}

/// Sends the events that the request lacks; none once the connection is closed.
async fn send_events(stream: &mut TcpStream, request: &str) -> Option<()> {
    let last = field(request, "last-event-id").and_then(|text| text.parse().ok());
    let first = last.map_or(1, |last: usize| last + 1);
    for number in first..=EVENTS {
        sleep(EVENT_INTERVAL).await;
        let event = events(number..=number);
        stream.write_all(event.as_bytes()).await.ok()?;
    }
    stream.write_all(b"0\r\n\r\n").await.ok()
}
