use super::*;

/// A back end that runs `capacity` calls at once in `service` each and queues
/// the rest; the driver keeps as many calls in flight as the limit allows.
fn settle(
    limit: &mut Limit,
    now: &mut Duration,
    capacity: u32,
    service: Duration,
    seconds: u32,
) -> (f64, f64) {
    let step = Duration::from_millis(10);
    let steps = seconds * 100;
    let mut sum = 0.0;
    let mut worst = 0.0f64;
    let mut debt = 0.0;
    for n in 0..steps {
        *now += step;
        let running = limit.get();
        let queued = f64::from(running.saturating_sub(capacity));
        let latency = service.as_secs_f64() * (1.0 + queued / f64::from(capacity));
        debt += f64::from(running.min(capacity)) * step.as_secs_f64() / service.as_secs_f64();
        while debt >= 1.0 {
            debt -= 1.0;
            let sample = Sample::Answered(Duration::from_secs_f64(latency));
            limit.sample(*now, running, sample);
        }
        if n >= steps / 2 {
            sum += f64::from(running);
            worst = worst.max(latency);
        }
    }
    (sum / f64::from(steps - steps / 2), worst)
}

/// The limit rests where `limit = TOLERANCE * capacity + ROOM * sqrt(limit)`,
/// which is 1.56 times the capacity at 4 and nears `TOLERANCE` times it for
/// more. One window's step above that is allowed for.
const REST_MAX: f64 = 2.0;

#[test]
fn finds_a_back_end_s_capacity() {
    let service = Duration::from_millis(50);
    for capacity in [4, 16, 64, 256] {
        for first in [2, 16, 512] {
            let mut limit = Limit::new(first, 1, 1024);
            let mut now = Duration::ZERO;
            let (mean, worst) = settle(&mut limit, &mut now, capacity, service, 120);
            let part = mean / f64::from(capacity);
            let case = format!("capacity {capacity}, first {first}: {mean:.1}, {worst:.3} s");
            assert!(part >= 0.95, "{case}");
            assert!(part <= REST_MAX, "{case}");
            assert!(worst <= REST_MAX * service.as_secs_f64(), "{case}");
        }
    }
}

#[test]
fn follows_a_capacity_that_shrinks() {
    let service = Duration::from_millis(50);
    let mut limit = Limit::new(16, 1, 1024);
    let mut now = Duration::ZERO;
    let (wide, _) = settle(&mut limit, &mut now, 64, service, 60);
    let (narrow, _) = settle(&mut limit, &mut now, 16, service, 60);
    assert!((64.0..=REST_MAX * 64.0).contains(&wide), "{wide}");
    assert!((16.0..=REST_MAX * 16.0).contains(&narrow), "{narrow}");
}

#[test]
fn follows_work_that_becomes_slower() {
    let mut limit = Limit::new(16, 1, 1024);
    let mut now = Duration::ZERO;
    settle(&mut limit, &mut now, 32, Duration::from_millis(20), 60);
    let (mean, _) = settle(&mut limit, &mut now, 32, Duration::from_millis(200), 120);
    assert!((32.0..=REST_MAX * 32.0).contains(&mean), "{mean}");
}

#[test]
fn drops_shrink_it_once_a_window_and_not_below_the_least() {
    let mut limit = Limit::new(100, 10, 1000);
    let now = Duration::from_secs(1);
    (0..50).for_each(|_| limit.sample(now, 100, Sample::Dropped));
    assert_eq!(limit.get(), 90);
    for n in 0..100 {
        limit.sample(now + n * WINDOW, 100, Sample::Dropped);
    }
    assert_eq!(limit.get(), 10);
}

#[test]
fn does_not_grow_while_it_is_not_used() {
    let mut limit = Limit::new(20, 1, 1000);
    for n in 0..1000 {
        let now = Duration::from_millis(20) * n;
        limit.sample(now, 3, Sample::Answered(Duration::from_millis(10)));
    }
    assert_eq!(limit.get(), 20);
}
