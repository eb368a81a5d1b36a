//! What backend servers want of entries: limits that they name for all entries
//! together, rest that they ask one entry for, and that they leave.
//!
//! A server in need names the requests a second that it takes. Entries that
//! each kept the limit for themselves would send a multiple of it, and a share
//! of one request a second for each of 360 entries is one request in six
//! minutes. So a few entries, the owners, share the limit of a server, and the
//! others send elsewhere. Owners are chosen by rendezvous hashing (Thaler and
//! Ravishankar, 1998) over the rows that all entries keep in a table: a view
//! that differs by one entry differs by one owner at most. The rows also carry
//! what each entry has heard, as the others no longer ask the server itself.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::mix;

mod rest;

use rest::Wish;
use rest::Wishes;

/// How many owners a limit has beyond one for each request per second. With a
/// few more than that, each of which sends [`TOKENS_MAX`] at once, a server
/// still gets no more in 4 s than one and a half times its limit and 5.
pub(crate) const OWNERS_EXTRA: f64 = 2.0;
/// The requests that an owner may send at once after it has sent none for a
/// while.
const TOKENS_MAX: f64 = 1.25;
/// The rate of a limit below which it is raised to it, so that somebody hears
/// when it ends.
const RATE_MIN_PER_S: f64 = 0.05;
/// The largest limit that has any effect.
const RATE_MAX_PER_S: f64 = 1e6;
/// How long a limit is kept without news of it.
const NEWS_AGE_MAX: Duration = Duration::from_secs(180);
/// How long an entry that has just heard of a limit waits for a view that tells
/// whether it is an owner, before it goes by the one that it has.
const VIEW_WAIT_MAX: Duration = Duration::from_secs(4);
/// The most servers of which a row tells.
const ROW_SERVERS_MAX: usize = 64;

/// Identifies one start of a backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Server(u64);

impl Server {
    /// Identifies the start of the server `id` at `started_ms`, if that is
    /// known.
    pub fn of(id: &str, started_ms: Option<u64>) -> Server {
        Server(mix::combine(mix::hash(id), started_ms.unwrap_or(0)))
    }
}

/// What an entry has heard of one server.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct News {
    /// The server.
    #[serde(rename = "s")]
    pub server: Server,
    /// The limit in requests per second; `None` if it has ended.
    #[serde(rename = "l")]
    pub per_s: Option<f64>,
    /// Milliseconds since the request was sent whose answer said so.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

/// The row of one entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// The entry.
    #[serde(rename = "e")]
    pub entry: SmolStr,
    /// What it has heard.
    #[serde(rename = "n", default)]
    pub news: Vec<News>,
}

/// A row as another process has read it.
#[derive(Clone, Debug, PartialEq)]
pub struct Published {
    /// The row.
    pub row: Row,
    /// How long ago it was written.
    pub age: Duration,
}

/// Whether a request may go to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The server names no limit.
    Unlimited,
    /// This entry may send one request now.
    Granted,
    /// This entry may send the next request after this time.
    Later(Duration),
    /// Other entries share the limit.
    Elsewhere,
    /// The server wants no request of this entry for this long.
    Resting(Duration),
    /// The server leaves and wants no request any more.
    Leaving,
}

impl Admission {
    /// Whether a request may be sent now.
    pub fn is_open(self) -> bool {
        matches!(self, Admission::Unlimited | Admission::Granted)
    }
}

/// What is known of the limit of one server.
#[derive(Clone, Copy, Debug)]
struct Limit {
    /// `None` if it has ended.
    per_s: Option<f64>,
    /// When the request was sent whose answer said so.
    sent: Duration,
    /// When this entry last heard of it.
    heard: Duration,
    /// Since when this entry has known that there is a limit.
    known_since: Duration,
    /// The requests per second that this entry may send; `None` if it is no
    /// owner.
    share: Option<f64>,
    /// The part of a request that this entry may send, from 0 to 1.
    tokens: f64,
    tokens_updated: Duration,
}

/// The limits that one entry knows.
#[derive(Clone, Debug)]
pub struct Board {
    entry: SmolStr,
    /// The entries of the last view, with their hashes.
    view: BTreeMap<SmolStr, u64>,
    /// When the view was read.
    viewed: Option<Duration>,
    limits: BTreeMap<Server, Limit>,
    wishes: Wishes,
    has_news: bool,
}

impl Board {
    /// Creates the board of an entry that knows no limits and no other entries.
    pub fn open(entry: SmolStr) -> Board {
        Board {
            entry,
            view: BTreeMap::new(),
            viewed: None,
            limits: BTreeMap::new(),
            wishes: Wishes::default(),
            has_news: false,
        }
    }

    /// Records what an answer says to a request that was sent at `sent`. An
    /// answer that names no limit ends one only if its request was sent after
    /// that limit had been heard, as answers overtake each other. A limit that
    /// is not a number from 0 up says nothing. Returns whether the limit has
    /// changed.
    pub fn record_answer(
        &mut self,
        now: Duration,
        sent: Duration,
        server: Server,
        named: Option<f64>,
    ) -> bool {
        let known = self.limits.get(&server);
        match (named, known) {
            (Some(per_s), _) if per_s.is_nan() || per_s < 0.0 => false,
            (None, None) => false,
            (None, Some(limit)) if limit.per_s.is_none() || sent <= limit.heard => false,
            (Some(_), Some(limit)) if sent < limit.sent => false,
            _ => self.update(now, sent, server, named),
        }
    }

    /// Records that a server has asked for rest, in an answer that arrives now.
    /// Returns whether the rest is longer than what was known.
    pub fn record_rest(&mut self, now: Duration, server: Server, rest: Duration) -> bool {
        self.wishes.record_rest(now, server, rest)
    }

    /// Records that a server has said that it leaves. Returns whether that is
    /// new.
    pub fn record_leaving(&mut self, now: Duration, server: Server) -> bool {
        self.wishes.record_leaving(now, server)
    }

    /// Forgets the rest and the leaving of a server that is no longer listed.
    pub fn forget_wishes(&mut self, server: Server) {
        self.wishes.forget(server);
    }

    fn update(
        &mut self,
        now: Duration,
        sent: Duration,
        server: Server,
        per_s: Option<f64>,
    ) -> bool {
        let per_s = per_s.map(|per_s| per_s.clamp(RATE_MIN_PER_S, RATE_MAX_PER_S));
        let before = self.limits.get(&server).copied();
        let changed = before.is_none_or(|before| before.per_s != per_s);
        // A limit that is new here starts without a token, since others may
        // have just used theirs.
        let started = before.filter(|before| before.per_s.is_some());
        self.limits.insert(
            server,
            Limit {
                per_s,
                sent,
                heard: now,
                known_since: started.map_or(now, |before| before.known_since),
                share: started.and_then(|before| before.share),
                tokens: started.map_or(0.0, |before| before.tokens_at(now)),
                tokens_updated: now,
            },
        );
        if changed {
            self.update_share(now, server);
        }
        self.has_news |= changed;
        changed
    }

    /// Applies the rows of all entries, this one's among them: after a restart
    /// it knows again what it had heard before.
    pub fn apply_view(&mut self, now: Duration, view: &[Published]) {
        self.view = view
            .iter()
            .map(|one| (one.row.entry.clone(), mix::hash(&one.row.entry)))
            .collect();
        self.viewed = Some(now);
        let servers: Vec<Server> = self.limits.keys().copied().collect();
        for server in servers {
            self.update_share(now, server);
        }
        for one in view {
            for news in &one.row.news {
                let age = one.age + Duration::from_millis(news.age_ms);
                self.apply_news(now, now.saturating_sub(age), news);
            }
        }
    }

    /// Applies what an entry has published, if it is newer than what is known
    /// here. It needs no publishing again.
    fn apply_news(&mut self, now: Duration, sent: Duration, news: &News) {
        let known = self.limits.get(&news.server).map(|limit| limit.sent);
        let is_valid = news.per_s.is_none_or(|per_s| per_s >= 0.0);
        let is_new = known.map_or(news.per_s.is_some(), |known| sent > known);
        if is_valid && is_new && now.saturating_sub(sent) < NEWS_AGE_MAX {
            let had_news = self.has_news;
            self.update(now, sent, news.server, news.per_s);
            self.has_news = had_news;
        }
    }

    /// Whether there is something to publish that others can't know.
    pub fn has_news(&self) -> bool {
        self.has_news
    }

    /// Whether any limit is in force, so that the view should be young.
    pub fn is_limited(&self) -> bool {
        self.limits.values().any(|limit| limit.per_s.is_some())
    }

    /// The row to publish: the newest news of at most 64 servers.
    pub fn row(&mut self, now: Duration) -> Row {
        self.has_news = false;
        let mut news: Vec<News> = self
            .limits
            .iter()
            .map(|(server, limit)| News {
                server: *server,
                per_s: limit.per_s,
                age_ms: now.saturating_sub(limit.sent).as_millis() as u64,
            })
            .collect();
        news.sort_by_key(|one| one.age_ms);
        news.truncate(ROW_SERVERS_MAX);
        Row {
            entry: self.entry.clone(),
            news,
        }
    }

    /// Forgets limits without news, and rests that are over.
    pub fn expire(&mut self, now: Duration) {
        self.wishes.expire(now);
        self.limits
            .retain(|_, limit| now.saturating_sub(limit.heard) < NEWS_AGE_MAX);
    }

    /// The limit of a server, in requests per second.
    pub fn limit(&self, server: Server) -> Option<f64> {
        self.limits.get(&server)?.per_s
    }

    /// Whether a request may go to a server now.
    pub fn admission(&self, now: Duration, server: Server) -> Admission {
        let by_limit = self.limit_admission(now, server);
        match (self.wishes.wish(now, server), by_limit) {
            (Wish::Leave, _) => Admission::Leaving,
            (Wish::Rest(left), _) => Admission::Resting(left),
            (Wish::Slowly(wait), Admission::Unlimited | Admission::Granted) => {
                Admission::Later(wait)
            }
            (Wish::Slowly(wait), Admission::Later(other)) => Admission::Later(wait.max(other)),
            (Wish::None | Wish::Slowly(_), by_limit) => by_limit,
        }
    }

    /// Whether a request may go to a server now, by its limit alone.
    fn limit_admission(&self, now: Duration, server: Server) -> Admission {
        let limit = self.limits.get(&server);
        let Some(limit) = limit.filter(|limit| limit.per_s.is_some()) else {
            return Admission::Unlimited;
        };
        let share = limit.share.filter(|_| !self.awaits_view(now, limit));
        let Some(share) = share else {
            return Admission::Elsewhere;
        };
        let missing = 1.0 - limit.tokens_at(now);
        match missing <= 0.0 {
            true => Admission::Granted,
            false => Admission::Later(Duration::from_secs_f64(missing / share)),
        }
    }

    /// This entry's share of `per_s` requests per second to a server; none if others
    /// share them, or if it has not read yet who the others are.
    pub fn share(&self, server: Server, per_s: f64) -> Option<f64> {
        share(&self.view, &self.entry, server, per_s)
    }

    /// How many requests this entry may send to a server within `span`; none to
    /// one that rests now or leaves.
    pub fn permits_within(&self, now: Duration, server: Server, span: Duration) -> f64 {
        if let Wish::Leave | Wish::Rest(_) = self.wishes.wish(now, server) {
            return 0.0;
        }
        let limit = self.limits.get(&server);
        let Some(limit) = limit.filter(|limit| limit.per_s.is_some()) else {
            return f64::INFINITY;
        };
        match limit.share {
            Some(share) if !self.awaits_view(now, limit) => {
                (limit.tokens_at(now) + share * span.as_secs_f64()).max(0.0)
            }
            _ => 0.0,
        }
    }

    /// Whether the view should be read now.
    pub fn wants_view(&self, now: Duration) -> bool {
        self.limits
            .values()
            .any(|limit| limit.per_s.is_some() && self.awaits_view(now, limit))
    }

    fn awaits_view(&self, now: Duration, limit: &Limit) -> bool {
        let is_viewed = self.viewed.is_some_and(|at| at >= limit.known_since);
        !is_viewed && now.saturating_sub(limit.known_since) < VIEW_WAIT_MAX
    }

    /// Records that a request is sent to a server.
    pub fn record_sent(&mut self, now: Duration, server: Server) {
        self.wishes.record_sent(now, server);
        if let Some(limit) = self.limits.get_mut(&server) {
            // A request that must be sent all the same counts against later
            // ones.
            limit.tokens = limit.tokens_at(now) - 1.0;
            limit.tokens_updated = now;
        }
    }

    /// Computes this entry's share of a limit by rendezvous hashing.
    fn update_share(&mut self, now: Duration, server: Server) {
        let Some(limit) = self.limits.get_mut(&server) else {
            return;
        };
        let share = limit
            .per_s
            .and_then(|per_s| share(&self.view, &self.entry, server, per_s));
        limit.tokens = limit.tokens_at(now);
        limit.tokens_updated = now;
        if limit.share.is_none() {
            // The owner before may just have used its tokens.
            limit.tokens = limit.tokens.min(0.0);
        }
        limit.share = share;
    }
}

/// The share of `entry` in `per_s` requests per second; none if it is no owner.
fn share(
    view: &BTreeMap<SmolStr, u64>,
    entry: &SmolStr,
    server: Server,
    per_s: f64,
) -> Option<f64> {
    let owners = ((per_s + OWNERS_EXTRA) as usize).min(view.len());
    let own = mix::combine(server.0, *view.get(entry)?);
    let scores = view.values().map(|entry| mix::combine(server.0, *entry));
    let is_owner = scores.filter(|score| *score > own).count() < owners;
    is_owner.then(|| per_s / owners as f64)
}

impl Limit {
    fn tokens_at(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.tokens_updated).as_secs_f64();
        (self.tokens + elapsed * self.share.unwrap_or(0.0)).min(TOKENS_MAX)
    }
}
