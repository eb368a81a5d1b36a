//! Backend servers that name a limit of requests and count what reaches them.

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

#[derive(Debug, Default)]
struct State {
    /// The value of the field; none is sent without one.
    limit: Option<String>,
    arrivals: Vec<Instant>,
}

/// A server that answers every request at once.
#[derive(Clone, Debug)]
pub(crate) struct LimitedServer {
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl LimitedServer {
    pub(crate) async fn spawn(limit: Option<&str>) -> LimitedServer {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let server = LimitedServer {
            address: listener.local_addr().unwrap(),
            state: Arc::default(),
        };
        server.set_limit(limit);
        let state = server.state.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, state.clone()));
            }
        });
        server
    }

    pub(crate) fn set_limit(&self, limit: Option<&str>) {
        self.state.lock().unwrap().limit = limit.map(str::to_owned);
    }

    /// How many requests arrived from `start` on.
    pub(crate) fn count_since(&self, start: Instant) -> usize {
        let state = self.state.lock().unwrap();
        state.arrivals.iter().filter(|at| **at >= start).count()
    }

    /// The most requests that arrived within `window` from `start` on.
    pub(crate) fn most_within(&self, window: Duration, start: Instant) -> usize {
        let state = self.state.lock().unwrap();
        let arrivals: Vec<Instant> = state
            .arrivals
            .iter()
            .copied()
            .filter(|at| *at >= start)
            .collect();
        let counts = arrivals.iter().map(|first| {
            let end = *first + window;
            arrivals
                .iter()
                .filter(|at| **at >= *first && **at < end)
                .count()
        });
        counts.max().unwrap_or(0)
    }
}

async fn serve(mut stream: TcpStream, state: Arc<Mutex<State>>) {
    while let Some(request) = read_request(&mut stream).await {
        let fields = {
            let mut state = state.lock().unwrap();
            state.arrivals.push(Instant::now());
            let limit = state.limit.as_ref();
            limit.map_or(String::new(), |limit| format!("Server-Limit: {limit}\r\n"))
        };
        let id = field(&request, "x-attempt-id").unwrap_or_default();
        let answer = complete_answer(200, &fields, "done").replace("{id}", &id);
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}
