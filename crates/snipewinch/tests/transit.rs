//! How many slots an agent grants while requests do not arrive at its engine.

use std::time::Duration;

use snipewinch::transit::Transit;

const MS: Duration = Duration::from_millis(1);

/// Guards against requests that are sent one after the other to an engine behind a
/// full link, which has few of them and so seems to be idle.
#[test]
fn slots_are_granted_again_and_again_while_no_request_arrives() {
    for slots in [16, 12, 8] {
        let mut transit = Transit::default();
        let full = u64::from(slots);
        assert_eq!(transit.capacity(MS * 100, slots, full, 0), slots);
        assert_eq!(transit.capacity(MS * 300, slots, full, 0), slots);
        let limited = transit.capacity(MS * 500, slots, full, 0);
        assert!(limited <= slots / 4, "{limited} of {slots}");
        let some = transit.capacity(MS * 600, slots, full, 3);
        assert_eq!(some, limited + 3, "as many more as have arrived");
        let arrived = transit.capacity(MS * 1_000, slots, full, full);
        assert_eq!(arrived, slots, "all have arrived");
        let few = transit.capacity(MS * 1_100, slots, 2, 1);
        assert_eq!(few, limited + 1, "the link may still be full");
        assert_eq!(transit.capacity(MS * 2_100, slots, 2, 1), slots);
    }
}

/// Guards against an engine that gets fewer requests than it could serve because
/// some are always on the way.
#[test]
fn slots_are_withheld_although_requests_arrive() {
    let mut transit = Transit::default();
    for step in 0..100_u32 {
        let at_engine = if step % 5 == 0 { 8 } else { 14 };
        let capacity = transit.capacity(MS * 100 * step, 16, 16, at_engine);
        assert_eq!(capacity, 16, "step {step}");
    }
}
