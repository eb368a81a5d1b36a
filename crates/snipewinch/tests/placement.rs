//! Tests the decision whether a request may go to a backend server.

use std::time::Duration;

use snipewinch::cold;
use snipewinch::cutover::Verdict;
use snipewinch::evacuation::Event;
use snipewinch::evacuation::RESTORED_HOLD;
use snipewinch::evacuation::Zones;
use snipewinch::placement::Exclusion;
use snipewinch::placement::Facts;
use snipewinch::region::Index;
use snipewinch::region::Mask;
use snipewinch::region::Set;
use snipewinch::server_limit::Admission;

const WAIT: Duration = Duration::from_millis(70);

/// A server to which a request may go.
fn open() -> Facts {
    Facts {
        region_allowed: true,
        evacuated: false,
        leaving: false,
        apart: false,
        limit: Admission::Unlimited,
        cold: cold::Admission::Open,
        weights: Verdict::Current,
    }
}

/// Makes one fact a reason against the server.
type Spoil = fn(&mut Facts);

/// Each reason with what brings it about, the most lasting first.
fn reasons() -> Vec<(Exclusion, Spoil)> {
    vec![
        (Exclusion::Region, |facts| facts.region_allowed = false),
        (Exclusion::Evacuated, |facts| facts.evacuated = true),
        (Exclusion::Leaving, |facts| facts.leaving = true),
        (Exclusion::Apart, |facts| facts.apart = true),
        (Exclusion::Resting(WAIT), |facts| {
            facts.limit = Admission::Resting(WAIT);
        }),
        (Exclusion::OldWeights, |facts| {
            facts.weights = Verdict::Outdated;
        }),
        (Exclusion::Limited(Some(WAIT)), |facts| {
            facts.limit = Admission::Later(WAIT);
        }),
        (Exclusion::Cold(WAIT), |facts| {
            facts.cold = cold::Admission::Later(WAIT);
        }),
    ]
}

/// Guards against a reason that is forgotten, or that hides a more lasting one.
#[test]
fn each_reason_excludes_a_server_and_the_most_lasting_one_is_named() {
    assert_eq!(open().check(), Ok(()));
    let reasons = reasons();
    for (index, (exclusion, spoil)) in reasons.iter().enumerate() {
        let mut facts = open();
        spoil(&mut facts);
        assert_eq!(facts.check(), Err(*exclusion));
        for (other, spoil_too) in &reasons[index + 1..] {
            let mut both = facts;
            spoil_too(&mut both);
            // A limit is one value: the later reason takes the place of a rest.
            let replaces = matches!(exclusion, Exclusion::Resting(_))
                && matches!(other, Exclusion::Limited(_));
            if !replaces {
                assert_eq!(both.check(), Err(*exclusion), "beside {}", other.name());
            }
        }
    }
}

/// Guards against a request that is sent over a connection that was opened while its
/// region was closed to it, or the server's zone evacuated.
#[test]
fn a_slot_is_no_permit_for_a_server_in_a_wrong_place() {
    for (exclusion, spoil) in reasons() {
        let mut facts = open();
        spoil(&mut facts);
        let expected = match exclusion {
            Exclusion::Apart
            | Exclusion::Cold(_)
            | Exclusion::Limited(_)
            | Exclusion::OldWeights => Ok(()),
            lasting => Err(lasting),
        };
        assert_eq!(facts.check_held(), expected);
    }
}

fn index() -> Index {
    let zones = [("za", "ra"), ("zb", "rb"), ("zc", "rb")];
    let zones = zones.map(|(zone, region)| (zone.into(), region.into()));
    Index::new(zones.iter().map(|(zone, region)| (zone, region)))
}

/// Guards against servers in a region that is not allowed, or not known.
#[test]
fn only_servers_in_allowed_regions_are_in_place() {
    let index = index();
    let only_b = index.mask(&Set::of(vec!["rb".into(), "elsewhere".into()]));
    let allowed = ["za", "zb", "zc", "unknown"].map(|zone| only_b.contains(index.region(zone)));
    assert_eq!(allowed, [false, true, true, false]);
    assert!(Mask::ALL.contains(index.region("unknown")));
    let both = index.mask(&Set::of(vec!["ra".into(), "rb".into()]));
    assert!(!both.contains(index.region("unknown")));
    let none = index.mask(&Set::of(vec!["ra".into()])).intersection(only_b);
    assert!(none.is_empty() && !none.contains(index.region("unknown")));
    assert!(index.mask(&Set::of(vec!["elsewhere".into()])).is_empty());
}

/// Guards against an evacuation that a change of the store ends, or does not end.
#[test]
fn a_zone_is_evacuated_while_its_row_is_there() {
    let at = Duration::from_secs;
    let mut zones = Zones::default();
    assert_eq!(zones.record(at(1), "za"), Some(Event::Begun("za".into())));
    assert_eq!(zones.record(at(2), "za"), None);
    assert_eq!(
        zones.replace(at(3), &["za", "zb"]),
        [Event::Begun("zb".into())]
    );
    assert_eq!(
        zones.remove(at(5), "za"),
        Some(Event::Ended("za".into(), at(4)))
    );
    assert_eq!(
        zones.replace(at(6), &[]),
        [Event::Ended("zb".into(), at(3))]
    );
    assert_eq!(zones.names().count(), 0);
}

/// Guards against a zone that is filled again because a restored store has lost the
/// row of its evacuation, and against one that stays empty for good.
#[test]
fn a_restored_store_does_not_end_an_evacuation_silently() {
    let at = Duration::from_secs;
    let mut zones = Zones::default();
    zones.record(at(1), "za");
    zones.record(at(1), "zb");
    zones.record_restored();
    let kept = [Event::Kept("za".into()), Event::Kept("zb".into())];
    assert_eq!(zones.replace(at(2), &[]), kept);
    assert_eq!(zones.replace(at(3), &[]), []);
    assert_eq!(zones.names().count(), 2);
    assert_eq!(zones.record(at(4), "zb"), None);
    assert_eq!(zones.expire(at(2) + RESTORED_HOLD - at(1)), []);
    let lapsed = [Event::Lapsed("za".into())];
    assert_eq!(zones.expire(at(2) + RESTORED_HOLD), lapsed);
    let left: Vec<_> = zones.names().collect();
    assert_eq!(left, ["zb"]);
}
