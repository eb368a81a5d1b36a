//! Coordination modules that distribute model weights and route live calls
//! across many small hosts.
//!
//! Every module is a deterministic state machine: its inputs are events, the
//! time and seeds, and its outputs are actions. No code here opens a socket,
//! reads a clock or uses a global random number generator, so the same code runs
//! under a seeded test driver, in the `snipewinchd` daemon and in programs that
//! embed a single module.
//!
//! Time is always a [`std::time::Duration`] since an epoch that the embedder
//! chooses, usually the start of its process, and it never goes back.
//!
//! # Modules
//!
//! | module | entry point | what it decides |
//! |---|---|---|
//! | [`weights`] | [`weights::swarm::Swarm::new`] | which agent fetches which chunk from which peer |
//! | [`weights`] | [`weights::load`] | when an engine may load weights, and with which fencing number |
//! | [`call`] | [`call::entry::Entry::open`] | how a call ends when links and hosts are lost |
//! | [`call`] | [`call::agent::Agent::open`] | which attempts run, once each, and which results are kept |
//! | [`claim`] | [`claim::Table::open`] | whether a call with an idempotency key may run |
//! | [`routing`] | [`routing::Table`] | which backend server answers a call |
//! | [`route`] | [`route::Table::new`] | which service answers a host and path, for which customer |
//! | [`dispatch`] | [`dispatch::Queue`] | which request gets a free slot, which agents to demand slots from, which requests to refuse |
//! | [`cutover`] | [`cutover::admit`] | whether a request may still be sent to a server with older weights |
//! | [`engine`] | [`engine::Predictor`] | when an engine's next answer begins |
//! | [`grant`] | [`grant::Issuer`], [`grant::Holder`] | which entry may use a slot of a backend server |
//! | [`attempt`] | [`attempt::Attempts`] | when a request goes to another backend server, and when it ends without an answer |
//! | [`health`] | [`health::Health`] | when a backend server is ejected and readmitted |
//! | [`pace`] | [`pace::Estimate`] | how long work takes at a backend server now |
//! | [`hedge`] | [`hedge::Hedge`] | which slow requests also go to a second backend server |
//! | [`quarantine`] | [`quarantine::Ledger`] | which work is blocked because servers end under it |
//! | [`limit`] | [`limit::Limiter`] | which calls are admitted, wait or are refused |
//! | [`concurrency`], [`deadline`], [`retry`] | | how many calls run at once, until when, and how often they are retried |
//! | [`document`] | [`document::Document::parse`] | whether a configuration is valid |
//! | [`configuration`] | [`configuration::follow::Follower::open`] | which version of the configuration is in force |
//! | [`membership`] | [`membership::Roster::new`] | which hosts exist and which of them take work |
//! | [`position`] | [`position::Eras`] | whether what was read of a store still holds after it was restored |
//! | [`lease`] | | which process holds a lease, and under which fencing number |
//!
//! Each takes an event and the time, and returns actions that the embedder
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
//! assert_eq!(changes[0].revision, 0, "written only if the row is absent");
//!
//! // The embedder ran the transaction, and the table committed it:
//! let committed = Event::Completed(*batch, Completion::Committed(1));
//! let actions = claims.handle(now, wall_ms, committed);
//! assert_eq!(actions, [Action::Grant(Ticket(1))]);
//! ```
//!
//! The programs under `examples/` embed the limits, the routing table, the
//! configuration follower and the claims, and connect them by channels.

pub mod attempt;
pub mod call;
pub mod claim;
pub mod cold;
pub mod concurrency;
pub mod configuration;
pub mod contact;
pub mod cutover;
pub mod deadline;
pub mod digest;
pub mod dispatch;
pub mod document;
pub mod engine;
pub mod engine_config;
pub mod evacuation;
pub mod grant;
pub mod health;
pub mod hedge;
pub mod host;
pub mod lateness;
pub mod lease;
pub mod limit;
pub mod membership;
mod mix;
pub mod pace;
pub mod placement;
pub mod position;
pub mod quarantine;
pub mod region;
pub mod retry;
pub mod route;
pub mod routing;
pub mod server_limit;
pub mod transit;
pub mod urgency;
pub mod weights;
pub mod wire;

pub use crate::digest::Digest;
