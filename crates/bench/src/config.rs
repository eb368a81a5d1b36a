//! The experiment `config`.

use std::ffi::OsString;

use crate::Error;

/// Runs the experiment with the flags after its name.
///
/// # Errors
///
/// [`Error`] if it ends early.
pub async fn run(_arguments: Vec<OsString>) -> Result<(), Error> {
    Err(Error::Absent { name: "config" })
}
