//! The fleet key: the secret that all processes of the fleet share.
//!
//! The first process that starts creates it as a row of the store, and all
//! others read it there. Whoever can read the store's tables can join the
//! fleet.

use std::time::Duration;

use peer::FleetKey;
use platform::rows::Store;
use rand::RngExt;
use tokio::time::sleep;

/// The table of the row.
const TABLE: &str = "snipewinch";
/// The key of the row.
const ROW_KEY: &str = "fleet-key";
/// The length of the secret, before it is written in hexadecimal.
const SECRET_BYTES: usize = 32;
/// The delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Creates or reads the key; retries until the store answers.
pub(crate) async fn obtain(store: &Store) -> FleetKey {
    let secret: [u8; SECRET_BYTES] = rand::rng().random();
    let secret = hex(&secret);
    let mut failures = 0;
    loop {
        match store.create(TABLE, ROW_KEY, secret.as_bytes()).await {
            Ok(stored) => return FleetKey::new(&String::from_utf8_lossy(&stored)),
            Err(error) => {
                failures += 1;
                if failures == 1 {
                    log::warn!("E7010 obtaining the fleet key failed, retrying: {error}");
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
