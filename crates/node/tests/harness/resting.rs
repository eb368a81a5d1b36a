//! Backend servers that ask for rest or say that they leave, and count what
//! reaches them.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::complete_answer;
use super::field;
use super::read_request;

/// What a server answers.
#[derive(Clone, Debug)]
pub(crate) enum Mood {
    /// It turns requests away, with further fields.
    TurnsAway(String),
    /// It answers, with further fields.
    Answers(String),
}

#[derive(Debug)]
struct State {
    mood: Mood,
    arrivals: Vec<Instant>,
    /// When it first turned a request away.
    turned_away: Option<Instant>,
}

/// A server that answers every request at once.
#[derive(Clone, Debug)]
pub(crate) struct RestingServer {
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl RestingServer {
    pub(crate) async fn spawn(mood: Mood) -> RestingServer {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let server = RestingServer {
            address: listener.local_addr().unwrap(),
            state: Arc::new(Mutex::new(State {
                mood,
                arrivals: Vec::new(),
                turned_away: None,
            })),
        };
        let state = server.state.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, state.clone()));
            }
        });
        server
    }

    /// A server that turns requests away and asks for rest of some seconds.
    pub(crate) async fn asking_for(seconds: &str) -> RestingServer {
        let fields = format!("X-Not-Executed: 1\r\nRetry-After: {seconds}\r\n");
        RestingServer::spawn(Mood::TurnsAway(fields)).await
    }

    pub(crate) fn set_mood(&self, mood: Mood) {
        self.state.lock().unwrap().mood = mood;
    }

    /// When it first turned a request away.
    pub(crate) fn turned_away(&self) -> Option<Instant> {
        self.state.lock().unwrap().turned_away
    }

    /// How many requests arrived in a span that begins `after` an instant.
    pub(crate) fn count_in(&self, from: Instant, after: Duration, until: Duration) -> usize {
        let state = self.state.lock().unwrap();
        let span = from + after..from + until;
        state.arrivals.iter().filter(|at| span.contains(at)).count()
    }
}

async fn serve(mut stream: TcpStream, state: Arc<Mutex<State>>) {
    while let Some(request) = read_request(&mut stream).await {
        let (status, fields) = {
            let mut state = state.lock().unwrap();
            state.arrivals.push(Instant::now());
            match state.mood.clone() {
                Mood::TurnsAway(fields) => {
                    state.turned_away.get_or_insert(Instant::now());
                    (503, fields)
                }
                Mood::Answers(fields) => (200, fields),
            }
        };
        let id = field(&request, "x-attempt-id").unwrap_or_default();
        let answer = complete_answer(status, &fields, "done").replace("{id}", &id);
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}
