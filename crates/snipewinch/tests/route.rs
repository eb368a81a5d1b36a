//! Tests that routes are found by host and longest prefix, and customers by
//! key.

use std::time::Duration;

use snipewinch::region;
use snipewinch::route::Configuration;
use snipewinch::route::Customer;
use snipewinch::route::Refusal;
use snipewinch::route::Repeat;
use snipewinch::route::Route;
use snipewinch::route::Table;
use snipewinch::route::Target;

fn route(name: &str, host: &str, prefix: &str, public: bool) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        repeat: Repeat::Never,
        timeout: Some(Duration::from_secs(1)),
        latency_goal: Duration::from_millis(300),
        priority: 2,
        targets: vec![target("s", 1.0)],
        attempts_max: 1,
        public,
        regions: region::Set::All,
    }
}

fn target(service: &str, weight: f64) -> Target {
    Target {
        service: service.into(),
        weight,
    }
}

fn table() -> Table {
    Table::new(Configuration {
        version: 1,
        routes: vec![
            route("root", "a.example", "/", false),
            route("deep", "a.example", "/x/y/", false),
            route("open", "b.example", "/", true),
        ],
        customers: Some(vec![Customer {
            name: "songs".into(),
            keys: vec!["k1".into(), "k2".into()],
            priority: Some(0),
            regions: region::Set::All,
        }]),
        ..Configuration::default()
    })
}

fn found(host: &str, path: &str, key: Option<&str>) -> Result<String, Refusal> {
    let table = table();
    let found = table.find(host, path, key)?;
    Ok(found.route.name.to_string())
}

#[test]
fn the_longest_prefix_wins() {
    let cases = [
        ("/x/y/z", "deep"),
        ("/x/y/", "deep"),
        ("/x/y", "root"),
        ("/x/yz/", "root"),
        ("/", "root"),
    ];
    for (path, name) in cases {
        assert_eq!(
            found("a.example", path, Some("k2")).as_deref(),
            Ok(name),
            "{path}"
        );
    }
}

#[test]
fn the_host_is_matched_ignoring_case_and_port() {
    assert_eq!(
        found("A.Example:8080", "/", Some("k1")).as_deref(),
        Ok("root")
    );
    assert_eq!(found("c.example", "/", Some("k1")), Err(Refusal::NoRoute));
    assert_eq!(found("", "/", Some("k1")), Err(Refusal::NoRoute));
}

#[test]
fn a_key_is_required_unless_the_route_is_public() {
    assert_eq!(found("a.example", "/", None), Err(Refusal::UnknownKey));
    assert_eq!(
        found("a.example", "/", Some("k3")),
        Err(Refusal::UnknownKey)
    );
    assert_eq!(found("b.example", "/", None).as_deref(), Ok("open"));
}

#[test]
fn an_asterisk_target_has_no_route() {
    assert_eq!(found("a.example", "*", Some("k1")), Err(Refusal::NoRoute));
}

#[test]
fn the_customers_priority_overrides_the_routes() {
    let table = table();
    let found = table.find("a.example", "/", Some("k1")).expect("a route");
    assert_eq!(found.priority(), 0);
    let found_public = table.find("b.example", "/", None).expect("a route");
    assert_eq!(found_public.priority(), 2);
}

#[test]
fn services_are_chosen_by_weight() {
    let mut split = route("split", "a", "/", true);
    split.targets = vec![
        target("most", 90.0),
        target("some", 10.0),
        target("none", 0.0),
    ];
    let table = Table::new(Configuration {
        routes: vec![split],
        ..Configuration::default()
    });
    let found = table.find("a", "/", None).expect("a route");
    let draws_of = |name: &str| {
        let draws = (0..10_000).filter_map(|seed| found.service(seed));
        draws.filter(|service| *service == name).count()
    };
    assert!((8_800..9_200).contains(&draws_of("most")));
    assert_eq!(draws_of("none"), 0);
}
