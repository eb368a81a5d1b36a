//! What the programs write for people: log lines, which never wait for whoever reads
//! them, and text on standard output, whose reader may leave before its end.

mod text;
mod writer;

pub use text::print;
pub use writer::Writer;
