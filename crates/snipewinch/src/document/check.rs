//! Validates a document and reports all faults at once.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;

use smol_str::SmolStr;

use super::Backend;
use super::Customer;
use super::Document;
use super::Model;
use super::Service;
use super::TEXT_MAX_BYTES;
use crate::Digest;

/// The longest name, in bytes. Allowed characters have one byte each.
pub const NAME_MAX_BYTES: usize = 64;
/// The largest share of a customer, as a weight relative to other customers.
pub const SHARE_MAX: u32 = 100;
/// The highest priority of a customer.
pub const PRIORITY_MAX: u8 = 9;
/// The largest concurrency of one backend server.
pub const CONCURRENCY_MAX: u32 = 4096;
/// The longest deadline of a call, in milliseconds.
pub const DEADLINE_MAX_MS: u64 = 3_600_000;
/// The most entries in one list.
pub const LIST_MAX_ENTRIES: usize = 10_000;

/// A reason why a document is not accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The path of the field, such as `services[2].concurrency`; empty for the
    /// document as a whole.
    pub path: SmolStr,
    /// A description of the problem.
    pub problem: String,
    /// How to correct it.
    pub remedy: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.path, self.problem, self.remedy)
    }
}

/// A manifest named in the document, which the object store must have.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ManifestReference {
    /// The path of the field that names it.
    pub path: SmolStr,
    /// The digest of the manifest.
    pub manifest: Digest,
}

/// The result of looking up a manifest in the object store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoredObject {
    /// There is no object under the manifest's name.
    Absent,
    /// There is an object with this digest.
    Present(Digest),
    /// The object store did not answer.
    Unknown,
}

impl ManifestReference {
    /// Returns a fault unless the stored object has the manifest's digest.
    pub fn verify(&self, stored: StoredObject) -> Option<Fault> {
        match stored {
            StoredObject::Present(digest) if digest == self.manifest => None,
            StoredObject::Present(digest) => Some(fault(
                &self.path,
                format!("the object store holds {digest} under this manifest's name"),
                "upload the manifest again, or name the one that is stored",
            )),
            StoredObject::Absent => Some(fault(
                &self.path,
                "this manifest is not in the object store",
                "upload it with its chunks first, then publish",
            )),
            StoredObject::Unknown => Some(fault(
                &self.path,
                "the object store did not answer, so this manifest can't be checked",
                "publish again when the store is back; the draft is kept",
            )),
        }
    }
}

impl Document {
    /// All faults that can be found without the object store, in the order of
    /// the fields.
    pub fn check(&self) -> Vec<Fault> {
        let mut checker = Checker::default();
        checker.check_name("fleet", &self.fleet);
        checker.check_models(self);
        checker.check_services(self);
        checker.check_customers(self);
        checker.check_operators(self);
        checker.check_rollout(self);
        checker.check_size(self);
        checker.faults
    }

    /// The manifests of all models and adapters.
    pub fn manifest_references(&self) -> Vec<ManifestReference> {
        let mut references = Vec::new();
        for (index, model) in self.models.iter().enumerate() {
            let path = format!("models[{index}].manifest");
            references.push(ManifestReference {
                path: path.into(),
                manifest: model.manifest,
            });
            for (adapter_index, adapter) in model.adapters.iter().enumerate() {
                let path = format!("models[{index}].adapters[{adapter_index}].manifest");
                references.push(ManifestReference {
                    path: path.into(),
                    manifest: adapter.manifest,
                });
            }
        }
        references
    }
}

fn fault(path: &str, problem: impl Into<String>, remedy: impl Into<String>) -> Fault {
    Fault {
        path: path.into(),
        problem: problem.into(),
        remedy: remedy.into(),
    }
}

#[derive(Default)]
struct Checker {
    faults: Vec<Fault>,
}

impl Checker {
    fn report(&mut self, path: &str, problem: impl Into<String>, remedy: impl Into<String>) {
        self.faults.push(fault(path, problem, remedy));
    }

    fn check_name(&mut self, path: &str, name: &str) {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        match name {
            "" => self.report(path, "the name is empty", "give it a name"),
            _ if name.len() > NAME_MAX_BYTES => self.report(
                path,
                format!("the name is longer than {NAME_MAX_BYTES} characters"),
                "shorten it",
            ),
            _ if !name.chars().all(is_allowed) => self.report(
                path,
                format!("the name `{name}` has characters other than a-z, A-Z, 0-9, -, _ and ."),
                "use only these",
            ),
            _ => {}
        }
    }

    fn check_range<T>(&mut self, path: &str, value: T, min: T, max: T)
    where
        T: fmt::Display + PartialOrd,
    {
        if value < min || value > max {
            let problem = format!("{value} is not between {min} and {max}");
            self.report(path, problem, format!("write a number from {min} to {max}"));
        }
    }

    /// Reports names that occur more than once in a list, and a list with more
    /// than [`LIST_MAX_ENTRIES`] entries.
    fn check_unique_names<'a>(&mut self, list: &str, names: impl Iterator<Item = &'a SmolStr>) {
        let mut first: HashMap<&SmolStr, usize> = HashMap::new();
        for (index, name) in names.enumerate() {
            if index == LIST_MAX_ENTRIES {
                let problem = format!("the list has more than {LIST_MAX_ENTRIES} entries");
                self.report(list, problem, "remove those no longer used");
            }
            if let Some(earlier) = first.get(name) {
                let problem = format!("`{name}` is also the name of {list}[{earlier}]");
                self.report(
                    &format!("{list}[{index}].name"),
                    problem,
                    "rename one of them",
                );
                continue;
            }
            first.insert(name, index);
        }
    }

    fn check_models(&mut self, document: &Document) {
        self.check_unique_names("models", document.models.iter().map(|model| &model.name));
        for (index, model) in document.models.iter().enumerate() {
            self.check_model(&format!("models[{index}]"), model);
        }
    }

    fn check_model(&mut self, path: &str, model: &Model) {
        self.check_name(&format!("{path}.name"), &model.name);
        self.check_name(&format!("{path}.version"), &model.version);
        let list = format!("{path}.adapters");
        self.check_unique_names(&list, model.adapters.iter().map(|adapter| &adapter.name));
        for (index, adapter) in model.adapters.iter().enumerate() {
            self.check_name(&format!("{list}[{index}].name"), &adapter.name);
            self.check_name(&format!("{list}[{index}].version"), &adapter.version);
        }
    }

    fn check_services(&mut self, document: &Document) {
        let services = &document.services;
        self.check_unique_names("services", services.iter().map(|service| &service.name));
        let models: HashSet<&SmolStr> = document.models.iter().map(|model| &model.name).collect();
        let mut prefixes: HashMap<&SmolStr, usize> = HashMap::new();
        let mut engines: HashMap<&SmolStr, usize> = HashMap::new();
        for (index, service) in services.iter().enumerate() {
            let path = format!("services[{index}]");
            self.check_service(&path, service);
            match &service.backend {
                Backend::Engine { model } => {
                    self.check_engine(&path, model, &models);
                    if let Some(earlier) = engines.insert(model, index) {
                        let problem =
                            format!("the model `{model}` is also served by services[{earlier}]");
                        let remedy = "let one service serve it; give the other another model";
                        self.report(&format!("{path}.backend.engine.model"), problem, remedy);
                    }
                }
                Backend::Plain { prefix } => {
                    self.check_prefix(&path, prefix);
                    if let Some(earlier) = prefixes.insert(prefix, index) {
                        let problem =
                            format!("the prefix `{prefix}` also leads to services[{earlier}]");
                        let remedy = "give each service its own prefix";
                        self.report(&format!("{path}.backend.plain.prefix"), problem, remedy);
                    }
                }
            }
        }
    }

    fn check_service(&mut self, path: &str, service: &Service) {
        self.check_name(&format!("{path}.name"), &service.name);
        let concurrency = format!("{path}.concurrency");
        self.check_range(&concurrency, service.concurrency, 1, CONCURRENCY_MAX);
        let deadline = format!("{path}.deadline_ms");
        self.check_range(&deadline, service.deadline_ms, 1, DEADLINE_MAX_MS);
        let mut seen = HashSet::new();
        for (index, zone) in service.zones.iter().enumerate() {
            let zone_path = format!("{path}.zones[{index}]");
            self.check_name(&zone_path, zone.as_str());
            if !seen.insert(zone) {
                self.report(&zone_path, "the zone is named twice", "remove one");
            }
        }
    }

    fn check_engine(&mut self, path: &str, model: &SmolStr, models: &HashSet<&SmolStr>) {
        let path = format!("{path}.backend.engine.model");
        if model.is_empty() {
            let remedy = "name a model of this document, or make it a plain service";
            self.report(&path, "the service names no backend server", remedy);
        } else if !models.contains(model) {
            let problem = format!("there is no model `{model}`");
            self.report(
                &path,
                problem,
                "add the model, or name one of this document",
            );
        }
    }

    fn check_prefix(&mut self, path: &str, prefix: &str) {
        let path = format!("{path}.backend.plain.prefix");
        let reserved = [
            "/console",
            "/v1",
            "/metrics",
            "/healthz",
            "/readyz",
            "/status.json",
        ];
        let is_covered_by = |reserved: &&&str| {
            prefix == **reserved
                || prefix
                    .strip_prefix(**reserved)
                    .is_some_and(starts_with_slash)
        };
        match prefix {
            "" => self.report(
                &path,
                "the service names no backend server",
                "give it a prefix such as `/desk`, or name a model",
            ),
            _ if !prefix.starts_with('/') => {
                self.report(
                    &path,
                    "the prefix does not start with `/`",
                    "start it with `/`",
                );
            }
            _ if prefix
                .chars()
                .any(|c| c.is_whitespace() || matches!(c, '?' | '#' | '%')) =>
            {
                let remedy = "use only what stands in a path as it is";
                self.report(&path, "the prefix has characters no path has", remedy);
            }
            _ => {
                if let Some(taken) = reserved.iter().find(is_covered_by) {
                    let problem = format!("`{taken}` is used by the system itself");
                    self.report(&path, problem, "choose another prefix");
                }
            }
        }
    }

    fn check_customers(&mut self, document: &Document) {
        let customers = &document.customers;
        self.check_unique_names("customers", customers.iter().map(|customer| &customer.name));
        let mut keys: HashMap<&Digest, usize> = HashMap::new();
        for (index, customer) in customers.iter().enumerate() {
            let path = format!("customers[{index}]");
            self.check_customer(&path, customer);
            if let Some(earlier) = keys.insert(&customer.key, index) {
                let problem = format!("the key is also that of customers[{earlier}]");
                self.report(
                    &format!("{path}.key"),
                    problem,
                    "give each customer its own key",
                );
            }
        }
    }

    fn check_customer(&mut self, path: &str, customer: &Customer) {
        self.check_name(&format!("{path}.name"), &customer.name);
        self.check_range(&format!("{path}.share"), customer.share, 1, SHARE_MAX);
        self.check_range(
            &format!("{path}.priority"),
            customer.priority,
            0,
            PRIORITY_MAX,
        );
        if customer.requests_per_second == Some(0) {
            let remedy = "leave it empty for no limit, or remove the customer to shut it out";
            let path = format!("{path}.requests_per_second");
            self.report(&path, "a limit of 0 lets nothing through", remedy);
        }
    }

    fn check_operators(&mut self, document: &Document) {
        let operators = &document.operators;
        self.check_unique_names("operators", operators.iter().map(|operator| &operator.name));
        let mut keys: HashMap<&Digest, usize> = HashMap::new();
        for (index, operator) in operators.iter().enumerate() {
            let path = format!("operators[{index}]");
            self.check_name(&format!("{path}.name"), &operator.name);
            if let Some(earlier) = keys.insert(&operator.key, index) {
                let problem = format!("the key is also that of operators[{earlier}]");
                self.report(
                    &format!("{path}.key"),
                    problem,
                    "give each operator their own key",
                );
            }
        }
    }

    fn check_rollout(&mut self, document: &Document) {
        let width = document.rollout.width_percent;
        self.check_range("rollout.width_percent", width, 1, 100);
    }

    fn check_size(&mut self, document: &Document) {
        let bytes = document.json().len();
        if bytes > TEXT_MAX_BYTES {
            let problem = format!("the document has {bytes} bytes, more than {TEXT_MAX_BYTES}");
            self.report("", problem, "remove entries no longer used");
        }
    }
}

fn starts_with_slash(rest: &str) -> bool {
    rest.starts_with('/')
}
