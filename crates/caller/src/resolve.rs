//! Finds what a request is for in the configuration in force.

use smol_str::SmolStr;
use snipewinch::Digest;
use snipewinch::document::Backend;
use snipewinch::document::Customer;
use snipewinch::document::Document;
use snipewinch::document::Service;

/// The customer whose bearer key this is.
pub fn customer<'a>(document: &'a Document, bearer: &str) -> Option<&'a Customer> {
    // Digests are compared, so timing tells nothing of a key.
    let digest = Digest::of(bearer.as_bytes());
    document
        .customers
        .iter()
        .find(|customer| customer.key == digest)
}

/// The service whose engines answer for a model or an adapter.
pub fn engine<'a>(document: &'a Document, name: &str) -> Option<&'a Service> {
    let base = document.models.iter().find(|model| {
        let adapter = |adapter: &snipewinch::document::Adapter| adapter.name == name;
        model.name == name || model.adapters.iter().any(adapter)
    })?;
    document
        .services
        .iter()
        .find(|service| match &service.backend {
            Backend::Engine { model } => *model == base.name,
            Backend::Plain { .. } => false,
        })
}

/// The plain service with the longest prefix of a path.
pub fn plain<'a>(document: &'a Document, path: &str) -> Option<&'a Service> {
    let matched = |service: &&Service| match &service.backend {
        Backend::Plain { prefix } => is_under(path, prefix),
        Backend::Engine { .. } => false,
    };
    let length = |service: &&Service| match &service.backend {
        Backend::Plain { prefix } => prefix.len(),
        Backend::Engine { .. } => 0,
    };
    document.services.iter().filter(matched).max_by_key(length)
}

fn is_under(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with('/'),
        None => false,
    }
}

/// The names that callers may ask for.
pub fn models(document: &Document) -> Vec<SmolStr> {
    let served = |name: &SmolStr| engine(document, name).is_some();
    document
        .models
        .iter()
        .flat_map(|model| {
            let adapters = model.adapters.iter().map(|adapter| adapter.name.clone());
            std::iter::once(model.name.clone()).chain(adapters)
        })
        .filter(served)
        .collect()
}
