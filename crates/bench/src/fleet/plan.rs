//! The plan of a fleet: its hosts, its document and its settings.

use snipewinch::document;
use snipewinch::document::Document;

use crate::deployment;
use crate::deployment::Deployment;

/// The hosts, the document and the settings of a fleet to start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The regions, links and numbers of hosts.
    pub deployment: Deployment,
    /// The document with services, customers and operators. Models are added
    /// when they are published.
    pub document: Document,
    /// The seed of the random number generators of the experiment.
    pub seed: u64,
    /// The rate of the origin, shared by all readers, in megabits a second.
    pub origin_mbit: f64,
    /// The maximum rate at which one host uploads weights, in megabits a
    /// second.
    pub upload_mbit: u64,
    /// The policy by which weights are distributed; none means `swarm`.
    pub weights_policy: Option<String>,
    /// The maximum memory for chunks on each host, in MiB.
    pub chunk_memory_mib: u64,
    /// How far reads of the membership list lag behind writes, in milliseconds.
    pub membership_lag_ms: u64,
    /// The settings of the engines.
    pub engines: EngineSettings,
    /// How long a plain service works on a call, in milliseconds.
    pub work_ms: u64,
    /// Whether a relay paces and delays the connections between regions.
    pub relayed: bool,
    /// Whether to start a trace collector.
    pub traced: bool,
    /// The number of engines without an agent, for hosts added later.
    pub spare_engines: usize,
    /// The lowest level that daemons log.
    pub log_level: &'static str,
    /// How long a stopping entry keeps accepting calls, in milliseconds.
    pub leave_grace_ms: u64,
}

/// The settings of the engines of a fleet.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// The number of sequences that one engine generates concurrently.
    pub slots: usize,
    /// The duration of one step of an engine, in microseconds.
    pub step_us: u64,
    /// How long an engine takes to swap weights, in milliseconds.
    pub swap_ms: u64,
    /// Whether engines carry out orders with an outdated fencing number.
    pub ignore_fence: bool,
}

impl Default for EngineSettings {
    fn default() -> EngineSettings {
        EngineSettings {
            slots: 16,
            step_us: 10_000,
            swap_ms: 200,
            ignore_fence: false,
        }
    }
}

impl Plan {
    /// A plan for a deployment and its document, with default settings.
    pub fn of(deployment: Deployment, document: Document, seed: u64) -> Plan {
        Plan {
            deployment,
            document,
            seed,
            origin_mbit: 80.0,
            upload_mbit: 40,
            weights_policy: None,
            chunk_memory_mib: 256,
            membership_lag_ms: 1000,
            engines: EngineSettings::default(),
            work_ms: 2,
            relayed: true,
            traced: false,
            spare_engines: 0,
            log_level: "warn",
            leave_grace_ms: 500,
        }
    }

    /// A plan for the first `regions` of the Bluebonnet example, with other
    /// numbers of hosts: `engines` and `plain` are the hosts of each engine
    /// service and of each plain service.
    pub fn sized(entries: usize, engines: usize, plain: usize, regions: usize, seed: u64) -> Plan {
        let (mut hosts, document) = deployment::example("bluebonnet")
            .expect("the bluebonnet example is embedded and valid");
        hosts.entries = entries;
        hosts.regions.truncate(regions.max(1));
        for service in &mut hosts.services {
            service.runners = match is_engine(&document, &service.name) {
                true => engines,
                false => plain,
            };
        }
        Plan::of(hosts, document, seed)
    }

    /// Whether the backend servers of a service are model engines.
    pub fn is_engine(&self, service: &str) -> bool {
        is_engine(&self.document, service)
    }

    /// The name of the model that the first engine service serves.
    pub fn model(&self) -> &str {
        let models = self.document.services.iter();
        let mut models = models.filter_map(|service| match &service.backend {
            document::Backend::Engine { model } => Some(model.as_str()),
            document::Backend::Plain { .. } => None,
        });
        models.next().unwrap_or("model")
    }

    fn host_count(&self, engine: bool) -> usize {
        let services = self.deployment.services.iter();
        services
            .filter(|service| self.is_engine(&service.name) == engine)
            .map(|service| service.runners)
            .sum()
    }

    pub(super) fn platform_flags(&self) -> Vec<String> {
        flags(&[
            ("--origin-mbit", self.origin_mbit.to_string()),
            ("--lag-ms", self.membership_lag_ms.to_string()),
            ("--seed", self.seed.to_string()),
        ])
    }

    pub(super) fn engine_flags(&self) -> Vec<String> {
        let count = self.host_count(true) + self.spare_engines;
        let mut list = flags(&[
            ("--count", count.to_string()),
            ("--slots", self.engines.slots.to_string()),
            ("--step-us", self.engines.step_us.to_string()),
            ("--swap-ms", self.engines.swap_ms.to_string()),
        ]);
        if self.engines.ignore_fence {
            list.push("--ignore-fence".to_owned());
        }
        list
    }

    pub(super) fn service_flags(&self) -> Vec<String> {
        flags(&[
            ("--count", self.host_count(false).to_string()),
            ("--work-ms", self.work_ms.to_string()),
        ])
    }
}

fn is_engine(document: &Document, service: &str) -> bool {
    let found = document.services.iter().find(|s| s.name == service);
    found.is_some_and(|s| matches!(s.backend, document::Backend::Engine { .. }))
}

pub(super) fn flags(pairs: &[(&str, String)]) -> Vec<String> {
    pairs
        .iter()
        .flat_map(|(name, value)| [(*name).to_owned(), value.clone()])
        .collect()
}
