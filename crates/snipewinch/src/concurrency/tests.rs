use super::*;

/// Simulates a backend server that runs `capacity` calls at once, each for
/// `service_time`, and queues the rest, while as many calls are in flight as
/// the limit allows. Returns the mean number of calls in flight and the highest
/// latency in seconds, both over the second half of the time.
fn simulate(
    limit: &mut Limit,
    now: &mut Duration,
    capacity: u32,
    service_time: Duration,
    seconds: u32,
) -> (f64, f64) {
    let step = Duration::from_millis(10);
    let steps = seconds * 100;
    let mut sum = 0.0;
    let mut worst = 0.0f64;
    let mut completed = 0.0;
    for n in 0..steps {
        *now += step;
        let running = limit.get();
        let queued = f64::from(running.saturating_sub(capacity));
        let latency = service_time.as_secs_f64() * (1.0 + queued / f64::from(capacity));
        completed +=
            f64::from(running.min(capacity)) * step.as_secs_f64() / service_time.as_secs_f64();
        while completed >= 1.0 {
            completed -= 1.0;
            let sample = Sample::Answered(Duration::from_secs_f64(latency));
            limit.record(*now, running, sample);
        }
        if n >= steps / 2 {
            sum += f64::from(running);
            worst = worst.max(latency);
        }
    }
    (sum / f64::from(steps - steps / 2), worst)
}

/// The highest ratio of the limit to the capacity. The limit converges to
/// `limit = LATENCY_TOLERANCE * capacity + QUEUE_FACTOR * sqrt(limit)`, which
/// is 1.56 times the capacity at 4 and approaches `LATENCY_TOLERANCE` times it
/// for higher ones. The bound allows for one window's step above that.
const CONVERGED_MAX: f64 = 2.0;

#[test]
fn the_limit_converges_to_the_capacity_of_the_backend_server() {
    let service_time = Duration::from_millis(50);
    for capacity in [4, 16, 64, 256] {
        for initial in [2, 16, 512] {
            let mut limit = Limit::new(initial, 1, 1024);
            let mut now = Duration::ZERO;
            let (mean, worst) = simulate(&mut limit, &mut now, capacity, service_time, 120);
            let ratio = mean / f64::from(capacity);
            let case = format!("capacity {capacity}, initial {initial}: {mean:.1}, {worst:.3} s");
            assert!(ratio >= 0.95, "{case}");
            assert!(ratio <= CONVERGED_MAX, "{case}");
            assert!(
                worst <= CONVERGED_MAX * service_time.as_secs_f64(),
                "{case}"
            );
        }
    }
}

#[test]
fn the_limit_follows_a_capacity_that_shrinks() {
    let service_time = Duration::from_millis(50);
    let mut limit = Limit::new(16, 1, 1024);
    let mut now = Duration::ZERO;
    let (before, _) = simulate(&mut limit, &mut now, 64, service_time, 60);
    let (after, _) = simulate(&mut limit, &mut now, 16, service_time, 60);
    assert!((64.0..=CONVERGED_MAX * 64.0).contains(&before), "{before}");
    assert!((16.0..=CONVERGED_MAX * 16.0).contains(&after), "{after}");
}

/// Guards against a base latency that never rises: slower work would look like
/// a queue, and the limit would stay below the capacity.
#[test]
fn the_limit_recovers_after_the_work_becomes_slower() {
    let mut limit = Limit::new(16, 1, 1024);
    let mut now = Duration::ZERO;
    simulate(&mut limit, &mut now, 32, Duration::from_millis(20), 60);
    let (mean, _) = simulate(&mut limit, &mut now, 32, Duration::from_millis(200), 120);
    assert!((32.0..=CONVERGED_MAX * 32.0).contains(&mean), "{mean}");
}

#[test]
fn dropped_calls_shrink_the_limit_once_per_window_down_to_the_minimum() {
    let mut limit = Limit::new(100, 10, 1000);
    let now = Duration::from_secs(1);
    (0..50).for_each(|_| limit.record(now, 100, Sample::Dropped));
    assert_eq!(limit.get(), 90);
    for n in 0..100 {
        limit.record(now + n * WINDOW_DURATION_MIN, 100, Sample::Dropped);
    }
    assert_eq!(limit.get(), 10);
}

#[test]
fn an_underused_limit_does_not_grow() {
    let mut limit = Limit::new(20, 1, 1000);
    for n in 0..1000 {
        let now = Duration::from_millis(20) * n;
        limit.record(now, 3, Sample::Answered(Duration::from_millis(10)));
    }
    assert_eq!(limit.get(), 20);
}
