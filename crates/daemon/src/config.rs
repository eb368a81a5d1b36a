//! The settings of the daemon, parsed and checked before anything starts.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use peer::FleetKey;
use smol_str::SmolStr;
use snipewinch::Digest;
use snipewinch::host;
use snipewinch::host::Role;
use snipewinch::weights::plan::Policy;

use crate::Error;
use crate::setting::BaseUrl;
use crate::setting::Reader;
use crate::setting::Setting;

/// The minimum length of the fleet key.
const FLEET_KEY_MIN_CHARS: usize = 16;
/// The maximum number of worker threads.
const WORKERS_MAX: usize = 64;

/// The settings of one daemon.
#[derive(Clone, Debug)]
pub struct Config {
    /// The role of this process.
    pub role: Role,
    /// The host's name.
    pub host: host::Name,
    /// Its availability zone.
    pub zone: host::Zone,
    /// Its region.
    pub region: host::Region,
    /// At an agent: the service whose backend server runs on this host.
    pub service: Option<SmolStr>,
    /// The address on which to listen for peers.
    pub listen_peers: SocketAddr,
    /// The address at which peers reach this process, if not `listen_peers`.
    pub advertise: Option<SocketAddr>,
    /// The address on which to listen for HTTP.
    pub listen_http: SocketAddr,
    /// The address on which to listen for the console and metrics, if separate
    /// from callers.
    pub listen_operators: Option<SocketAddr>,
    /// The base URL of the platform.
    pub platform: String,
    /// The base URL of the origin of weights.
    pub origin: String,
    /// At an agent: the base URL of the backend server on this host.
    pub backend: Option<String>,
    /// The key that links between hosts prove, derived from the fleet's secret.
    pub fleet_key: FleetKey,
    /// The fleet's secret, from which further keys are derived.
    pub(crate) fleet_secret: Secret,
    /// The BLAKE3 digest of the key that may sign in until a document names
    /// operators.
    pub first_operator: Option<Digest>,
    /// The maximum rate at which this host sends weights to other hosts, in
    /// Mbit/s; `None` means no limit.
    pub upload_mbit: Option<u64>,
    /// The rate of a link between regions in each direction, in Mbit/s; `None`
    /// means that it is measured.
    pub region_mbit: Option<u64>,
    /// The scheme by which weights are distributed.
    pub weights_policy: Policy,
    /// The region of the origin of weights; `None` means the first by name.
    pub origin_region: Option<host::Region>,
    /// The maximum memory for chunks of weights, in bytes.
    pub chunk_memory_bytes: u64,
    /// The base URL of the collector of traces; `None` means that no traces are
    /// exported.
    pub collector: Option<String>,
    /// The format of log lines.
    pub log: LogFormat,
    /// The least severe level that is logged.
    pub log_level: ::log::LevelFilter,
    /// The number of worker threads.
    pub workers: usize,
    /// How long an entry that shuts down still accepts calls.
    pub leave_grace: Duration,
    /// How long a process that shuts down waits for its calls.
    pub drain_limit: Duration,
}

/// A text that `Debug` does not print.
#[derive(Clone)]
pub(crate) struct Secret(pub(crate) SmolStr);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

impl FromStr for LogFormat {
    type Err = ();

    fn from_str(text: &str) -> Result<LogFormat, ()> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => Err(()),
        }
    }
}

impl Config {
    /// Starts to build the settings in code, for a process that embeds the
    /// daemon.
    pub fn builder(host: &str, role: Role) -> Builder {
        let role = match role {
            Role::Entry => "entry",
            Role::Agent => "agent",
        };
        Builder::default().set("host", host).set("role", role)
    }

    /// Reads every setting by `lookup` and checks them all.
    ///
    /// # Errors
    ///
    /// [`Error::Settings`] with the faults of all settings.
    pub fn read(lookup: &dyn Fn(&Setting) -> Option<String>) -> Result<Config, Error> {
        let mut reader = Reader::new(lookup);
        let config = Config::collect(&mut reader);
        let faults = reader.into_faults();
        match config {
            Some(config) if faults.is_empty() => Ok(config),
            _ => Err(Error::Settings { faults }),
        }
    }

    fn collect(reader: &mut Reader<'_>) -> Option<Config> {
        let role = role(reader);
        let host = reader.required::<SmolStr>("host");
        let zone = reader.required::<SmolStr>("zone");
        let region = reader.required::<SmolStr>("region");
        let service = reader.optional::<SmolStr>("service");
        let listen_peers = reader.required("listen-peers");
        let advertise = reader.optional("advertise");
        let listen_http = reader.required("listen-http");
        let listen_operators = reader.optional("listen-operators");
        let platform = reader.required::<BaseUrl>("platform");
        let origin = reader.optional::<BaseUrl>("origin");
        let backend = reader.optional::<BaseUrl>("backend");
        let fleet_secret = fleet_secret(reader);
        let first_operator = reader.optional("first-operator-key-digest");
        let upload_mbit = reader.required::<u64>("upload-mbit");
        let region_mbit = reader.required::<u64>("region-mbit");
        let weights_policy = reader.required::<Policy>("weights-policy");
        let origin_region = reader.optional::<SmolStr>("origin-region");
        let chunk_memory_mib = bounded(reader, "chunk-memory-mib", 1, u64::MAX >> 20);
        let collector = reader.optional::<BaseUrl>("collector");
        let log = reader.required("log");
        let log_level = reader.required("log-level");
        let workers = bounded(reader, "workers", 1, WORKERS_MAX as u64);
        let leave_grace_ms = reader.required("leave-grace-ms");
        let drain_limit_ms = reader.required("drain-limit-ms");
        if role == Some(Role::Agent) {
            require(reader, "service", service.is_some());
            require(reader, "backend", backend.is_some());
        }
        let platform = platform?.0;
        let fleet_secret = fleet_secret?;
        Some(Config {
            role: role?,
            host: host::Name(host?),
            zone: host::Zone(zone?),
            region: host::Region(region?),
            service,
            listen_peers: listen_peers?,
            advertise,
            listen_http: listen_http?,
            listen_operators,
            origin: origin.map_or_else(|| platform.clone(), |base| base.0),
            platform,
            backend: backend.map(|base| base.0),
            fleet_key: FleetKey::new(&fleet_secret),
            fleet_secret: Secret(fleet_secret),
            first_operator,
            upload_mbit: upload_mbit.filter(|mbit| *mbit > 0),
            region_mbit: region_mbit.filter(|mbit| *mbit > 0),
            weights_policy: weights_policy?,
            origin_region: origin_region.map(host::Region),
            chunk_memory_bytes: chunk_memory_mib? << 20,
            collector: collector.map(|base| base.0),
            log: log?,
            log_level: log_level?,
            workers: workers? as usize,
            leave_grace: Duration::from_millis(leave_grace_ms?),
            drain_limit: Duration::from_millis(drain_limit_ms?),
        })
    }
}

fn role(reader: &mut Reader<'_>) -> Option<Role> {
    let text = reader.text("role");
    match text.as_str() {
        "agent" => Some(Role::Agent),
        "entry" => Some(Role::Entry),
        _ => {
            reader.fault("role", &text);
            None
        }
    }
}

fn fleet_secret(reader: &mut Reader<'_>) -> Option<SmolStr> {
    let text = reader.text("fleet-key");
    if text.chars().count() >= FLEET_KEY_MIN_CHARS {
        return Some(text.into());
    }
    // Messages must never contain the secret itself.
    let shown = if text.is_empty() { "" } else { "(too short)" };
    reader.fault("fleet-key", shown);
    None
}

fn bounded(reader: &mut Reader<'_>, name: &'static str, min: u64, max: u64) -> Option<u64> {
    let value = reader.required::<u64>(name)?;
    if (min..=max).contains(&value) {
        return Some(value);
    }
    reader.fault(name, &value.to_string());
    None
}

/// Reports a setting that this role requires and that is not set. An invalid
/// value has been reported already.
fn require(reader: &mut Reader<'_>, name: &'static str, present: bool) {
    if !present && reader.text(name).is_empty() {
        reader.fault(name, "");
    }
}

/// Builds a [`Config`] in code.
#[derive(Clone, Debug, Default)]
pub struct Builder {
    values: Vec<Value>,
}

#[derive(Clone, Debug)]
struct Value {
    name: &'static str,
    text: String,
}

impl Builder {
    /// Sets the setting with this name, as its flag does. The last value
    /// counts.
    pub fn set(mut self, name: &'static str, text: impl Into<String>) -> Builder {
        self.values.push(Value {
            name,
            text: text.into(),
        });
        self
    }

    /// Sets the fleet's secret.
    pub fn fleet_key(self, secret: &str) -> Builder {
        self.set("fleet-key", secret)
    }

    /// Sets the platform's base URL.
    pub fn platform(self, url: &str) -> Builder {
        self.set("platform", url)
    }

    /// Checks all settings.
    ///
    /// # Errors
    ///
    /// [`Error::Settings`] with the faults of all settings.
    pub fn build(self) -> Result<Config, Error> {
        Config::read(&|setting| {
            self.values
                .iter()
                .rev()
                .find(|value| value.name == setting.name)
                .map(|value| value.text.clone())
        })
    }
}
