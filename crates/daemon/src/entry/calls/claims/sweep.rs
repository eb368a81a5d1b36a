//! Deletes claims that have been kept long enough.

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
use crate::node::Node;

/// How often one page of claims is looked at.
const PAUSE: Duration = Duration::from_secs(20);
/// Rows in a page; half of what a transaction may hold.
const PAGE: usize = 100;

/// Looks at a page now and then, if this entry is the one to do it. Two that
/// believe so only do some of it twice.
pub(super) async fn run(node: Node) {
    let mut after: Option<String> = None;
    loop {
        tokio::time::sleep(PAUSE).await;
        if is_first(&node) {
            after = page(&node, after).await;
        }
    }
}

/// Whether no other live entry has a lower name.
fn is_first(node: &Node) -> bool {
    let view = node.view.borrow().clone();
    let me = &node.identity.host;
    let lower = |member: &&snipewinch::membership::Member| {
        member.role == Role::Entry && member.state == State::Live && member.host < *me
    };
    !view.members.iter().any(|member| lower(&member))
}

/// Sweeps the page after a key; answers where the next begins.
async fn page(node: &Node, after: Option<String>) -> Option<String> {
    let scanned = node.platform.scan(TABLE, "", after.as_deref(), PAGE).await;
    let Ok(rows) = scanned else {
        return after;
    };
    let next = rows.last().map(|row| row.key.clone());
    let known: Vec<(SmolStr, Row, u64)> = rows
        .into_iter()
        .filter_map(|row| {
            let value = serde_json::from_value(row.value).ok()?;
            Some((SmolStr::new(row.key), value, row.revision))
        })
        .collect();
    let changes = claim::sweep(&known, wall_ms());
    if !changes.is_empty() {
        let operation = format_smolstr!("sweep-{}-{}", node.identity.host, wall_ms());
        // What was not deleted is found again on the next round.
        let _ = node
            .platform
            .transact(&transaction(operation, &changes))
            .await;
    }
    next
}
