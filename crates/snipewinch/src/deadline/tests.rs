use super::*;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn the_timeout_sent_never_exceeds_the_time_left() {
    let reserve = Duration::from_millis(5);
    let cases = [
        // (time at the sender, time left there, timeout sent)
        (SECOND, SECOND, 995),
        (SECOND, Duration::from_millis(5), 0),
        (SECOND, Duration::ZERO, 0),
    ];
    for (now, left, timeout) in cases {
        let deadline = Deadline::after(now, left);
        assert_eq!(deadline.timeout_ms(now, reserve), timeout, "{left:?} left");
        let received = Deadline::from_timeout_ms(100 * SECOND, timeout);
        assert!(received.remaining(100 * SECOND) <= left);
    }
}

#[test]
fn a_deadline_that_has_passed_stays_passed() {
    let deadline = Deadline::after(SECOND, SECOND);
    assert!(!deadline.has_passed(2 * SECOND - Duration::from_nanos(1)));
    assert!(deadline.has_passed(2 * SECOND));
    assert_eq!(deadline.remaining(3 * SECOND), Duration::ZERO);
    assert_eq!(
        deadline.earlier(Deadline::after(SECOND, 2 * SECOND)),
        deadline
    );
}
