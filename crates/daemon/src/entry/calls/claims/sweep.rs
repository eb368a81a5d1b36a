//! Deletes rows of claims whose retention period has ended.

use std::time::Duration;

use smol_str::SmolStr;
use smol_str::format_smolstr;
use snipewinch::claim;
use snipewinch::claim::Row;
use snipewinch::host::Role;
use snipewinch::membership::State;

use super::TABLE;
use super::transaction;
use super::wall_ms;
use crate::daemon::Context;

/// The interval between pages.
const PAGE_INTERVAL: Duration = Duration::from_secs(20);
/// The number of rows in a page; half of the maximum in a transaction.
const PAGE_ROWS: usize = 100;

/// Sweeps one page per interval while this entry is responsible. If two entries
/// consider themselves responsible, they only repeat some of the work.
pub(super) async fn run(context: Context) {
    let mut after: Option<String> = None;
    loop {
        tokio::time::sleep(PAGE_INTERVAL).await;
        if is_responsible(&context) {
            after = sweep_page(&context, after).await;
        }
    }
}

/// Whether this entry is responsible: no other live entry has a lower host
/// name.
fn is_responsible(context: &Context) -> bool {
    let view = context.view.borrow().clone();
    let own_host = &context.identity.host;
    let lower = |member: &&snipewinch::membership::Member| {
        member.role == Role::Entry && member.state == State::Live && member.host < *own_host
    };
    !view.members.iter().any(|member| lower(&member))
}

/// Deletes the expired rows of the page after a key and returns the key after
/// which the next page begins; `None` starts again with the first row.
async fn sweep_page(context: &Context, after: Option<String>) -> Option<String> {
    let scanned = context
        .platform
        .scan(TABLE, "", after.as_deref(), PAGE_ROWS)
        .await;
    let Ok(rows) = scanned else {
        return after;
    };
    let next_after = rows.last().map(|row| row.key.clone());
    let claims: Vec<(SmolStr, Row, u64)> = rows
        .into_iter()
        .filter_map(|row| {
            let value = serde_json::from_value(row.value).ok()?;
            Some((SmolStr::new(row.key), value, row.revision))
        })
        .collect();
    let changes = claim::sweep(&claims, wall_ms());
    if !changes.is_empty() {
        let operation = format_smolstr!("sweep-{}-{}", context.identity.host, wall_ms());
        // Rows that could not be deleted are found again by the next scan.
        let _ = context
            .platform
            .transact(&transaction(operation, &changes))
            .await;
    }
    next_after
}
