//! The console: the one way in for operators.
//!
//! Server-rendered forms that work without scripts and by keyboard, on every
//! entry host. The console keeps nothing: sessions are signed cookies that any
//! entry accepts, and a draft travels in the form itself.

mod check;
mod console;
mod draft;
mod error;
mod field;
mod handlers;
mod html;
mod page;
mod publisher;
mod request;
mod session;
pub mod status;
mod throttle;

pub use crate::console::Config;
pub use crate::console::Console;
