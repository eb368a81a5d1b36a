use std::time::Duration;

use platform::follow::Change;
use platform::rows::Row;

use super::Listing;
use super::RETURN_GRACE;
use super::Update;

const NOW: Duration = Duration::from_secs(10);

fn row(key: &str, state: &str) -> Row {
    let value = format!(
        r#"{{"service":"s","address":"10.0.0.1:80","zone":"z","state":"{state}","slots":4}}"#
    );
    Row {
        key: key.into(),
        value: Some(value.into_bytes()),
        version: 1,
    }
}

fn dropped(key: &str) -> Row {
    Row {
        key: key.into(),
        value: None,
        version: 2,
    }
}

fn listing() -> Listing {
    let mut listing = Listing::default();
    let rows = vec![row("a", "ready"), row("b", "ready")];
    assert_eq!(listing.apply(NOW, Change::Snapshot(rows)).len(), 2);
    listing
}

#[test]
fn an_entry_that_is_dropped_is_gone_at_once() {
    let mut listing = listing();
    let news = listing.apply(NOW, Change::Rows(vec![dropped("a")]));
    assert_eq!(news, [Update::Removed("a".into())]);
}

#[test]
fn an_entry_missing_after_an_outage_has_time_to_come_back() {
    let mut listing = listing();
    listing.apply(NOW, Change::Disconnected);
    assert!(
        listing
            .apply(NOW, Change::Snapshot(vec![row("b", "ready")]))
            .is_empty()
    );
    assert!(listing.tick(NOW + RETURN_GRACE / 2).is_empty());
    listing.apply(NOW, Change::Rows(vec![row("a", "ready")]));
    assert!(listing.tick(NOW + RETURN_GRACE).is_empty(), "it came back");
}

#[test]
fn an_entry_that_does_not_come_back_is_gone() {
    let mut listing = listing();
    listing.apply(NOW, Change::Disconnected);
    listing.apply(NOW, Change::Rows(vec![dropped("a")]));
    let news = listing.tick(NOW + RETURN_GRACE);
    assert_eq!(news, [Update::Removed("a".into())]);
}

/// A host that was cut off from the store came back; a backend server left a
/// second later and got work for 2,047 ms (hunt, scale-2, seed 1090723487021).
#[test]
fn a_server_that_leaves_after_the_return_is_gone_at_once() {
    let mut listing = listing();
    listing.apply(NOW, Change::Disconnected);
    listing.apply(NOW, Change::Rows(Vec::new()));
    let news = listing.apply(
        NOW + Duration::from_secs(1),
        Change::Rows(vec![dropped("a")]),
    );
    assert_eq!(news, [Update::Removed("a".into())]);
}

#[test]
fn an_outage_alone_drops_nothing() {
    let mut listing = listing();
    listing.apply(NOW, Change::Disconnected);
    assert!(listing.tick(NOW + Duration::from_secs(60)).is_empty());
}

#[test]
fn entries_that_cannot_be_read_name_no_server() {
    let mut listing = Listing::default();
    let bytes = [&b"no json"[..], b"{}", br#"{"service":1,"state":"ready"}"#];
    let mut rows: Vec<Row> = bytes
        .iter()
        .enumerate()
        .map(|(place, bytes)| Row {
            key: place.to_string().into(),
            value: Some(bytes.to_vec()),
            version: 1,
        })
        .collect();
    rows.push(row("odd", "resting"));
    rows.push(row("a", "ready"));
    let news = listing.apply(NOW, Change::Snapshot(rows));
    assert!(matches!(&news[..], [Update::Listed(id, _)] if id == "a"));
}
