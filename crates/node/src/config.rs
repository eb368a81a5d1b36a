//! The settings of the process.

use std::path::PathBuf;

use platform::boot::Settings;

/// Every setting, read and checked before anything starts.
#[derive(Clone, Debug)]
pub struct Config {
    /// What the platform says.
    pub settings: Settings,
    /// Where that was read, to be read again on SIGHUP.
    pub path: PathBuf,
    /// The port for metrics; 0 takes a free one.
    pub metrics_port: u16,
    /// The least severe level that is logged.
    pub log_level: log::LevelFilter,
}
