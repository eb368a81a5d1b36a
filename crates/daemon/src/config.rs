//! All options of the daemon, checked and gathered before anything starts.

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
use crate::setting::Base;
use crate::setting::Reader;
use crate::setting::Setting;

/// The shortest fleet key, in characters.
const FLEET_KEY_MIN: usize = 16;
/// The most worker threads.
const WORKERS_MAX: usize = 64;

/// Every option of one daemon.
#[derive(Clone, Debug)]
pub struct Config {
    /// Which part this process plays.
    pub role: Role,
    /// The host's name.
    pub host: host::Name,
    /// Its availability zone.
    pub zone: host::Zone,
    /// Its region.
    pub region: host::Region,
    /// The service whose backend server stands here, for agents.
    pub service: Option<SmolStr>,
    /// Where to listen for peers.
    pub listen_peers: SocketAddr,
    /// Where peers reach this process, if not where it listens.
    pub advertise: Option<SocketAddr>,
    /// Where to listen for HTTP.
    pub listen_http: SocketAddr,
    /// Where to listen for the console and metrics, if apart from callers.
    pub listen_operators: Option<SocketAddr>,
    /// The base URL of the platform.
    pub platform: String,
    /// The base URL of the origin of weights.
    pub origin: String,
    /// The base URL of the backend server on this host, for agents.
    pub backend: Option<String>,
    /// The fleet's secret.
    pub fleet_key: FleetKey,
    /// The fleet's secret as text, from which other keys are derived.
    pub(crate) fleet_secret: Secret,
    /// Who may sign in until a document names operators.
    pub first_operator: Option<Digest>,
    /// The most this host sends for weights, in Mbit/s; none means no limit.
    pub upload_mbit: Option<u64>,
    /// The rate of a link between regions, in Mbit/s; none if it is not known.
    pub region_mbit: Option<u64>,
    /// By which scheme weights spread.
    pub weights_policy: Policy,
    /// The region of the origin of weights; none means the first by name.
    pub origin_region: Option<host::Region>,
    /// The most memory for chunks, in bytes.
    pub chunk_memory_bytes: u64,
    /// The base URL of the collector of traces.
    pub collector: Option<String>,
    /// How log lines look.
    pub log: LogFormat,
    /// The least severe level that is logged.
    pub log_level: ::log::LevelFilter,
    /// Threads that run the daemon.
    pub workers: usize,
    /// How long a stopping entry keeps accepting.
    pub leave_grace: Duration,
    /// How long a stopping process waits for its calls.
    pub drain_limit: Duration,
}

/// A text that is never printed.
#[derive(Clone)]
pub(crate) struct Secret(pub(crate) SmolStr);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// How log lines look.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// Text for people.
    #[default]
    Text,
    /// One JSON object a line.
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
    /// Starts a configuration in code, for a process that embeds the daemon.
    pub fn builder(host: &str, role: Role) -> Builder {
        let role = match role {
            Role::Entry => "entry",
            Role::Agent => "agent",
        };
        Builder::default().set("host", host).set("role", role)
    }

    /// Reads every setting by `lookup` and checks it.
    ///
    /// # Errors
    ///
    /// [`Error::Settings`] with all faults at once.
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
        let platform = reader.required::<Base>("platform");
        let origin = reader.optional::<Base>("origin");
        let backend = reader.optional::<Base>("backend");
        let fleet_secret = fleet_secret(reader);
        let first_operator = reader.optional("first-operator-key-digest");
        let upload_mbit = reader.required::<u64>("upload-mbit");
        let region_mbit = reader.required::<u64>("region-mbit");
        let weights_policy = reader.required::<Policy>("weights-policy");
        let origin_region = reader.optional::<SmolStr>("origin-region");
        let chunk_memory_mib = bounded(reader, "chunk-memory-mib", 1, u64::MAX >> 20);
        let collector = reader.optional::<Base>("collector");
        let log = reader.required("log");
        let log_level = reader.required("log-level");
        let workers = bounded(reader, "workers", 1, WORKERS_MAX as u64);
        let leave_grace_ms = reader.required("leave-grace-ms");
        let drain_limit_ms = reader.required("drain-limit-ms");
        if role == Some(Role::Agent) {
            demand(reader, "service", service.is_some());
            demand(reader, "backend", backend.is_some());
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
    if text.chars().count() >= FLEET_KEY_MIN {
        return Some(text.into());
    }
    // The secret itself never goes into a message.
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

/// Reports a setting that this role can't do without. A bad value has been
/// reported already.
fn demand(reader: &mut Reader<'_>, name: &'static str, present: bool) {
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
    /// Sets the setting with this flag name, as its flag would.
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

    /// Checks everything.
    ///
    /// # Errors
    ///
    /// [`Error::Settings`] with all faults at once.
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
