use super::*;

#[test]
fn retries_never_pass_a_tenth_of_first_tries() {
    for seed in 0..200 {
        let mut draw = Rng::new(seed);
        let mut budget = Budget::default();
        let mut tries = 0u64;
        let mut retries = 0u64;
        for _ in 0..5_000 {
            match draw.below(3) {
                0 => {
                    tries += 1;
                    budget.deposit();
                }
                _ => retries += u64::from(budget.withdraw()),
            }
            assert!(retries * 10 <= tries, "seed {seed}: {retries} of {tries}");
        }
        assert!(retries * 11 >= tries, "seed {seed}: the budget is not used");
    }
}

#[test]
fn what_is_saved_is_bounded() {
    let mut budget = Budget::default();
    (0..1_000_000).for_each(|_| budget.deposit());
    assert_eq!(budget.balance(), u64::from(BALANCE_MAX));
}

#[test]
fn waits_grow_and_stay_below_the_most() {
    let first = Duration::from_millis(10);
    let most = Duration::from_millis(80);
    for seed in 0..100 {
        let mut backoff = Backoff::new(first, most, seed);
        for limit in [10, 20, 40, 80, 80, 80] {
            let wait = backoff.next_delay();
            assert!(wait <= Duration::from_millis(limit), "seed {seed}");
        }
        backoff.reset();
        assert!(backoff.next_delay() <= first, "seed {seed}");
    }
}

#[test]
fn processes_that_fail_together_do_not_come_back_together() {
    let waits: std::collections::BTreeSet<Duration> = (0..100)
        .map(|seed| {
            let mut backoff = Backoff::new(Duration::from_secs(1), Duration::from_secs(60), seed);
            backoff.next_delay()
        })
        .collect();
    assert_eq!(waits.len(), 100);
}
