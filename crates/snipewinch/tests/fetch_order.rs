//! Two versions published shortly after each other.

use std::time::Duration;

use snipewinch::weights::fetch_order::Download;
use snipewinch::weights::fetch_order::Order;
use snipewinch::weights::fetch_order::finish_older_first;
use snipewinch::weights::fetch_order::order;

const SIZE_BYTES: f64 = 2_359_296.0;
/// The rate of an origin's link of 7.3 Mbit/s: a copy takes 2.6 s.
const RATE_BYTES_PER_S: f64 = 7.3 * 125_000.0;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn download(fraction_held: f64, due_ms: u64) -> Download {
    Download {
        size_bytes: SIZE_BYTES,
        fraction_held,
        due: ms(due_ms),
    }
}

#[test]
fn a_nearly_complete_version_is_finished_if_there_is_time_for_both() {
    let newest = download(0.0, 10_000);
    let finishes = |fraction_held| {
        finish_older_first(
            ms(2_000),
            download(fraction_held, 8_000),
            newest,
            RATE_BYTES_PER_S,
        )
    };
    assert!(finishes(0.75));
    assert!(!finishes(0.2));
    assert!(!finishes(1.0));
}

/// The origin was unavailable for 6 s in the middle of the older version.
/// Finishing that one would make the newest late, and no engine may serve
/// without the newest then.
#[test]
fn a_version_that_would_make_the_newest_late_is_not_finished() {
    let newest = download(0.0, 9_400);
    assert!(!finish_older_first(
        ms(8_600),
        download(0.75, 7_400),
        newest,
        RATE_BYTES_PER_S
    ));
    assert!(!finish_older_first(
        ms(9_400),
        download(0.99, 7_400),
        newest,
        RATE_BYTES_PER_S
    ));
}

/// As above, with less of the older version missing and later due times:
/// engines serve with it for 1.5 s in which they could not serve at all.
#[test]
fn a_version_that_serves_until_the_newest_is_complete_is_finished() {
    let newest = download(0.0, 11_400);
    assert!(finish_older_first(
        ms(8_500),
        download(0.92, 9_400),
        newest,
        RATE_BYTES_PER_S
    ));
}

/// Guards against an agent that gives up a version which the fleet holds whole,
/// when only its own last chunks and the load lie before its use.
#[test]
fn a_version_that_the_fleet_holds_is_not_given_up_while_engines_can_use_it() {
    let newest = download(0.0, 9_700);
    let at = |now_ms| order(ms(now_ms), download(1.0, 7_700), newest, RATE_BYTES_PER_S);
    assert_eq!(at(8_600), Order::OlderFirst);
    assert_eq!(at(9_100), Order::OlderFirst);
    assert_eq!(at(9_300), Order::NewestOnly);
}

/// Guards against a newest version that waits for one that comes too late, and
/// against agents that stop passing that one on while it may still be of use.
#[test]
fn a_version_too_late_to_be_first_is_still_exchanged_until_it_is_outdated() {
    let newest = download(0.0, 9_700);
    let at = |now_ms| order(ms(now_ms), download(0.7, 7_700), newest, RATE_BYTES_PER_S);
    assert_eq!(at(6_000), Order::OlderFirst);
    assert_eq!(at(7_300), Order::NewestFirst);
    assert_eq!(at(7_500), Order::NewestOnly);
}
