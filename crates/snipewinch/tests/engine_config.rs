//! The part of a configuration that agents get.

use std::time::Duration;

use snipewinch::engine_config::EngineConfig;
use snipewinch::grant::Message;
use snipewinch::region;
use snipewinch::route::Configuration;
use snipewinch::route::Engine;
use snipewinch::route::Origin;
use snipewinch::route::Repeat;
use snipewinch::route::Route;
use snipewinch::route::Service;
use snipewinch::route::Table;
use snipewinch::route::Target;

/// The longest datagram that is accepted, less its tag and a margin.
const DATAGRAM_MAX_BYTES: usize = 1_100;

fn route(name: &str, service: &str, gap_ms: u64) -> Route {
    Route {
        name: name.into(),
        host: "host.example".into(),
        prefix: format!("/{name}/").into(),
        repeat: Repeat::Stream {
            resumable: true,
            gap: Duration::from_millis(gap_ms),
        },
        timeout: None,
        latency_goal: Duration::from_millis(400),
        priority: 1,
        targets: vec![Target {
            service: service.into(),
            weight: 1.0,
        }],
        attempts_max: 2,
        public: false,
        regions: region::Set::All,
    }
}

fn service(name: &str, engine: Option<Engine>, origin: Option<Origin>) -> Service {
    Service {
        name: name.into(),
        connections_max: Some(976),
        engine,
        origin,
        cold: None,
    }
}

fn table(version: u64, routes: Vec<Route>) -> Table {
    let engine = Engine {
        slots: 16,
        stride: 5,
        model: Some("a model with a name of some length".into()),
        warm: Duration::from_millis(300),
        step: Duration::from_micros(9_270),
        step_per_call: Duration::from_nanos(23_200),
        step_per_kilotoken: Duration::from_nanos(32_200),
        read_per_s: 20_700.0,
        usual_prompt: 979.123_456_789,
        usual_answer: 91.123_456_789,
        chunks: 96,
        chunk_bytes: 24_576,
    };
    let origin = Origin {
        address: ([172, 20, 0, 3], 8_442).into(),
        zone: Some("hill-country-a".into()),
        link_mbit: 7.3,
    };
    Table::new(Configuration {
        version,
        routes,
        services: vec![
            service("engines", Some(engine), None),
            service("desk", None, None),
            service("weights", None, Some(origin)),
        ],
        ..Configuration::default()
    })
}

#[test]
fn max_gap_is_the_shortest_of_the_routes_to_the_engines() {
    let routes = vec![
        route("slow", "engines", 900),
        route("quick", "engines", 400),
        route("other", "desk", 100),
        route("unbounded", "engines", 0),
    ];
    let table = table(3, routes);
    let config =
        EngineConfig::for_service(&table, &"engines".into()).expect("the service has engines");
    assert_eq!(
        (config.version, config.max_gap),
        (3, Duration::from_millis(400))
    );
    assert_eq!(
        config.origin.map(|origin| origin.address.port()),
        Some(8_442)
    );
    assert_eq!(EngineConfig::for_service(&table, &"desk".into()), None);
}

/// Guards against agents reading routes that they do not need: when a
/// configuration grew by 880 routes, none of which changed the engines, 76
/// agents read it and filled the links between regions (grown bluebonnet
/// scale-1, CONFIG and DENIED; trouble-3, RECOVER).
#[test]
fn more_routes_do_not_change_the_digest_or_exceed_a_datagram() {
    let config = |version, count| {
        let routes = (0..count).map(|index| route(&format!("r{index}"), "engines", 400));
        EngineConfig::for_service(&table(version, routes.collect()), &"engines".into())
            .expect("the service has engines")
    };
    assert_eq!(config(3, 1).digest(), config(4, 900).digest());
    let other = EngineConfig {
        max_gap: Duration::from_millis(500),
        ..config(3, 1)
    };
    assert_ne!(config(3, 1).digest(), other.digest());
    let message = Message::EngineConfig(Box::new(config(4, 900)));
    let length = serde_json::to_vec(&message)
        .expect("a message is serializable")
        .len();
    assert!(length <= DATAGRAM_MAX_BYTES, "{length} bytes");
}
