//! Slots are never granted twice and are released whichever messages are lost.

use std::time::Duration;

use quickcheck::quickcheck;
use snipewinch::cutover::Estimate;
use snipewinch::cutover::Interval;
use snipewinch::cutover::Publication;
use snipewinch::engine::Spec;
use snipewinch::grant::Credit;
use snipewinch::grant::Demand;
use snipewinch::grant::Holder;
use snipewinch::grant::HolderId;
use snipewinch::grant::Issuer;
use snipewinch::grant::IssuerId;
use snipewinch::grant::LEASE;
use snipewinch::grant::RENEWAL_INTERVAL;
use snipewinch::grant::min_version;

const SLOTS: u32 = 4;
const STEP: Duration = Duration::from_millis(10);

fn issuer() -> Issuer {
    let mut issuer = Issuer::new();
    issuer.set_capacity(SLOTS, 1);
    issuer
}

/// An entry that uses every slot it is granted.
struct Entry {
    holder: Holder,
    waiting: u16,
    running: u64,
}

impl Entry {
    fn new(id: u64) -> Entry {
        Entry {
            holder: Holder::new(HolderId(id)),
            waiting: 0,
            running: 0,
        }
    }

    fn receive(&mut self, now: Duration, credit: &Credit) {
        self.holder.receive(now, credit);
        while self.waiting > 0 && self.holder.acquire() {
            self.waiting -= 1;
            self.running += 1;
        }
        self.holder.release_unused();
    }

    fn demand(&mut self, now: Duration) -> Option<Demand> {
        self.holder.demand(now, self.waiting, 100, 500)
    }

    fn finish(&mut self) {
        if self.running > 0 {
            self.running -= 1;
            self.holder.release();
        }
    }
}

/// Applies what happens to an entry in one step; quickcheck draws it.
fn apply_draw(entry: &mut Entry, draw: u8) {
    match draw % 4 {
        0 => entry.waiting = (entry.waiting + 1).min(8),
        1 => entry.finish(),
        2 => entry.waiting = entry.waiting.saturating_sub(1),
        _ => {}
    }
}

/// Runs the drawn steps with two entries and an agent, whose links lose, repeat
/// and delay messages if `faulty`. Returns whether more requests ran than there
/// are slots.
fn simulate(draws: &[(u8, u8, u8)], faulty: bool) -> (Issuer, [Entry; 2], Duration, bool) {
    let mut issuer = issuer();
    let mut entries = [Entry::new(1), Entry::new(2)];
    let mut delayed: Vec<Demand> = Vec::new();
    let mut now = Duration::ZERO;
    let mut exceeded = false;
    for (first, second, fault) in draws {
        now += STEP;
        apply_draw(&mut entries[0], *first);
        apply_draw(&mut entries[1], *second);
        let mut demands: Vec<Demand> = entries
            .iter_mut()
            .filter_map(|one| one.demand(now))
            .collect();
        if faulty {
            match fault % 5 {
                0 => demands.clear(),
                1 => delayed.append(&mut demands),
                2 => demands.append(&mut delayed.clone()),
                3 => demands.extend(demands.clone()),
                _ => {}
            }
        }
        for demand in demands {
            issuer.receive(now, &demand);
        }
        issuer.grant(now);
        for (index, entry) in entries.iter_mut().enumerate() {
            let credit = issuer.credit(now, HolderId(index as u64 + 1));
            if !(faulty && fault % 7 == 0) {
                entry.receive(now, &credit);
            }
        }
        exceeded |= entries.iter().map(|one| one.running).sum::<u64>() > u64::from(SLOTS);
    }
    (issuer, entries, now, exceeded)
}

quickcheck! {
    fn running_requests_never_exceed_the_slots(draws: Vec<(u8, u8, u8)>) -> bool {
        let (_, _, _, exceeded) = simulate(&draws, true);
        !exceeded
    }

    fn all_slots_are_released_after_faults(draws: Vec<(u8, u8, u8)>) -> bool {
        let (mut issuer, mut entries, mut now, _) = simulate(&draws, true);
        for _ in 0..6 {
            now += RENEWAL_INTERVAL;
            issuer.expire(now);
            for entry in &mut entries {
                entry.waiting = 0;
                while entry.running > 0 {
                    entry.finish();
                }
                if let Some(demand) = entry.demand(now) {
                    issuer.receive(now, &demand);
                }
            }
            for (index, entry) in entries.iter_mut().enumerate() {
                entry.receive(now, &issuer.credit(now, HolderId(index as u64 + 1)));
            }
        }
        issuer.in_use() == 0
    }
}

fn demand(holder: u64, sequence: u32, waiting: u16, slack_ms: i32, tokens: u32) -> Demand {
    Demand {
        cold_ms: 0,
        holder: HolderId(holder),
        sequence,
        waiting,
        slack_ms,
        tokens,
        priority: 0,
        customer: 0,
        wants: None,
        unused: 0,
        granted: 0,
        released: 0,
        published: None,
        first_newer: None,
    }
}

#[test]
fn slots_of_a_dead_entry_are_granted_to_others() {
    let mut issuer = issuer();
    issuer.receive(Duration::ZERO, &demand(1, 1, 8, 100, 0));
    issuer.grant(Duration::ZERO);
    assert_eq!(issuer.in_use(), u64::from(SLOTS));
    assert_eq!(issuer.expire(LEASE), u64::from(SLOTS));
    issuer.receive(LEASE, &demand(2, 1, 1, 100, 0));
    assert_eq!(issuer.grant(LEASE), [HolderId(2)]);
}

/// The credit for a slot is lost and the entry no longer waits, but it renews
/// its other slots. The lost slot must not stay taken for as long as it does.
#[test]
fn a_slot_whose_credit_was_lost_is_released() {
    let mut issuer = issuer();
    let mut entry = Entry::new(1);
    entry.waiting = 1;
    let first = entry.demand(Duration::ZERO).expect("a request waits");
    issuer.receive(Duration::ZERO, &first);
    issuer.grant(Duration::ZERO);
    entry.receive(Duration::ZERO, &issuer.credit(Duration::ZERO, HolderId(1)));
    entry.waiting = 1;
    let second = entry.demand(STEP).expect("a request waits");
    issuer.receive(STEP, &second);
    issuer.grant(STEP);
    entry.waiting = 0;
    let renewal = entry
        .demand(STEP + RENEWAL_INTERVAL)
        .expect("it renews its running slot");
    issuer.receive(STEP + RENEWAL_INTERVAL, &renewal);
    assert!(issuer.needs_reply(&renewal));
    entry.receive(
        STEP + RENEWAL_INTERVAL,
        &issuer.credit(STEP + RENEWAL_INTERVAL, HolderId(1)),
    );
    let back = entry
        .demand(STEP + RENEWAL_INTERVAL)
        .expect("it releases the slot");
    issuer.receive(STEP + RENEWAL_INTERVAL, &back);
    assert_eq!(issuer.in_use(), 1);
}

#[test]
fn changes_in_waiting_requests_are_batched() {
    let mut holder = Holder::new(HolderId(1));
    let mut demands = 0;
    for tick in 0..100_u64 {
        let now = Duration::from_millis(1_000 + tick * 7);
        let waiting = 5 + (tick % 3) as u16;
        demands += u32::from(holder.demand(now, waiting, 100, 500).is_some());
    }
    assert!(demands <= 15, "{demands} demands in 0.7 s");
    let last = Duration::from_millis(1_701);
    assert!(
        holder.demand(last, 0, 0, 0).is_some(),
        "that no request waits is sent at once"
    );
}

#[test]
fn a_restarted_issuer_adopts_the_slots_that_entries_hold() {
    let mut restarted = issuer();
    let held = Demand {
        granted: 9,
        released: 6,
        ..demand(1, 40, 3, 100, 0)
    };
    restarted.receive(Duration::ZERO, &held);
    assert_eq!(restarted.in_use(), 3);
    restarted.grant(Duration::ZERO);
    assert_eq!(restarted.credit(Duration::ZERO, HolderId(1)).granted, 10);
}

#[test]
fn the_most_urgent_request_goes_first_and_late_ones_last() {
    let mut issuer = issuer();
    issuer.set_capacity(1, 1);
    issuer.receive(Duration::ZERO, &demand(1, 1, 1, -50, 0));
    issuer.receive(Duration::ZERO, &demand(2, 1, 1, 300, 0));
    issuer.receive(Duration::ZERO, &demand(3, 1, 1, 120, 0));
    assert_eq!(issuer.grant(Duration::ZERO), [HolderId(3)]);
}

/// Six prompts of 1,500 tokens in one pass delayed first events by 200 to
/// 400 ms and paused a dozen streams for 500 ms.
#[test]
fn a_burst_of_prompts_is_spread_over_passes() {
    let mut issuer = Issuer::new();
    issuer.set_capacity(16, 1);
    let spec = Spec {
        slots: 16,
        stride: 5,
        step: Duration::from_micros(9_270),
        step_per_call: Duration::from_nanos(23_200),
        read_per_s: 20_700.0,
    };
    issuer.set_engine(spec, 979.0, Duration::from_millis(400));
    let mut now = Duration::from_secs(1);
    issuer.receive(now, &demand(1, 1, 6, 1_000, 1_500));
    issuer.grant(now);
    let at_once = issuer.in_use();
    assert!((2..6).contains(&at_once), "{at_once} were admitted at once");
    while issuer.in_use() < 6 {
        let wake = issuer.next_wakeup(now).expect("requests wait");
        assert!(wake < now + Duration::from_millis(500));
        now = wake + Duration::from_millis(1);
        issuer.grant(now);
    }
}

#[test]
fn a_prompt_longer_than_any_pass_is_admitted_alone() {
    let mut issuer = Issuer::new();
    issuer.set_capacity(16, 1);
    let spec = Spec {
        slots: 16,
        stride: 5,
        step: Duration::from_millis(9),
        step_per_call: Duration::ZERO,
        read_per_s: 1_000.0,
    };
    issuer.set_engine(spec, 500.0, Duration::from_millis(400));
    issuer.receive(Duration::ZERO, &demand(1, 1, 1, 100, 4_000));
    assert_eq!(issuer.grant(Duration::ZERO), [HolderId(1)]);
}

#[test]
fn nothing_is_granted_without_capacity() {
    let mut issuer = issuer();
    issuer.set_capacity(0, 0);
    issuer.receive(Duration::ZERO, &demand(1, 1, 1, 100, 0));
    assert!(issuer.grant(Duration::ZERO).is_empty());
    assert!(!issuer.credit(Duration::ZERO, HolderId(1)).open);
}

fn credit(min_version: u64, publish_time_known: bool) -> Credit {
    let mut issuer = issuer();
    issuer.set_min_version(min_version, publish_time_known);
    issuer.credit(Duration::ZERO, HolderId(1))
}

/// All processes were killed 23 s after a version that few engines held was
/// published; the restarted entries then started requests on the old version
/// (bluebonnet scale-1, VERSION 410).
#[test]
fn a_version_known_at_start_is_old_unless_an_agent_saw_it_published() {
    assert_eq!(
        min_version(0, 2, [].iter()),
        2,
        "no agent has sent a credit"
    );
    assert_eq!(
        min_version(0, 2, [credit(0, false)].iter()),
        2,
        "the agents have restarted too"
    );
    assert_eq!(
        min_version(0, 2, [credit(0, false), credit(1, true)].iter()),
        1,
        "an agent saw it published"
    );
    assert_eq!(
        min_version(0, 2, [credit(2, true)].iter()),
        2,
        "the agent reports that it is old"
    );
    assert_eq!(
        min_version(3, 2, [credit(1, true)].iter()),
        3,
        "the version by the own clock is newer"
    );
    assert_eq!(min_version(0, 0, [].iter()), 0, "none is published");
}

/// Version 2, published at a time.
fn publication(secs: u64) -> Publication {
    Publication {
        version: 2,
        replaces: Some(1),
        published: Some(published_at(secs)),
    }
}

fn published_at(secs: u64) -> Estimate {
    let at = Duration::from_secs(secs);
    Estimate::observed(Interval {
        earliest: at,
        latest: at,
    })
}

#[test]
fn no_slot_is_granted_to_a_request_that_may_begin_too_late_on_old_weights() {
    let spec = Spec {
        slots: SLOTS,
        stride: 1,
        step: STEP,
        step_per_call: Duration::ZERO,
        read_per_s: 20_000.0,
    };
    let begin_by = Duration::from_secs(8);
    let granted = |now: Duration, begin_by, slowness| {
        let mut issuer = issuer();
        issuer.set_engine(spec, 900.0, Duration::from_millis(400));
        issuer.set_slowness(slowness);
        issuer.set_cutover(Some(publication(0)), None, begin_by);
        let mut entry = Entry::new(1);
        entry.waiting = 1;
        issuer.receive(now, &entry.demand(now).expect("it waits"));
        issuer.grant(now).len()
    };
    let late = begin_by - Duration::from_millis(150);
    assert_eq!(granted(late, Some(begin_by), 1.0), 0);
    assert_eq!(granted(late, None, 1.0), 1, "the engine holds the newest");
    let earlier = begin_by - Duration::from_millis(300);
    assert_eq!(granted(earlier, Some(begin_by), 1.0), 1);
    assert_eq!(granted(earlier, Some(begin_by), 4.0), 0, "a slow engine");
}

/// Guards against a long prompt that is refused although it is read well before the
/// bound: its own reading was taken to last half as long again, like the wait for
/// others.
#[test]
fn a_prompt_of_a_second_is_not_granted_1400_ms_before_the_bound() {
    let spec = Spec {
        slots: SLOTS,
        stride: 1,
        step: STEP,
        step_per_call: Duration::ZERO,
        read_per_s: 20_000.0,
    };
    let mut issuer = issuer();
    issuer.set_engine(spec, 400.0, Duration::from_millis(400));
    let now = Duration::from_secs(6);
    let begin_by = now + Duration::from_millis(1_400);
    issuer.set_cutover(Some(publication(0)), None, Some(begin_by));
    let mut entry = Entry::new(1);
    entry.waiting = 1;
    let demand = Demand {
        tokens: 20_000,
        ..entry.demand(now).expect("it waits")
    };
    issuer.receive(now, &demand);
    assert_eq!(issuer.grant(now).len(), 1);
}

#[test]
fn a_credit_says_for_a_minute_how_old_the_newest_version_is() {
    let mut issuer = issuer();
    issuer.set_cutover(Some(publication(3)), None, None);
    let mut published = |now| {
        issuer
            .credit(Duration::from_secs(now), HolderId(1))
            .published
    };
    assert_eq!(published(5).and_then(|one| one.age_ms), Some(2_000));
    assert_eq!(published(64), None);
}

/// Guards against an agent that is woken up over and over while its engine holds
/// weights that are too old for the request that waits.
#[test]
fn an_agent_is_not_woken_up_at_once_while_it_can_grant_nothing() {
    let mut issuer = issuer();
    let spec = Spec {
        slots: SLOTS,
        stride: 1,
        step: STEP,
        step_per_call: Duration::ZERO,
        read_per_s: 20_000.0,
    };
    issuer.set_engine(spec, 900.0, Duration::from_millis(400));
    let begin_by = Duration::from_secs(8);
    issuer.set_cutover(Some(publication(0)), None, Some(begin_by));
    let now = begin_by - Duration::from_millis(150);
    let mut entry = Entry::new(1);
    entry.waiting = 1;
    issuer.receive(now, &entry.demand(now).expect("it waits"));
    assert!(issuer.grant(now).is_empty());
    let wakeup = issuer.next_wakeup(now);
    assert!(wakeup.is_none_or(|at| at > now), "{wakeup:?} at {now:?}");
}

/// Datagrams may overtake each other: an engine that has started anew then seemed to
/// hold what it held before.
#[test]
fn a_credit_that_was_overtaken_brings_an_old_state_back() {
    let mut issuer = issuer();
    issuer.set_capacity(SLOTS, 3);
    let late = issuer.credit(Duration::ZERO, HolderId(1));
    issuer.set_capacity(SLOTS, 2);
    let newest = issuer.credit(Duration::ZERO, HolderId(1));
    let mut holder = Holder::new(HolderId(1));
    holder.receive(Duration::ZERO, &newest);
    holder.receive(Duration::ZERO, &late);
    assert_eq!(holder.last_credit().map(|credit| credit.version), Some(2));
}

#[test]
fn a_report_on_an_engine_before_its_restart_counts() {
    let mut issuer = issuer();
    issuer.set_capacity(SLOTS, 3);
    issuer.set_started(1_000);
    let mut holder = Holder::new(HolderId(1));
    holder.receive(Duration::ZERO, &issuer.credit(Duration::ZERO, HolderId(1)));
    assert_eq!(holder.version(Some(1_000), 2), 3, "the list is older");
    assert_eq!(
        holder.version(Some(900), 2),
        3,
        "the list is of a former start"
    );
    assert_eq!(holder.version(None, 2), 3, "the list does not say");
    assert_eq!(
        holder.version(Some(2_000), 1),
        1,
        "the engine has restarted"
    );
    assert_eq!(holder.version(Some(2_000), 0), 0, "it has no weights");
}

#[test]
fn credits_of_agents_that_do_not_number_them_count_as_they_arrive() {
    let mut holder = Holder::new(HolderId(1));
    for version in [2, 1, 3] {
        let unnumbered = Credit {
            sequence: 0,
            version,
            ..credit(0, false)
        };
        holder.receive(Duration::ZERO, &unnumbered);
        assert_eq!(holder.version(None, 0), version);
    }
}

#[test]
fn a_late_credit_of_a_former_agent_counts() {
    let [mut former, mut current] = [issuer(), issuer()];
    former.set_id(IssuerId(1));
    current.set_id(IssuerId(2));
    former.set_capacity(SLOTS, 3);
    let mut holder = Holder::new(HolderId(1));
    holder.receive(Duration::ZERO, &former.credit(Duration::ZERO, HolderId(1)));
    let late = former.credit(Duration::ZERO, HolderId(1));
    current.set_capacity(SLOTS, 2);
    holder.receive(Duration::ZERO, &current.credit(Duration::ZERO, HolderId(1)));
    holder.receive(Duration::ZERO, &late);
    assert_eq!(holder.last_credit().map(|credit| credit.version), Some(2));
}
