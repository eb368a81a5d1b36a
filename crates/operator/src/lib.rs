//! The operator console, the only interface through which operators change the
//! configuration.
//!
//! Every entry host serves it as server-rendered forms that work without
//! scripts and by keyboard. The console stores no state of its own: sessions
//! are signed cookies that any entry accepts, and each form carries its draft.

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
