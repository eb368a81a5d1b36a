//! The table service: rows with revisions and conditional transactions.

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

/// Older contents of a row that stale reads can still see.
const HISTORY_MAX: usize = 32;
/// Rows in one page unless the request says less.
const PAGE_MAX: usize = 1000;
/// Conditions and writes in one transaction.
const TRANSACTION_MAX: usize = 200;

type Name = (String, String);

/// All rows of all tables.
#[derive(Debug, Default)]
pub(super) struct Tables {
    revision: u64,
    rows: BTreeMap<Name, Vec<Row>>,
}

/// A row at one time; a missing value is a row that was deleted.
#[derive(Clone, Debug)]
struct Row {
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
    fn at(&self, name: &Name, when: Instant) -> Option<(&Value, u64)> {
        let row = self.rows.get(name)?.iter().rev().find(|r| r.at <= when)?;
        row.value.as_ref().map(|value| (value, row.revision))
    }

    fn current(&self, name: &Name) -> u64 {
        match self.rows.get(name).and_then(|rows| rows.last()) {
            Some(row) if row.value.is_some() => row.revision,
            _ => 0,
        }
    }

    fn commit(&mut self, transaction: Transaction) -> Result<u64, Vec<Value>> {
        let conflicts: Vec<Value> = transaction
            .conditions
            .iter()
            .filter_map(|condition| {
                let name = (condition.table.clone(), condition.key.clone());
                let revision = self.current(&name);
                let held = revision == condition.revision;
                (!held).then(|| json!({"table": name.0, "key": name.1, "revision": revision}))
            })
            .collect();
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        self.revision += 1;
        for write in transaction.writes {
            let rows = self.rows.entry((write.table, write.key)).or_default();
            if rows.len() == HISTORY_MAX {
                rows.remove(0);
            }
            rows.push(Row {
                at: Instant::now(),
                value: (!write.value.is_null()).then_some(write.value),
                revision: self.revision,
            });
        }
        Ok(self.revision)
    }

    fn page(&self, table: &str, query: &Query, when: Instant) -> Vec<Value> {
        let first = match &query.after {
            Some(after) => Bound::Excluded((table.to_owned(), after.clone())),
            None => Bound::Included((table.to_owned(), query.prefix.clone())),
        };
        self.rows
            .range((first, Bound::Unbounded))
            .take_while(|(name, _)| name.0 == table)
            .filter(|(name, _)| name.1.starts_with(&query.prefix))
            .filter_map(|(name, _)| {
                let (value, revision) = self.at(name, when)?;
                Some(json!({"key": name.1, "value": value, "revision": revision}))
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
    pub(super) async fn tables(
        &self,
        rest: &str,
        request: Request,
        fault: &Fault,
    ) -> Result<Response, Refusal> {
        let when = Instant::now()
            .checked_sub(Duration::from_millis(fault.back_ms))
            .unwrap_or_else(Instant::now);
        match (request.method().clone(), rest.split_once('/')) {
            (Method::POST, None) if rest == "transaction" => self.transaction(request).await,
            (Method::GET, Some((table, key))) => {
                self.counters.lock().table_reads += 1;
                let name = (table.to_owned(), key.to_owned());
                match self.tables.lock().at(&name, when) {
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
                let rows = self.tables.lock().page(rest, &query, when);
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
