//! Routes requests to services by host and path, and finds the customer of
//! each.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::cold;
use crate::engine::Spec;
use crate::mix;
use crate::region;
use crate::urgency;

/// The operators' configuration of requests.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// The version; increases with each change.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The limits of requests and connections.
    pub limits: Limits,
    /// The customers; none if no key is required.
    pub customers: Option<Vec<Customer>>,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, for logs.
    pub name: SmolStr,
    /// The host, in lower case.
    pub host: SmolStr,
    /// The prefix of the path; ends with a slash.
    pub prefix: SmolStr,
    /// Whether requests may be executed more than once.
    pub repeat: Repeat,
    /// The longest time until the complete answer of a request.
    pub timeout: Option<Duration>,
    /// The time within which an answer, or the first event of a stream, is on
    /// time.
    pub latency_goal: Duration,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The services between which requests are split by weight.
    pub targets: Vec<Target>,
    /// The largest number of backend servers to which a request may be sent.
    pub attempts_max: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Where its requests may be served and kept.
    pub regions: region::Set,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// It may be executed more than once.
    Idempotent,
    /// It may be executed at most once.
    Never,
    /// The answer is a stream of events.
    Stream {
        /// Whether another backend server may resume the stream after the last
        /// event.
        resumable: bool,
        /// The longest pause between events with which a stream is on time.
        gap: Duration,
    },
}

impl Repeat {
    /// Whether a request that may have been executed may be sent again.
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

/// A service to which a route sends requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service.
    pub service: SmolStr,
    /// Its share of the requests, relative to the sum of all weights.
    pub weight: f64,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: SmolStr,
    /// The largest number of connections that each backend server accepts.
    pub connections_max: Option<u32>,
    /// The parameters of its engines, if it serves a model.
    pub engine: Option<Engine>,
    /// The origin of weights, if the service is one.
    pub origin: Option<Origin>,
    /// How its backend servers start; none if they take any number of requests at once.
    pub cold: Option<cold::Terms>,
}

/// The parameters of the model engines of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Engine {
    /// The number of requests that run at once.
    pub slots: u32,
    /// The number of steps, of one token each, in a pass.
    pub stride: u32,
    /// The model.
    pub model: Option<SmolStr>,
    /// The time to load the weights once they are on the host.
    pub warm: Duration,
    /// The duration of a step.
    pub step: Duration,
    /// The additional duration of a step for each request that generates.
    pub step_per_call: Duration,
    /// The additional duration of a step for each 1,000 tokens of context.
    pub step_per_kilotoken: Duration,
    /// Prompt tokens processed per second.
    pub read_per_s: f64,
    /// Tokens in a typical prompt.
    pub usual_prompt: f64,
    /// Tokens in a typical answer.
    pub usual_answer: f64,
    /// The number of chunks in a version of the weights.
    pub chunks: u32,
    /// The size of each chunk, in bytes.
    pub chunk_bytes: u32,
}

impl Engine {
    /// The parameters used to predict the time of answers.
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

/// The origin of the weights.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Origin {
    /// The address.
    pub address: SocketAddr,
    /// The availability zone, if it is known.
    pub zone: Option<SmolStr>,
    /// The bandwidth of its link, in Mbit/s.
    pub link_mbit: f64,
}

/// The limits of requests and connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Limits {
    /// The largest request head, in bytes.
    pub head_bytes_max: usize,
    /// The largest request body, in bytes.
    pub body_bytes_max: usize,
    /// The longest time until the request head has been received.
    pub head_timeout: Duration,
    /// The longest time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// A customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// The name.
    pub name: SmolStr,
    /// The keys with which its callers authenticate.
    pub keys: Vec<SmolStr>,
    /// A priority that overrides that of the routes.
    pub priority: Option<u32>,
    /// Where its requests may be served and kept.
    pub regions: region::Set,
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

/// The route and the customer of a request.
#[derive(Clone, Copy, Debug)]
pub struct Match<'a> {
    /// The route.
    pub route: &'a Route,
    /// The customer; none for a request without a known key on a public route,
    /// and if no keys are configured.
    pub customer: Option<&'a Customer>,
}

impl Match<'_> {
    /// The priority; 0 is the most urgent.
    pub fn priority(&self) -> u32 {
        let customer = self.customer.and_then(|customer| customer.priority);
        customer.unwrap_or(self.route.priority)
    }

    /// Its place in the order of requests: a customer's priority takes precedence, and
    /// among equals that of the route counts; 0 is the most urgent.
    pub fn urgency(&self) -> u32 {
        urgency::level(self.priority(), self.route.priority)
    }

    /// The regions that both the route and the customer allow.
    pub fn regions(&self) -> region::Set {
        match self.customer {
            Some(customer) => self.route.regions.intersection(&customer.regions),
            None => self.route.regions.clone(),
        }
    }

    /// The service for a request, chosen at random by weight with `seed`; none
    /// if the route has no target with a positive weight.
    pub fn service(&self, seed: u64) -> Option<&SmolStr> {
        let targets = &self.route.targets;
        let sum: f64 = targets.iter().map(|target| target.weight.max(0.0)).sum();
        let mut remainder = mix::Rng::new(seed).unit() * sum;
        for target in targets.iter().filter(|target| target.weight > 0.0) {
            remainder -= target.weight;
            if remainder < 0.0 {
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
    routes_by_host: HashMap<SmolStr, HashMap<SmolStr, usize>>,
    keys: HashMap<SmolStr, usize>,
}

impl Table {
    /// Creates the table of a configuration.
    pub fn new(configuration: Configuration) -> Table {
        let mut routes_by_host: HashMap<SmolStr, HashMap<SmolStr, usize>> = HashMap::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            let prefixes = routes_by_host.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), index);
        }
        let customers = configuration.customers.iter().flatten().enumerate();
        let keys = customers
            .flat_map(|(index, customer)| customer.keys.iter().map(move |key| (key.clone(), index)))
            .collect();
        Table {
            routes_by_host,
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

    /// A route by its name.
    pub fn route_named(&self, name: &str) -> Option<&Route> {
        let mut routes = self.configuration.routes.iter();
        routes.find(|route| route.name == name)
    }

    /// A customer by its name.
    pub fn customer(&self, name: &str) -> Option<&Customer> {
        let mut customers = self.configuration.customers.iter().flatten();
        customers.find(|customer| customer.name == name)
    }

    /// Finds the route and the customer of a request. `host` may have a port.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if no route matches or the key is not known.
    pub fn find(&self, host: &str, path: &str, key: Option<&str>) -> Result<Match<'_>, Refusal> {
        let route = self.route(host, path).ok_or(Refusal::NoRoute)?;
        let Some(customers) = &self.configuration.customers else {
            return Ok(Match {
                route,
                customer: None,
            });
        };
        let index = key.and_then(|key| self.keys.get(key));
        match index {
            None if !route.public => Err(Refusal::UnknownKey),
            index => Ok(Match {
                route,
                customer: index.map(|index| &customers[*index]),
            }),
        }
    }

    /// The route with the longest prefix of the path.
    fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = self
            .routes_by_host
            .get(name.to_ascii_lowercase().as_str())?;
        let slashes = path.char_indices().rev().filter(|(_, c)| *c == '/');
        slashes
            .map(|(at, _)| &path[..=at])
            .find_map(|prefix| prefixes.get(prefix))
            .map(|index| &self.configuration.routes[*index])
    }
}
