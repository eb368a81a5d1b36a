use super::*;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn travels_as_time_left() {
    let reserve = Duration::from_millis(5);
    let table = [
        // (now at the sender, time left there, what is sent)
        (SECOND, SECOND, 995),
        (SECOND, Duration::from_millis(5), 0),
        (SECOND, Duration::ZERO, 0),
    ];
    for (now, left, sent) in table {
        let deadline = Deadline::after(now, left);
        assert_eq!(deadline.timeout_ms(now, reserve), sent, "{left:?} left");
        let elsewhere = Deadline::from_timeout_ms(100 * SECOND, sent);
        assert!(elsewhere.remaining(100 * SECOND) <= left);
    }
}

#[test]
fn passes_once_and_for_all() {
    let deadline = Deadline::after(SECOND, SECOND);
    assert!(!deadline.has_passed(2 * SECOND - Duration::from_nanos(1)));
    assert!(deadline.has_passed(2 * SECOND));
    assert_eq!(deadline.remaining(3 * SECOND), Duration::ZERO);
    assert_eq!(
        deadline.earlier(Deadline::after(SECOND, 2 * SECOND)),
        deadline
    );
}
