//! Backend servers that cut their answers at a given byte.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::Server;
use super::field;
use super::read_request;

/// How long bytes are given to arrive before the reset that follows them.
const RESET_DELAY: Duration = Duration::from_millis(30);
/// The longest answer that is cut at each byte of its body.
const DENSE_MAX_BYTES: usize = 2_000;
/// How many bytes next to a boundary of a longer answer are cut at each byte.
const DENSE_BYTES: usize = 40;

/// How a connection ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum End {
    Close,
    Reset,
}

impl End {
    pub(crate) const ALL: [End; 2] = [End::Close, End::Reset];
}

/// What a server answers, and to which requests.
#[derive(Clone, Debug)]
pub(crate) struct Template {
    /// The segment of the path that selects it.
    pub(crate) name: &'static str,
    /// What goes whole to a request without `Last-Event-Id`, if that is not cut.
    pub(crate) begin: Option<String>,
    /// What is cut, in which `{id}` stands for the id of the attempt.
    pub(crate) text: String,
    /// The length up to which the head and what precedes it is not whole.
    pub(crate) head: usize,
}

impl Template {
    /// A template for attempts whose id has as many bytes as `{id}`.
    pub(crate) fn new(name: &'static str, head: &str, body: &str) -> Template {
        Template {
            name,
            begin: None,
            text: format!("{head}{body}"),
            head: head.len(),
        }
    }

    /// The lengths to which the answer is cut, the last one whole: each in the head
    /// and a short body, those near the ends and `bounds` in a long one.
    pub(crate) fn cuts(&self, bounds: &[usize]) -> Vec<usize> {
        let length = self.text.len();
        if length - self.head <= DENSE_MAX_BYTES {
            return (0..=length).collect();
        }
        let near = |at: usize| -> Range<usize> {
            at.saturating_sub(DENSE_BYTES)..(at + DENSE_BYTES).min(length + 1)
        };
        let mut cuts: Vec<usize> = (0..self.head).collect();
        cuts.extend(near(self.head));
        cuts.extend(bounds.iter().flat_map(|bound| near(self.head + bound)));
        cuts.extend(near(length));
        cuts.sort_unstable();
        cuts.dedup();
        cuts
    }
}

/// How often each path has been asked for.
type Counts = Arc<Mutex<HashMap<String, usize>>>;

/// A server that cuts the answer to `/route/template/length/end/...`.
pub(crate) struct CuttingServer {
    pub(crate) server: Server,
    counts: Counts,
}

impl CuttingServer {
    pub(crate) async fn spawn(templates: Vec<Template>) -> CuttingServer {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address: SocketAddr = listener.local_addr().unwrap();
        let counts = Counts::default();
        let seen = Arc::clone(&counts);
        let templates = Arc::new(templates);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&templates), Arc::clone(&seen)));
            }
        });
        CuttingServer {
            server: Server::listed_at(address),
            counts,
        }
    }

    /// How many requests for a path have arrived.
    pub(crate) fn count(&self, path: &str) -> usize {
        self.counts.lock().unwrap().get(path).copied().unwrap_or(0)
    }
}

/// Answers the requests of a connection until one ends it.
async fn serve(mut stream: TcpStream, templates: Arc<Vec<Template>>, counts: Counts) {
    while let Some(request) = read_request(&mut stream).await {
        let path = request.split(' ').nth(1).unwrap_or_default().to_owned();
        *counts.lock().unwrap().entry(path.clone()).or_default() += 1;
        let mut parts = path.split('/').skip(2);
        let name = parts.next().unwrap_or_default();
        let cut: usize = parts.next().and_then(|text| text.parse().ok()).unwrap_or(0);
        let end = parts.next().unwrap_or_default();
        let Some(template) = templates.iter().find(|one| one.name == name) else {
            return;
        };
        let id = field(&request, "x-attempt-id").unwrap_or_default();
        let is_resumed = field(&request, "last-event-id").is_some();
        let text = match &template.begin {
            Some(begin) if !is_resumed => begin.replace("{id}", &id),
            Some(_) | None => template.text.replace("{id}", &id)[..cut].to_owned(),
        };
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        match end {
            "Keep" => continue,
            "Reset" => {
                sleep(RESET_DELAY).await;
                let socket = SockRef::from(&stream);
                socket.set_linger(Some(Duration::ZERO)).unwrap();
                return;
            }
            _ => return,
        }
    }
}
