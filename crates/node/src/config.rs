//! The settings of the process.

use std::path::PathBuf;

use platform::boot::Settings;
use snipewinch::hedge;

/// All settings, read and checked before the process starts its work.
#[derive(Clone, Debug)]
pub struct Config {
    /// The settings from the platform.
    pub settings: Settings,
    /// The file of these settings, which is read again on SIGHUP.
    pub path: PathBuf,
    /// The port for metrics; 0 means any free port.
    pub metrics_port: u16,
    /// The least severe level that is logged.
    pub log_level: log::LevelFilter,
    /// The share of a service's requests that may get a second attempt.
    pub second_attempts: hedge::Limit,
}
