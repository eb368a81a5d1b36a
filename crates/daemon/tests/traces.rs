//! A span for each hop of a call, in one trace, at the collector.

use std::time::Duration;

use serde_json::json;
use standin::collector;
use standin::collector::Span;

use crate::harness::MODEL;
use crate::harness::Small;

#[allow(dead_code)]
mod harness;

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
const CALLER: &str = "b7ad6b7169203331";

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_call_leaves_a_span_for_each_hop_in_the_callers_trace() {
    let any = "127.0.0.1:0".parse().expect("an address");
    let collector = collector::spawn(any).await.expect("the collector starts");
    let url = format!("http://{collector}");
    let small = Small::open_with(&[("collector", url)]).await;
    let traceparent = format!("00-{TRACE}-{CALLER}-01");
    let body = json!({"model": MODEL, "prompt": "traced", "max_tokens": 2});
    let answer = small
        .post("/v1/completions", &body, &[("traceparent", &traceparent)])
        .await;
    assert_eq!(answer.status, 200);
    let client = small.client.clone();
    // Stopping sends the spans that wait.
    small.entry.shutdown().await;
    for agent in small.agents {
        agent.shutdown().await;
    }
    let spans = loop {
        let answer = client.get(collector, "/admin/spans").await.expect("spans");
        let spans: Vec<Span> = serde_json::from_value(answer.json()).expect("spans");
        let ours: Vec<Span> = spans
            .into_iter()
            .filter(|span| span.trace == TRACE)
            .collect();
        if ours.len() >= 3 {
            break ours;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    let mut parent = CALLER.to_owned();
    for hop in ["entry", "agent", "backend"] {
        let span = spans.iter().find(|span| span.name == hop);
        let span = span.unwrap_or_else(|| panic!("no span {hop} in {spans:?}"));
        assert_eq!(span.parent, parent, "{hop}");
        parent.clone_from(&span.span);
    }
    assert_eq!(spans.len(), 3, "{spans:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_collector_that_is_down_disturbs_no_call() {
    let settings = [("collector", "http://127.0.0.1:1".to_owned())];
    let small = Small::open_with(&settings).await;
    let body = json!({"model": MODEL, "prompt": "untraced", "max_tokens": 2});
    let answer = small.post("/v1/completions", &body, &[]).await;
    assert_eq!(answer.status, 200);
    small.entry.shutdown().await;
}
