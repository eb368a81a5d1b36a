//! What a fleet consists of.

use snipewinch::document;
use snipewinch::document::Document;

use crate::deployment;
use crate::deployment::Deployment;

/// What to start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Where hosts stand.
    pub deployment: Deployment,
    /// Services, customers and operators; models are added when published.
    pub document: Document,
    /// Decides every draw of the experiment.
    pub seed: u64,
    /// The origin's rate over all readers, in megabits a second.
    pub origin_mbit: f64,
    /// The most that one host sends for weights, in megabits a second.
    pub upload_mbit: u64,
    /// By which scheme weights spread; none means as by default.
    pub weights_policy: Option<String>,
    /// The most memory of one host for chunks, in MiB.
    pub chunk_memory_mib: u64,
    /// How far the membership list lags, in milliseconds.
    pub membership_lag_ms: u64,
    /// How the engines behave.
    pub engines: EngineSettings,
    /// How long a call of a plain service takes, in milliseconds.
    pub work_ms: u64,
    /// Whether regions reach each other over paced links.
    pub relayed: bool,
    /// Whether there is a collector of traces.
    pub traced: bool,
    /// Engines without a host, for hosts that join later.
    pub spare_engines: usize,
    /// The least severe level that daemons log.
    pub log_level: &'static str,
    /// How long a stopping entry keeps accepting, in milliseconds.
    pub leave_grace_ms: u64,
}

/// How the engines of a fleet behave.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Sequences that one engine generates at once.
    pub slots: usize,
    /// Time of one step, in microseconds.
    pub step_us: u64,
    /// Time to swap weights in, in milliseconds.
    pub swap_ms: u64,
    /// Whether orders with an old fencing number are obeyed.
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
    /// A deployment and its document, with ordinary rates.
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

    /// The Bluebonnet deployment with other numbers of hosts: so many entries,
    /// engine hosts and hosts of each plain service, over its first regions.
    pub fn sized(entries: usize, engines: usize, plain: usize, regions: usize, seed: u64) -> Plan {
        let (mut hosts, document) =
            deployment::example("bluebonnet").expect("the example is part of the program");
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

    /// Whether a service is answered by model engines.
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
