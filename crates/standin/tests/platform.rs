//! Tests of the platform's interfaces: statuses, bodies and injected faults.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use serde_json::Value;
use serde_json::json;
use standin::client::Client;
use standin::platform;

async fn start() -> (Client, SocketAddr) {
    let config = platform::Config {
        listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        origin_mbit: 0.0,
        origin_readers_max: 1,
        membership_lag: Duration::ZERO,
        seed: 1,
    };
    let address = platform::spawn(config).await.expect("bind");
    (Client::new(), address)
}

/// A request, the status that it must get and the fields that the body must
/// contain.
struct Case {
    name: &'static str,
    method: Method,
    path: &'static str,
    body: Value,
    status: u16,
    expected_body: Value,
}

fn case(
    name: &'static str,
    method: Method,
    path: &'static str,
    body: Value,
    status: u16,
    expected_body: Value,
) -> Case {
    Case {
        name,
        method,
        path,
        body,
        status,
        expected_body,
    }
}

/// Whether `actual` has all fields of `expected`; null stands for any value.
fn contains(expected: &Value, actual: &Value) -> bool {
    match (expected, actual) {
        (Value::Object(expected), Value::Object(actual)) => expected.iter().all(|(key, value)| {
            actual
                .get(key)
                .is_some_and(|actual| contains(value, actual))
        }),
        (Value::Null, _) => true,
        (expected, actual) => expected == actual,
    }
}

async fn check(cases: Vec<Case>, client: &Client, address: SocketAddr) {
    for case in cases {
        let body = case.body.to_string();
        let response = client
            .call(case.method, address, case.path, body)
            .await
            .expect(case.name);
        assert_eq!(response.status.as_u16(), case.status, "{}", case.name);
        let actual = response.json();
        assert!(
            contains(&case.expected_body, &actual),
            "{}: {actual}",
            case.name
        );
    }
}

fn transaction(conditions: Value, writes: Value) -> Value {
    json!({"operation": "o", "conditions": conditions, "writes": writes})
}

#[tokio::test]
async fn table_service_reads_writes_and_refuses_conflicts() {
    let (client, address) = start().await;
    let post = "/tables/transaction";
    let absent = json!([{"table": "t", "key": "a", "revision": 0}]);
    let first = json!([{"table": "t", "key": "a", "revision": 1}]);
    let both = json!([{"table": "t", "key": "a", "value": 1},
        {"table": "t", "key": "b", "value": {"x": [1]}}]);
    let cases = vec![
        case(
            "absent row",
            Method::GET,
            "/tables/t/a",
            Value::Null,
            404,
            Value::Null,
        ),
        case(
            "create",
            Method::POST,
            post,
            transaction(absent.clone(), both),
            200,
            json!({"revision": 1}),
        ),
        case(
            "read",
            Method::GET,
            "/tables/t/a",
            Value::Null,
            200,
            json!({"value": 1, "revision": 1}),
        ),
        case(
            "creating an existing row conflicts",
            Method::POST,
            post,
            transaction(absent, json!([{"table": "t", "key": "b", "value": 9}])),
            409,
            json!({"conflicts": [{"table": "t", "key": "a", "revision": 1}]}),
        ),
        case(
            "a conflicting transaction writes no row",
            Method::GET,
            "/tables/t/b",
            Value::Null,
            200,
            json!({"value": {"x": [1]}}),
        ),
        case(
            "update",
            Method::POST,
            post,
            transaction(
                first.clone(),
                json!([{"table": "t", "key": "a", "value": 2}]),
            ),
            200,
            json!({"revision": 2}),
        ),
        case(
            "an old revision conflicts",
            Method::POST,
            post,
            transaction(first, json!([{"table": "t", "key": "a", "value": 3}])),
            409,
            Value::Null,
        ),
        case(
            "page",
            Method::GET,
            "/tables/t?prefix=&after=a&limit=5",
            Value::Null,
            200,
            json!({"rows": [{"key": "b", "value": {"x": [1]}, "revision": 1}]}),
        ),
        case(
            "delete",
            Method::POST,
            post,
            transaction(
                json!([]),
                json!([{"table": "t", "key": "a", "value": null}]),
            ),
            200,
            Value::Null,
        ),
        case(
            "a deleted row is absent",
            Method::GET,
            "/tables/t/a",
            Value::Null,
            404,
            Value::Null,
        ),
        case(
            "not a transaction",
            Method::POST,
            post,
            json!([1]),
            400,
            Value::Null,
        ),
        case(
            "no operation id",
            Method::POST,
            post,
            json!({"operation": ""}),
            400,
            Value::Null,
        ),
    ];
    check(cases, &client, address).await;
}

#[tokio::test]
async fn object_store_serves_whole_objects_and_ranges() {
    let (client, address) = start().await;
    let cases = vec![
        case(
            "absent",
            Method::GET,
            "/objects/manifests/x",
            Value::Null,
            404,
            Value::Null,
        ),
        case(
            "store",
            Method::PUT,
            "/objects/manifests/x",
            json!({"k": 1}),
            200,
            Value::Null,
        ),
        case(
            "read",
            Method::GET,
            "/objects/manifests/x",
            Value::Null,
            200,
            json!({"k": 1}),
        ),
    ];
    check(cases, &client, address).await;
    let part = http::Request::get(format!("http://{address}/objects/manifests/x"))
        .header("range", "bytes=1-3")
        .body(http_body_util::Full::default())
        .expect("request");
    let part = client.send(part).await.expect("part");
    assert_eq!((part.status.as_u16(), &part.body[..]), (206, &b"\"k\""[..]));
}

#[tokio::test]
async fn injected_faults_take_effect_until_they_are_removed() {
    let (client, address) = start().await;
    let write = transaction(json!([]), json!([{"table": "t", "key": "k", "value": 1}]));
    let cases = vec![
        case(
            "down",
            Method::POST,
            "/admin/faults",
            json!({"tables": {"down": true}}),
            200,
            Value::Null,
        ),
        case(
            "refused",
            Method::GET,
            "/tables/t/k",
            Value::Null,
            503,
            Value::Null,
        ),
        case(
            "other interfaces are not affected",
            Method::GET,
            "/objects/x",
            Value::Null,
            404,
            Value::Null,
        ),
        case(
            "lost replies",
            Method::POST,
            "/admin/faults",
            json!({"tables": {"down": false, "lose_percent": 100}}),
            200,
            Value::Null,
        ),
        case(
            "an unknown fault",
            Method::POST,
            "/admin/faults",
            json!({"tables": {"up": true}}),
            400,
            Value::Null,
        ),
    ];
    check(cases, &client, address).await;
    let lost = client.post(address, "/tables/transaction", &write).await;
    assert!(lost.is_err(), "expected no reply: {lost:?}");
    let cases = vec![
        case(
            "the write took effect",
            Method::GET,
            "/tables/t/k",
            Value::Null,
            200,
            json!({"value": 1}),
        ),
        case(
            "counted",
            Method::GET,
            "/admin/counters",
            Value::Null,
            200,
            json!({"lost_replies": 1, "refused": 1}),
        ),
        case(
            "end",
            Method::POST,
            "/admin/faults",
            json!({"tables": {"lose_percent": 0}}),
            200,
            Value::Null,
        ),
        case(
            "writes are answered again",
            Method::POST,
            "/tables/transaction",
            write,
            200,
            Value::Null,
        ),
    ];
    check(cases, &client, address).await;
}

#[tokio::test]
async fn membership_list_gives_addresses_by_region_and_lags() {
    let (client, address) = start().await;
    let host = json!({"host": "h1", "role": "agent", "zone": "z", "region": "r",
        "service": "s", "address": "127.0.0.1:1", "reached": {"far": "127.0.0.1:2"}});
    let near = json!({"hosts": [{"host": "h1", "role": "agent", "zone": "z", "region": "r",
        "service": "s", "address": "127.0.0.1:1", "state": "live", "incarnation": 0}]});
    let mut far = near.clone();
    far["hosts"][0]["address"] = json!("127.0.0.1:2");
    let cases = vec![
        case(
            "announce",
            Method::PUT,
            "/membership/h1",
            host,
            200,
            Value::Null,
        ),
        case(
            "near",
            Method::GET,
            "/membership?region=r",
            Value::Null,
            200,
            near,
        ),
        case(
            "far",
            Method::GET,
            "/membership?region=far",
            Value::Null,
            200,
            far,
        ),
        case(
            "lag",
            Method::POST,
            "/admin/lag",
            json!(3_600_000),
            200,
            Value::Null,
        ),
        case(
            "the list does not show the announcement yet",
            Method::GET,
            "/membership?region=r",
            Value::Null,
            200,
            json!({"hosts": []}),
        ),
        case(
            "no lag",
            Method::POST,
            "/admin/lag",
            json!(0),
            200,
            Value::Null,
        ),
        case(
            "remove",
            Method::DELETE,
            "/membership/h1",
            Value::Null,
            200,
            Value::Null,
        ),
        case(
            "gone",
            Method::GET,
            "/membership?region=r",
            Value::Null,
            200,
            json!({"hosts": []}),
        ),
    ];
    check(cases, &client, address).await;
}

#[tokio::test]
async fn origin_counts_bytes_limits_readers_and_corrupts_segments() {
    let (client, address) = start().await;
    let weights: Vec<u8> = (0..100_000u32).map(|n| n as u8).collect();
    let put = client.put(address, "/origin/d1", weights.clone()).await;
    assert_eq!(put.expect("put").status, 200);
    let whole = client.get(address, "/origin/d1").await.expect("whole");
    assert_eq!(whole.body, weights);
    let counters = client
        .get(address, "/admin/counters")
        .await
        .expect("counters");
    assert_eq!(counters.json()["origin_bytes"]["d1"], 100_000);

    let corrupt = json!({"origin": {"corrupt_percent": 100}});
    client
        .post(address, "/admin/faults", &corrupt)
        .await
        .expect("fault");
    let corrupt = client.get(address, "/origin/d1").await.expect("corrupt");
    assert_eq!(corrupt.body.len(), weights.len());
    assert_ne!(corrupt.body, weights);

    // At this rate the first reader does not finish during the test and takes
    // the only place.
    client
        .post(address, "/admin/origin", &json!({"rate_mbit": 0.000_001}))
        .await
        .expect("rate");
    let held = http::Request::get(format!("http://{address}/origin/d1"))
        .body(http_body_util::Full::default())
        .expect("request");
    let _held = client.send_streaming(held).await.expect("held");
    let refused = client.get(address, "/origin/d1").await.expect("refused");
    assert_eq!(refused.status, 429);
    assert!(refused.headers.contains_key("retry-after"));
    let absent = client.get(address, "/origin/d2").await.expect("absent");
    assert_eq!(absent.status, 404);
}
