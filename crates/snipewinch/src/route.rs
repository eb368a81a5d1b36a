//! Which service answers a request, by host and path, and for which customer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::engine::Spec;
use crate::mix;

/// Everything that operators decide about requests.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Its version; a later one is greater.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// What callers may send.
    pub limits: Limits,
    /// The customers; none if no key is asked for.
    pub customers: Option<Vec<Customer>>,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, for logs.
    pub name: SmolStr,
    /// The host, in lower case.
    pub host: SmolStr,
    /// What the path begins with; ends with a slash.
    pub prefix: SmolStr,
    /// Whether its requests may run more than once.
    pub repeat: Repeat,
    /// How long a request may be kept waiting for its whole answer.
    pub timeout: Option<Duration>,
    /// Within which an answer, or a stream's first event, is on time.
    pub latency_goal: Duration,
    /// Its rank; 0 is the most urgent.
    pub priority: u32,
    /// The services that answer, by weight.
    pub targets: Vec<Target>,
    /// The most backend servers that one request may be sent to.
    pub attempts_max: u32,
    /// Whether no key is needed.
    pub public: bool,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// It may.
    Idempotent,
    /// At most once.
    Never,
    /// It is answered by a stream of events.
    Stream {
        /// Whether another backend server may go on after the last event.
        resumable: bool,
        /// The longest pause between events for which a stream is on time.
        gap: Duration,
    },
}

impl Repeat {
    /// Whether a request may be sent again although it may have run.
    pub fn may_rerun(self) -> bool {
        match self {
            Repeat::Idempotent => true,
            Repeat::Never => false,
            Repeat::Stream { resumable, .. } => resumable,
        }
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Repeat::Stream { .. })
    }
}

/// A service that a route goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service.
    pub service: SmolStr,
    /// Its part of the requests, against the sum of all weights.
    pub weight: f64,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: SmolStr,
    /// Connections that each backend server accepts in all.
    pub connections_max: Option<u32>,
    /// How its engines work, if it is a model's.
    pub engine: Option<Engine>,
    /// Where weights come from, if that is what it is for.
    pub origin: Option<Origin>,
}

/// How a service's model engines work.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Steps, of one token each, in a pass.
    pub stride: u32,
    /// The model.
    pub model: Option<SmolStr>,
    /// How long loading takes once the weights are on the host.
    pub warm: Duration,
    /// How long a step takes.
    pub step: Duration,
    /// How much longer for each request that writes.
    pub step_per_call: Duration,
    /// How much longer for each 1,000 tokens of context.
    pub step_per_kilotoken: Duration,
    /// Prompt tokens read in a second.
    pub read_per_s: f64,
    /// Tokens of a usual prompt.
    pub usual_prompt: f64,
    /// Tokens of a usual answer.
    pub usual_answer: f64,
    /// Pieces of one version of the weights.
    pub chunks: u32,
    /// The length of each piece, in bytes.
    pub chunk_bytes: u32,
}

impl Engine {
    /// How it works, for predictions.
    pub fn to_spec(&self) -> Spec {
        Spec {
            slots: self.slots,
            stride: self.stride,
            step: self.step,
            step_per_call: self.step_per_call,
            read_per_s: self.read_per_s,
        }
    }
}

/// Where weights come from.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Origin {
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone, if it is known.
    pub zone: Option<SmolStr>,
    /// The rate of its link, in Mbit/s.
    pub link_mbit: f64,
}

/// What callers may send and how long they may take.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Limits {
    /// The longest head.
    pub head_bytes_max: usize,
    /// The longest body.
    pub body_bytes_max: usize,
    /// How long a head may take to arrive.
    pub head_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

/// Who is answered.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// The name.
    pub name: SmolStr,
    /// The keys that its callers show.
    pub keys: Vec<SmolStr>,
    /// A rank that goes before the routes'.
    pub priority: Option<u32>,
}

/// Why a request has no route.
#[derive(Clone, Copy, Debug, Eq, PartialEq, snafu::Snafu)]
pub enum Refusal {
    /// No route matches host and path.
    #[snafu(display("no route matches the host and path; check both"))]
    NoRoute,
    /// The key is missing or belongs to nobody.
    #[snafu(display("the key is missing or not known; send the customer's key"))]
    UnknownKey,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug)]
pub struct Match<'a> {
    /// The route.
    pub route: &'a Route,
    /// Whose request it is; none on public routes without a key.
    pub customer: Option<&'a Customer>,
}

impl Match<'_> {
    /// The rank; 0 is the most urgent.
    pub fn priority(&self) -> u32 {
        let customer = self.customer.and_then(|customer| customer.priority);
        customer.unwrap_or(self.route.priority)
    }

    /// The service for a request, drawn by `seed`; none if the route has no
    /// target with a weight.
    pub fn service(&self, seed: u64) -> Option<&SmolStr> {
        let targets = &self.route.targets;
        let sum: f64 = targets.iter().map(|target| target.weight.max(0.0)).sum();
        let mut draw = mix::Rng::new(seed).unit() * sum;
        for target in targets.iter().filter(|target| target.weight > 0.0) {
            draw -= target.weight;
            if draw < 0.0 {
                return Some(&target.service);
            }
        }
        targets
            .iter()
            .rfind(|target| target.weight > 0.0)
            .map(|target| &target.service)
    }
}

/// Finds routes and customers.
#[derive(Clone, Debug, Default)]
pub struct Table {
    configuration: Configuration,
    hosts: HashMap<SmolStr, HashMap<SmolStr, usize>>,
    keys: HashMap<SmolStr, usize>,
}

impl Table {
    /// The table of a configuration.
    pub fn new(configuration: Configuration) -> Table {
        let mut hosts: HashMap<SmolStr, HashMap<SmolStr, usize>> = HashMap::new();
        for (place, route) in configuration.routes.iter().enumerate() {
            let prefixes = hosts.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), place);
        }
        let customers = configuration.customers.iter().flatten().enumerate();
        let keys = customers
            .flat_map(|(place, customer)| customer.keys.iter().map(move |key| (key.clone(), place)))
            .collect();
        Table {
            hosts,
            keys,
            configuration,
        }
    }

    /// The configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let mut services = self.configuration.services.iter();
        services.find(|service| service.name == name)
    }

    /// The route of a request and whose it is. `host` may have a port.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if there is no route or no customer.
    pub fn find(&self, host: &str, path: &str, key: Option<&str>) -> Result<Match<'_>, Refusal> {
        let route = self.route(host, path).ok_or(Refusal::NoRoute)?;
        let Some(customers) = &self.configuration.customers else {
            return Ok(Match {
                route,
                customer: None,
            });
        };
        let place = key.and_then(|key| self.keys.get(key));
        match place {
            None if !route.public => Err(Refusal::UnknownKey),
            place => Ok(Match {
                route,
                customer: place.map(|place| &customers[*place]),
            }),
        }
    }

    /// The route with the longest prefix that begins the path.
    fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = self.hosts.get(name.to_ascii_lowercase().as_str())?;
        let ends = path.char_indices().rev().filter(|(_, one)| *one == '/');
        ends.map(|(at, _)| &path[..=at])
            .find_map(|prefix| prefixes.get(prefix))
            .map(|place| &self.configuration.routes[*place])
    }
}
