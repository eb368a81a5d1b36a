//! Single calls that show whether a service answers yet.

use std::net::SocketAddr;

use smol_str::SmolStr;
use smol_str::format_smolstr;
use standin::client::Client;

use super::Call;
use super::Kind;
use super::Outcome;
use super::Settings;
use super::exchange;
use crate::fleet::Fleet;

/// Tokens that a probe requests.
const TOKENS: u64 = 2;

/// A test call to one service through one entry.
#[derive(Clone, Debug)]
pub struct Probe {
    settings: Settings,
    call: Call,
    client: Client,
}

/// Returns a probe through `entry` for each kind of service of a fleet: the
/// model and the plain services.
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
                duplicate: None,
            },
            client: Client::new(),
        })
        .collect()
}

impl Probe {
    /// Sends a call with a random effect id and tells whether it got the
    /// complete, correct answer.
    pub async fn answered(&self) -> bool {
        let word: u64 = rand::random();
        let effect = format_smolstr!("probe-{word:016x}");
        let call = Call {
            prompt: effect.to_string(),
            effect,
            ..self.call.clone()
        };
        let exchange = exchange::perform(&self.client, &self.settings, &call).await;
        exchange.outcome == Outcome::Complete
    }
}
