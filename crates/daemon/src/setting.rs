//! The settings of the daemon: their flags and environment variables, and the
//! faults that are reported for invalid values.

use std::fmt;
use std::str::FromStr;

use smol_str::SmolStr;

/// One setting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Setting {
    /// The flag without its leading dashes. [`Setting::variable`] gives the
    /// environment variable.
    pub name: &'static str,
    /// The default value; empty if there is none.
    pub default: &'static str,
    /// The purpose, as shown by `--settings`.
    pub help: &'static str,
    /// A description of valid values.
    pub expects: &'static str,
}

/// All settings, in the order of the documentation.
pub const SETTINGS: &[Setting] = &[
    setting(
        "role",
        "",
        "The role of this process.",
        "`entry` or `agent`",
    ),
    setting(
        "host",
        "",
        "The name of this host, unique in the fleet.",
        "a name such as `entry-1`",
    ),
    setting(
        "zone",
        "zone-1",
        "The availability zone of this host.",
        "a name",
    ),
    setting("region", "region-1", "The region of this host.", "a name"),
    setting(
        "service",
        "",
        "The service whose backend server runs on this host (agents).",
        "a service's name in the document",
    ),
    setting(
        "listen-peers",
        "127.0.0.1:0",
        "The address on which to listen for other snipewinch processes.",
        "an address such as `10.0.0.4:7400`",
    ),
    setting(
        "advertise",
        "",
        "The address at which other processes reach this one; --listen-peers by default.",
        "an address such as `10.0.0.4:7400`",
    ),
    setting(
        "listen-http",
        "127.0.0.1:0",
        "The address on which to listen for HTTP: callers, console, metrics and health.",
        "an address such as `10.0.0.4:8080`",
    ),
    setting(
        "listen-operators",
        "",
        "A separate address on which to listen for the console and metrics, instead of --listen-http.",
        "an address such as `10.0.0.4:8081`",
    ),
    setting(
        "platform",
        "http://127.0.0.1:7000",
        "The base URL of the platform: table service, object store and membership list.",
        "a URL such as `http://10.0.0.2:7000`",
    ),
    setting(
        "origin",
        "",
        "The base URL of the origin of weights; --platform by default.",
        "a URL such as `http://10.0.0.2:7100`",
    ),
    setting(
        "backend",
        "",
        "The base URL of the backend server on this host (agents).",
        "a URL such as `http://127.0.0.1:8000`",
    ),
    setting(
        "fleet-key",
        "",
        "The secret shared by all processes of the fleet.",
        "at least 16 characters, the same on every host",
    ),
    setting(
        "first-operator-key-digest",
        "",
        "The BLAKE3 digest of the operator key that is accepted for sign-in until a document names operators.",
        "64 hexadecimal digits",
    ),
    setting(
        "upload-mbit",
        "0",
        "The maximum rate at which this host sends weights to other hosts, in Mbit/s; 0 means no limit (agents).",
        "a whole number",
    ),
    setting(
        "region-mbit",
        "0",
        "The rate of a link between regions in each direction, in Mbit/s; 0 means that it is measured (agents).",
        "a whole number",
    ),
    setting(
        "weights-policy",
        "swarm",
        "The scheme by which weights are distributed; use schemes other than `swarm` only for comparison (agents).",
        "`swarm`, `tree` or `origin`",
    ),
    setting(
        "origin-region",
        "",
        "The region of the origin of weights; by default the first region in order of name (agents).",
        "a region's name, the same on every host",
    ),
    setting(
        "chunk-memory-mib",
        "4096",
        "The maximum memory for chunks of weights, in MiB (agents).",
        "a whole number above 0",
    ),
    setting(
        "collector",
        "",
        "The base URL of the collector to which traces are exported as OTLP over HTTP; if not set, no traces are exported.",
        "a URL such as `http://10.0.0.9:4318`",
    ),
    setting(
        "log",
        "text",
        "The format of log lines.",
        "`text` or `json`",
    ),
    setting(
        "log-level",
        "info",
        "The least severe level that is logged.",
        "`error`, `warn`, `info`, `debug` or `trace`",
    ),
    setting(
        "workers",
        "1",
        "The number of worker threads.",
        "a whole number from 1 to 64",
    ),
    setting(
        "leave-grace-ms",
        "500",
        "How long an entry still accepts calls after shutdown begins, so that the load balancer has time to notice, in milliseconds.",
        "a whole number",
    ),
    setting(
        "drain-limit-ms",
        "60000",
        "The maximum time to wait on shutdown for running calls to finish, in milliseconds.",
        "a whole number",
    ),
];

const fn setting(
    name: &'static str,
    default: &'static str,
    help: &'static str,
    expects: &'static str,
) -> Setting {
    Setting {
        name,
        default,
        help,
        expects,
    }
}

impl Setting {
    /// The environment variable: `SNIPEWINCH_` and the name in capitals, with
    /// underscores for dashes.
    pub fn variable(&self) -> String {
        let name = self.name.replace('-', "_").to_ascii_uppercase();
        format!("SNIPEWINCH_{name}")
    }
}

/// A setting that is missing or has an invalid value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The setting's name.
    pub name: &'static str,
    /// The value; empty if it is missing.
    pub value: SmolStr,
    /// A description of valid values.
    pub expects: &'static str,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault {
            name,
            value,
            expects,
        } = self;
        let variable = format!("SNIPEWINCH_{}", name.replace('-', "_").to_ascii_uppercase());
        match value.is_empty() {
            true => write!(
                f,
                "--{name} is missing: set it (or {variable}) to {expects}"
            ),
            false => write!(
                f,
                "--{name} is `{value}`: set it (or {variable}) to {expects}"
            ),
        }
    }
}

/// Parses settings one by one and collects all faults.
pub(crate) struct Reader<'a> {
    lookup: &'a dyn Fn(&Setting) -> Option<String>,
    faults: Vec<Fault>,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(lookup: &'a dyn Fn(&Setting) -> Option<String>) -> Reader<'a> {
        Reader {
            lookup,
            faults: Vec::new(),
        }
    }

    /// The text of a setting, or its default, which may be empty.
    pub(crate) fn text(&self, name: &'static str) -> String {
        let setting = find(name);
        (self.lookup)(setting).unwrap_or_else(|| setting.default.to_owned())
    }

    /// Parses a setting that must not be empty. Records a fault and returns
    /// `None` if it is missing or invalid.
    pub(crate) fn required<T: FromStr>(&mut self, name: &'static str) -> Option<T> {
        let text = self.text(name);
        let parsed = text.parse().ok().filter(|_| !text.is_empty());
        if parsed.is_none() {
            self.fault(name, &text);
        }
        parsed
    }

    /// Parses a setting that may be empty. Records a fault if it is set and
    /// invalid.
    pub(crate) fn optional<T: FromStr>(&mut self, name: &'static str) -> Option<T> {
        match self.text(name).is_empty() {
            true => None,
            false => self.required(name),
        }
    }

    pub(crate) fn fault(&mut self, name: &'static str, value: &str) {
        self.faults.push(Fault {
            name,
            value: value.into(),
            expects: find(name).expects,
        });
    }

    pub(crate) fn into_faults(self) -> Vec<Fault> {
        self.faults
    }
}

fn find(name: &str) -> &'static Setting {
    SETTINGS
        .iter()
        .find(|setting| setting.name == name)
        .expect("a name in SETTINGS")
}

/// The base of an HTTP URL, `http://host:port`, without a trailing slash.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct BaseUrl(pub(crate) String);

impl FromStr for BaseUrl {
    type Err = ();

    fn from_str(text: &str) -> Result<BaseUrl, ()> {
        let text = text.trim_end_matches('/');
        match text.strip_prefix("http://") {
            Some(rest) if !rest.is_empty() && !rest.contains(['/', ' ', '?']) => {
                Ok(BaseUrl(text.to_owned()))
            }
            _ => Err(()),
        }
    }
}
