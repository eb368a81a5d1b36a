//! Single calls that tell whether a service is answered yet.

use std::net::SocketAddr;

use smol_str::SmolStr;
use smol_str::format_smolstr;
use standin::client::Client;

use super::Call;
use super::Kind;
use super::Outcome;
use super::Settings;
use super::ask;
use crate::fleet::Fleet;

/// Tokens that a probe asks for.
const TOKENS: u64 = 2;

/// A call to one service through one entry.
#[derive(Clone, Debug)]
pub struct Probe {
    settings: Settings,
    call: Call,
    client: Client,
}

/// A probe for each service of a fleet.
pub fn probes(fleet: &Fleet, entry: SocketAddr) -> Vec<Probe> {
    let settings = Settings::of(fleet, 1.0, 0);
    let kinds = [
        Some(Kind::Buffered),
        settings.plain.as_ref().map(|_| Kind::Plain),
        settings
            .non_repeatable
            .as_ref()
            .map(|_| Kind::NonRepeatable),
    ];
    let kinds = kinds.into_iter().flatten();
    kinds
        .map(|kind| Probe {
            settings: settings.clone(),
            call: Call {
                kind,
                effect: SmolStr::default(),
                customer: 0,
                entry,
                tokens: TOKENS,
                prompt: String::new(),
                again: None,
            },
            client: Client::new(),
        })
        .collect()
}

impl Probe {
    /// Whether a call is answered now; each has an effect of its own.
    pub async fn answered(&self) -> bool {
        let word: u64 = rand::random();
        let effect = format_smolstr!("probe-{word:016x}");
        let call = Call {
            prompt: effect.to_string(),
            effect,
            ..self.call.clone()
        };
        let asked = ask::ask(&self.client, &self.settings, &call).await;
        asked.outcome == Outcome::Complete
    }
}
