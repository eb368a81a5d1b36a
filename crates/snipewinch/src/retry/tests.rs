use super::*;

#[test]
fn retries_never_exceed_a_tenth_of_first_attempts() {
    for seed in 0..200 {
        let mut rng = Rng::new(seed);
        let mut budget = Budget::default();
        let mut first_attempts = 0u64;
        let mut retries = 0u64;
        for _ in 0..5_000 {
            match rng.below(3) {
                0 => {
                    first_attempts += 1;
                    budget.deposit();
                }
                _ => retries += u64::from(budget.withdraw()),
            }
            assert!(
                retries * 10 <= first_attempts,
                "seed {seed}: {retries} of {first_attempts}"
            );
        }
        assert!(
            retries * 11 >= first_attempts,
            "seed {seed}: the budget is not used"
        );
    }
}

#[test]
fn the_balance_is_bounded() {
    let mut budget = Budget::default();
    (0..1_000_000).for_each(|_| budget.deposit());
    assert_eq!(budget.balance(), u64::from(BALANCE_MAX));
}

#[test]
fn delays_grow_and_stay_below_the_cap() {
    let first = Duration::from_millis(10);
    let cap = Duration::from_millis(80);
    for seed in 0..100 {
        let mut backoff = Backoff::new(first, cap, seed);
        for limit in [10, 20, 40, 80, 80, 80] {
            let delay = backoff.next_delay();
            assert!(delay <= Duration::from_millis(limit), "seed {seed}");
        }
        backoff.reset();
        assert!(backoff.next_delay() <= first, "seed {seed}");
    }
}

#[test]
fn processes_that_fail_together_retry_at_different_times() {
    let delays: std::collections::BTreeSet<Duration> = (0..100)
        .map(|seed| {
            let mut backoff = Backoff::new(Duration::from_secs(1), Duration::from_secs(60), seed);
            backoff.next_delay()
        })
        .collect();
    assert_eq!(delays.len(), 100);
}
