//! Finds the customer and the service of a request in the current
//! configuration.

use smol_str::SmolStr;
use snipewinch::Digest;
use snipewinch::document::Backend;
use snipewinch::document::Customer;
use snipewinch::document::Document;
use snipewinch::document::Service;

/// The customer with this bearer key.
pub fn customer<'a>(document: &'a Document, bearer: &str) -> Option<&'a Customer> {
    // Comparing digests leaks nothing about the key through timing.
    let digest = Digest::of(bearer.as_bytes());
    document
        .customers
        .iter()
        .find(|customer| customer.key == digest)
}

/// The service whose engines serve a model or an adapter.
pub fn engine_service<'a>(document: &'a Document, name: &str) -> Option<&'a Service> {
    let base_model = document.models.iter().find(|model| {
        let adapter = |adapter: &snipewinch::document::Adapter| adapter.name == name;
        model.name == name || model.adapters.iter().any(adapter)
    })?;
    document
        .services
        .iter()
        .find(|service| match &service.backend {
            Backend::Engine { model } => *model == base_model.name,
            Backend::Plain { .. } => false,
        })
}

/// The plain service with the longest prefix that matches a path.
pub fn plain_service<'a>(document: &'a Document, path: &str) -> Option<&'a Service> {
    let is_match = |service: &&Service| match &service.backend {
        Backend::Plain { prefix } => is_under(path, prefix),
        Backend::Engine { .. } => false,
    };
    let prefix_length = |service: &&Service| match &service.backend {
        Backend::Plain { prefix } => prefix.len(),
        Backend::Engine { .. } => 0,
    };
    document
        .services
        .iter()
        .filter(is_match)
        .max_by_key(prefix_length)
}

fn is_under(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    match path.strip_prefix(prefix) {
        Some(remainder) => remainder.is_empty() || remainder.starts_with('/'),
        None => false,
    }
}

/// The names of the models and adapters that callers can request.
pub fn model_names(document: &Document) -> Vec<SmolStr> {
    let is_served = |name: &SmolStr| engine_service(document, name).is_some();
    document
        .models
        .iter()
        .flat_map(|model| {
            let adapters = model.adapters.iter().map(|adapter| adapter.name.clone());
            std::iter::once(model.name.clone()).chain(adapters)
        })
        .filter(is_served)
        .collect()
}
