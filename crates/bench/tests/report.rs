//! Tests of the report page.

use bench::report::Line;
use bench::report::render;
use bench::slopes::Fit;
use serde_json::Value;
use serde_json::json;

fn line(fields: Value) -> Line {
    Line {
        file: "file".to_owned(),
        fields,
    }
}

#[test]
fn lines_become_plots_and_tables() {
    let lines = [
        line(
            json!({"policy": "swarm", "agents": 25, "seconds_to_all": 14.0,
            "bound_seconds": 13.4, "origin_copies": 1.02, "timeline": [[0, 0], [14.0, 25]]}),
        ),
        line(
            json!({"policy": "origin", "agents": 25, "seconds_to_all": 90.0,
            "bound_seconds": 13.4, "origin_copies": 25.0}),
        ),
        line(json!({"faults": "<all>", "answered_whole": 9, "p50_ms": 1.0, "p99_ms": 2.0})),
        line(json!({"slope": "agent: links", "hosts": 10, "value": 4.0})),
        line(json!({"slope": "agent: links", "hosts": 20, "value": 5.0})),
    ];
    let page = render(&lines).expect("page");
    assert_eq!(page.matches("<svg").count(), 5);
    assert!(page.contains("replicas over time"));
    assert!(page.contains("&lt;all&gt;") && !page.contains("<all>"));
    let cut = line(json!({"policy": "swarm"}));
    let empty = render(&[cut]).expect("page");
    assert_eq!(
        empty.matches("<svg").count(),
        0,
        "a line without figures gives no plot"
    );
}

#[test]
fn fit_goes_through_points_on_a_line() {
    let fit = Fit::least_squares(&[(1.0, 3.0), (2.0, 5.0), (3.0, 7.0)]).expect("fit");
    assert!((fit.slope - 2.0).abs() < 1e-9 && (fit.value_at(10.0) - 21.0).abs() < 1e-9);
    assert_eq!(Fit::least_squares(&[(1.0, 3.0), (1.0, 5.0)]), None);
    assert_eq!(Fit::least_squares(&[]), None);
}
