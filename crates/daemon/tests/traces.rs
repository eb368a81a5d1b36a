//! The spans that the hops of a call export to a collector.

use std::time::Duration;

use serde_json::json;
use standin::collector;
use standin::collector::Span;

use crate::harness::Fleet;
use crate::harness::MODEL;

#[allow(dead_code)]
mod harness;

const TRACE_ID: &str = "0af7651916cd43dd8448eb211c80319c";
const CALLER_SPAN_ID: &str = "b7ad6b7169203331";

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn each_hop_of_a_call_exports_a_span_in_the_callers_trace() {
    let any_port = "127.0.0.1:0".parse().expect("an address");
    let collector = collector::spawn(any_port)
        .await
        .expect("the collector starts");
    let url = format!("http://{collector}");
    let fleet = Fleet::open_with(&[("collector", url)]).await;
    let traceparent = format!("00-{TRACE_ID}-{CALLER_SPAN_ID}-01");
    let body = json!({"model": MODEL, "prompt": "traced", "max_tokens": 2});
    let answer = fleet
        .post("/v1/completions", &body, &[("traceparent", &traceparent)])
        .await;
    assert_eq!(answer.status, 200);
    let client = fleet.client.clone();
    // The shutdown exports the spans that are still buffered.
    fleet.entry.shutdown().await;
    for agent in fleet.agents {
        agent.shutdown().await;
    }
    let spans = loop {
        let answer = client.get(collector, "/admin/spans").await.expect("spans");
        let spans: Vec<Span> = serde_json::from_value(answer.json()).expect("spans");
        let in_trace: Vec<Span> = spans
            .into_iter()
            .filter(|span| span.trace == TRACE_ID)
            .collect();
        if in_trace.len() >= 3 {
            break in_trace;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    let mut parent = CALLER_SPAN_ID.to_owned();
    for hop in ["entry", "agent", "backend"] {
        let span = spans.iter().find(|span| span.name == hop);
        let span = span.unwrap_or_else(|| panic!("no span {hop} in {spans:?}"));
        assert_eq!(span.parent, parent, "{hop}");
        parent.clone_from(&span.span);
    }
    assert_eq!(spans.len(), 3, "{spans:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn calls_succeed_while_the_collector_is_down() {
    let settings = [("collector", "http://127.0.0.1:1".to_owned())];
    let fleet = Fleet::open_with(&settings).await;
    let body = json!({"model": MODEL, "prompt": "untraced", "max_tokens": 2});
    let answer = fleet.post("/v1/completions", &body, &[]).await;
    assert_eq!(answer.status, 200);
    fleet.entry.shutdown().await;
}
