//! Coordination parts for spreading model weights and routing live calls over
//! many small hosts.
//!
//! Every part is a plain state machine: time, seeds and messages come in, and
//! actions come out. Nothing here opens a socket, reads a clock or draws
//! global randomness, so the same code runs under a seeded test driver, in the
//! `snipewinchd` daemon and in programs that embed a single part.
//!
//! Time is always a [`std::time::Duration`] since an epoch that the embedder
//! chooses and that never goes back, usually the start of its process.
//!
//! # The way in
//!
//! | part | starts with | what it decides |
//! |---|---|---|
//! | [`weights`] | [`weights::swarm::Swarm::new`] | who fetches which chunk from whom |
//! | [`weights`] | [`weights::load`] | when an engine may load, and with which fencing number |
//! | [`call`] | [`call::entry::Entry::open`] | what becomes of a call when links and hosts are lost |
//! | [`call`] | [`call::agent::Agent::open`] | which attempts run, once each, and what is kept of them |
//! | [`claim`] | [`claim::Table::open`] | whether a call under an idempotency key may run |
//! | [`routing`] | [`routing::Table`] | which backend server answers a call |
//! | [`route`] | [`route::Table::new`] | which service answers a host and path, for which customer |
//! | [`dispatch`] | [`dispatch::Queue`] | which request a place goes to, whom to ask, whom to refuse |
//! | [`engine`] | [`engine::Predictor`] | when an engine's next answer begins |
//! | [`grant`] | [`grant::Issuer`], [`grant::Holder`] | who may use a place of a backend server |
//! | [`health`] | [`health::Health`] | whether a backend server answers |
//! | [`limit`] | [`limit::Limiter`] | whose call goes on, waits or is refused |
//! | [`concurrency`], [`deadline`], [`retry`] | | how many at once, until when, how often |
//! | [`document`] | [`document::Document::parse`] | whether a configuration is valid |
//! | [`configuration`] | [`configuration::follow::Follower::open`] | which version is in force |
//! | [`membership`] | [`membership::Roster::new`] | which hosts there are and who takes work |
//! | [`lease`] | | who may act, and which fencing number proves it |
//!
//! Each takes an event and the time, and answers with actions that the embedder
//! carries out:
//!
//! ```
//! use std::time::Duration;
//!
//! use snipewinch::Digest;
//! use snipewinch::claim::Action;
//! use snipewinch::claim::Claim;
//! use snipewinch::claim::Completion;
//! use snipewinch::claim::Event;
//! use snipewinch::claim::Table;
//! use snipewinch::claim::Ticket;
//!
//! let mut claims = Table::open();
//! let claim = Claim {
//!     key: "customer/grant-7".into(),
//!     holder: "this call".into(),
//!     fingerprint: Digest::of(b"the request"),
//!     until_ms: 61_000,
//! };
//! let now = Duration::from_millis(5);
//! let wall_ms = 1_000;
//! let actions = claims.handle(now, wall_ms, Event::Claim(Ticket(1), claim));
//! let [Action::Transact(batch, changes)] = &actions[..] else {
//!     panic!("the claim is written before the call runs");
//! };
//! assert_eq!(changes[0].revision, 0, "on condition that the row is absent");
//!
//! // The embedder wrote it, and its table answered:
//! let committed = Event::Completed(*batch, Completion::Committed(1));
//! let actions = claims.handle(now, wall_ms, committed);
//! assert_eq!(actions, [Action::Grant(Ticket(1))]);
//! ```
//!
//! The programs under `examples/` embed the limits, the routing table, the
//! configuration follower and the claims over plain channels.

pub mod call;
pub mod claim;
pub mod concurrency;
pub mod configuration;
pub mod deadline;
pub mod digest;
pub mod dispatch;
pub mod document;
pub mod engine;
pub mod engine_config;
pub mod grant;
pub mod health;
pub mod host;
pub mod lease;
pub mod limit;
pub mod membership;
mod mix;
pub mod retry;
pub mod route;
pub mod routing;
pub mod weights;
pub mod wire;

pub use crate::digest::Digest;
