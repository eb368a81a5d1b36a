//! The table service: rows with revisions, and conditional transactions.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;

use super::Fault;
use super::Platform;
use crate::http::Refusal;
use crate::http::Request;
use crate::http::Response;
use crate::http::error;
use crate::http::json;
use crate::http::query_parameter;
use crate::http::read_json;

/// Versions of a row that are kept for stale reads.
const VERSIONS_MAX: usize = 32;
/// Largest number of rows in a page, and the default.
const PAGE_MAX: usize = 1000;
/// Largest number of conditions and writes in a transaction.
const TRANSACTION_MAX: usize = 200;

type RowId = (String, String);

/// The rows of all tables, each with its versions from oldest to newest.
#[derive(Debug, Default)]
pub(super) struct Tables {
    revision: u64,
    rows: BTreeMap<RowId, Vec<RowVersion>>,
}

/// A version of a row; it has no value if the row was deleted.
#[derive(Clone, Debug)]
struct RowVersion {
    at: Instant,
    value: Option<Value>,
    revision: u64,
}

#[derive(Debug, Deserialize)]
struct Transaction {
    operation: String,
    #[serde(default)]
    conditions: Vec<Condition>,
    #[serde(default)]
    writes: Vec<Write>,
}

#[derive(Debug, Deserialize)]
struct Condition {
    table: String,
    key: String,
    revision: u64,
}

#[derive(Debug, Deserialize)]
struct Write {
    table: String,
    key: String,
    value: Value,
}

impl Tables {
    fn get_at(&self, id: &RowId, as_of: Instant) -> Option<(&Value, u64)> {
        let version = self.rows.get(id)?.iter().rev().find(|v| v.at <= as_of)?;
        version
            .value
            .as_ref()
            .map(|value| (value, version.revision))
    }

    fn current_revision(&self, id: &RowId) -> u64 {
        match self.rows.get(id).and_then(|versions| versions.last()) {
            Some(version) if version.value.is_some() => version.revision,
            _ => 0,
        }
    }

    fn commit(&mut self, transaction: Transaction) -> Result<u64, Vec<Value>> {
        let conflicts: Vec<Value> = transaction
            .conditions
            .iter()
            .filter_map(|condition| {
                let id = (condition.table.clone(), condition.key.clone());
                let revision = self.current_revision(&id);
                let holds = revision == condition.revision;
                (!holds).then(|| json!({"table": id.0, "key": id.1, "revision": revision}))
            })
            .collect();
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        self.revision += 1;
        for write in transaction.writes {
            let versions = self.rows.entry((write.table, write.key)).or_default();
            if versions.len() == VERSIONS_MAX {
                versions.remove(0);
            }
            versions.push(RowVersion {
                at: Instant::now(),
                value: (!write.value.is_null()).then_some(write.value),
                revision: self.revision,
            });
        }
        Ok(self.revision)
    }

    fn page(&self, table: &str, query: &Query, as_of: Instant) -> Vec<Value> {
        let first = match &query.after {
            Some(after) => Bound::Excluded((table.to_owned(), after.clone())),
            None => Bound::Included((table.to_owned(), query.prefix.clone())),
        };
        self.rows
            .range((first, Bound::Unbounded))
            .take_while(|(id, _)| id.0 == table)
            .filter(|(id, _)| id.1.starts_with(&query.prefix))
            .filter_map(|(id, _)| {
                let (value, revision) = self.get_at(id, as_of)?;
                Some(json!({"key": id.1, "value": value, "revision": revision}))
            })
            .take(query.limit)
            .collect()
    }
}

struct Query {
    prefix: String,
    after: Option<String>,
    limit: usize,
}

impl Platform {
    pub(super) async fn handle_tables(
        &self,
        subpath: &str,
        request: Request,
        fault: &Fault,
    ) -> Result<Response, Refusal> {
        let as_of = Instant::now()
            .checked_sub(Duration::from_millis(fault.stale_ms))
            .unwrap_or_else(Instant::now);
        match (request.method().clone(), subpath.split_once('/')) {
            (Method::POST, None) if subpath == "transaction" => self.transaction(request).await,
            (Method::GET, Some((table, key))) => {
                self.counters.lock().table_reads += 1;
                let id = (table.to_owned(), key.to_owned());
                match self.tables.lock().get_at(&id, as_of) {
                    Some((value, revision)) => Ok(json(
                        StatusCode::OK,
                        &json!({"value": value, "revision": revision}),
                    )),
                    None => Err(Refusal::new(error(StatusCode::NOT_FOUND, "absent"))),
                }
            }
            (Method::GET, None) => {
                self.counters.lock().table_reads += 1;
                let limit = query_parameter(&request, "limit").and_then(|text| text.parse().ok());
                let query = Query {
                    prefix: query_parameter(&request, "prefix").unwrap_or_default(),
                    after: query_parameter(&request, "after"),
                    limit: limit.unwrap_or(PAGE_MAX).min(PAGE_MAX),
                };
                let rows = self.tables.lock().page(subpath, &query, as_of);
                Ok(json(StatusCode::OK, &json!({ "rows": rows })))
            }
            _ => Err(Refusal::new(error(
                StatusCode::METHOD_NOT_ALLOWED,
                "method",
            ))),
        }
    }

    async fn transaction(&self, request: Request) -> Result<Response, Refusal> {
        let transaction: Transaction = read_json(request).await?;
        let size = transaction.conditions.len() + transaction.writes.len();
        if size > TRANSACTION_MAX || transaction.operation.is_empty() {
            return Err(Refusal::new(error(StatusCode::BAD_REQUEST, "transaction")));
        }
        let committed = self.tables.lock().commit(transaction);
        let mut counters = self.counters.lock();
        counters.table_writes += 1;
        match committed {
            Ok(revision) => Ok(json(StatusCode::OK, &json!({ "revision": revision }))),
            Err(conflicts) => {
                counters.table_conflicts += 1;
                Ok(json(
                    StatusCode::CONFLICT,
                    &json!({ "conflicts": conflicts }),
                ))
            }
        }
    }
}
