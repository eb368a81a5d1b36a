//! The secret that all processes of the fleet share.
//!
//! The first process that starts creates it as a row of the store; all others
//! find it there. Whoever can read the store's tables can join the fleet.

use std::time::Duration;

use peer::FleetKey;
use platform::rows::Store;
use rand::RngExt;
use tokio::time::sleep;

/// The table and the key of the row.
const TABLE: &str = "snipewinch";
const ROW: &str = "fleet-key";
/// The length of the secret.
const SECRET_BYTES: usize = 32;
/// The pause after a failed call.
const PAUSE: Duration = Duration::from_millis(500);

/// Creates or finds the key; asks until the store answers.
pub(crate) async fn obtain(store: &Store) -> FleetKey {
    let secret: [u8; SECRET_BYTES] = rand::rng().random();
    let secret = hex(&secret);
    let mut failures = 0;
    loop {
        match store.create(TABLE, ROW, secret.as_bytes()).await {
            Ok(held) => return FleetKey::new(&String::from_utf8_lossy(&held)),
            Err(error) => {
                failures += 1;
                if failures == 1 {
                    log::warn!("E7010 the fleet's key was not obtained: {error}");
                }
                sleep(PAUSE).await;
            }
        }
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
