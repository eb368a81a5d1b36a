//! The fleet key: the secret that all processes of the fleet share.
//!
//! The first process that starts creates it as a row of the store, and all
//! others read it there. Entries write it again after the store was restored from
//! a backup that lacks it. Whoever can read the store's tables can join the fleet.

use std::time::Duration;

use platform::rows::Store;
use rand::RngExt;
use smol_str::SmolStr;
use tokio::time::sleep;

/// The table of the row.
const TABLE: &str = "snipewinch";
/// The key of the row.
const ROW_KEY: &str = "fleet-key";
/// The length of the secret, before it is written in hexadecimal.
const SECRET_BYTES: usize = 32;
/// The delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The time over which entries spread their checks of the row after the store was
/// restored from a backup.
const RESTORE_SPREAD: Duration = Duration::from_secs(2);

/// Creates or reads the secret from which the key is made.
pub(crate) async fn obtain(store: &Store) -> SmolStr {
    let secret: [u8; SECRET_BYTES] = rand::rng().random();
    create(store, &hex(&secret)).await
}

/// Creates the row again each time that the store was restored from a backup that
/// lacks it, so that processes that start later join the fleet.
pub(crate) async fn keep(store: Store, secret: SmolStr) {
    let mut restores = store.restores();
    loop {
        restores.next().await;
        let delay = RESTORE_SPREAD.mul_f64(rand::rng().random());
        sleep(delay).await;
        if create(&store, &secret).await != secret {
            log::error!(
                "E7023 store was restored and holds another fleet key than this process uses: processes that start now are strangers to it; restart it"
            );
        }
    }
}

/// Creates the row with a secret unless there is one. Returns the secret that is
/// stored; retries until the store answers.
async fn create(store: &Store, secret: &str) -> SmolStr {
    let mut failures = 0;
    loop {
        match store.create(TABLE, ROW_KEY, secret.as_bytes()).await {
            Ok(stored) => return String::from_utf8_lossy(&stored).into(),
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
