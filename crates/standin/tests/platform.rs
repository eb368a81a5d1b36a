//! The contract of the platform's interfaces, case by case.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use serde_json::Value;
use serde_json::json;
use standin::client::Client;
use standin::platform;

async fn open() -> (Client, SocketAddr) {
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

/// One request, the status it must get and a part of the body it must have.
struct Case {
    name: &'static str,
    method: Method,
    path: &'static str,
    body: Value,
    status: u16,
    answer: Value,
}

fn case(
    name: &'static str,
    method: Method,
    path: &'static str,
    body: Value,
    status: u16,
    answer: Value,
) -> Case {
    Case {
        name,
        method,
        path,
        body,
        status,
        answer,
    }
}

fn holds(wanted: &Value, found: &Value) -> bool {
    match (wanted, found) {
        (Value::Object(wanted), Value::Object(found)) => wanted
            .iter()
            .all(|(key, value)| found.get(key).is_some_and(|found| holds(value, found))),
        (Value::Null, _) => true,
        (wanted, found) => wanted == found,
    }
}

async fn put_to(cases: Vec<Case>, client: &Client, address: SocketAddr) {
    for case in cases {
        let body = case.body.to_string();
        let answer = client
            .call(case.method, address, case.path, body)
            .await
            .expect(case.name);
        assert_eq!(answer.status.as_u16(), case.status, "{}", case.name);
        let found = answer.json();
        assert!(holds(&case.answer, &found), "{}: {found}", case.name);
    }
}

fn transaction(conditions: Value, writes: Value) -> Value {
    json!({"operation": "o", "conditions": conditions, "writes": writes})
}

#[tokio::test]
async fn tables_hold_to_their_contract() {
    let (client, address) = open().await;
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
            "create again conflicts",
            Method::POST,
            post,
            transaction(absent, json!([{"table": "t", "key": "b", "value": 9}])),
            409,
            json!({"conflicts": [{"table": "t", "key": "a", "revision": 1}]}),
        ),
        case(
            "a conflict writes nothing",
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
            "old revision conflicts",
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
            "deleted is absent",
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
    put_to(cases, &client, address).await;
}

#[tokio::test]
async fn objects_hold_to_their_contract() {
    let (client, address) = open().await;
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
    put_to(cases, &client, address).await;
    let part = http::Request::get(format!("http://{address}/objects/manifests/x"))
        .header("range", "bytes=1-3")
        .body(http_body_util::Full::default())
        .expect("request");
    let part = client.send(part).await.expect("part");
    assert_eq!((part.status.as_u16(), &part.body[..]), (206, &b"\"k\""[..]));
}

#[tokio::test]
async fn each_fault_is_seen_and_ends() {
    let (client, address) = open().await;
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
            "others go on",
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
    put_to(cases, &client, address).await;
    let lost = client.post(address, "/tables/transaction", &write).await;
    assert!(lost.is_err(), "the reply is lost: {lost:?}");
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
            "writes answer",
            Method::POST,
            "/tables/transaction",
            write,
            200,
            Value::Null,
        ),
    ];
    put_to(cases, &client, address).await;
}

#[tokio::test]
async fn the_list_gives_addresses_as_reached_from_a_region() {
    let (client, address) = open().await;
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
            "it lags",
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
    put_to(cases, &client, address).await;
}

#[tokio::test]
async fn the_origin_counts_limits_and_corrupts() {
    let (client, address) = open().await;
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

    // One reader holds the only place: a pace that never ends its turn.
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
