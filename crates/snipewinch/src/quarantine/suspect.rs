//! The ends of servers under one key.

use std::time::Duration;

use super::Server;

/// How often the ends under a request that is blocked and still comes are
/// renewed, so that they do not expire.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(300);
/// The most renewals of an end: a day.
const RENEWALS_MAX: u16 = 288;

/// The end of a server under one key.
#[derive(Clone, Copy, Debug)]
pub(super) struct Counted {
    pub(super) server: Server,
    /// When this entry learned of it or it was last renewed.
    pub(super) at: Duration,
    pub(super) renewals: u16,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    pub(super) ends: Vec<Counted>,
    /// Whether it was blocked before; one more end then blocks it again.
    pub(super) is_known: bool,
    /// Until when ends do not count, as work with it came through.
    pub(super) cleared_until: Duration,
}

impl Suspect {
    /// The ends that count and are younger than `age_max`.
    pub(super) fn counting(
        &self,
        now: Duration,
        age_max: Duration,
    ) -> impl Iterator<Item = Server> {
        let counting = self.ends.iter().filter(|one| one.at >= self.cleared_until);
        counting
            .filter(move |one| now < one.at + age_max)
            .map(|one| one.server)
    }

    /// How many ends count that are younger than `age_max`.
    pub(super) fn ends(&self, now: Duration, age_max: Duration) -> usize {
        self.counting(now, age_max).count()
    }

    pub(super) fn has_end(&self, server: Server) -> bool {
        self.ends.iter().any(|one| one.server == server)
    }

    /// Renews ends that count.
    pub(super) fn renew(&mut self, now: Duration) {
        let cleared_until = self.cleared_until;
        let counting = self.ends.iter_mut().filter(|one| one.at >= cleared_until);
        for one in counting {
            let _ = renew(now, &mut one.at, &mut one.renewals);
        }
    }

    /// Takes over that another entry has renewed an end.
    pub(super) fn take_renewal(&mut self, now: Duration, server: Server, renewals: u16) {
        let cleared_until = self.cleared_until;
        let mut ends = self.ends.iter_mut();
        if let Some(one) = ends.find(|one| one.server == server)
            && one.renewals < renewals
            && one.at >= cleared_until
        {
            one.renewals = renewals;
            one.at = now;
        }
    }
}

/// Renews an end that is old enough and was not renewed too often. Returns
/// whether it was.
pub(super) fn renew(now: Duration, at: &mut Duration, renewals: &mut u16) -> bool {
    let is_due = now >= *at + RENEWAL_INTERVAL && *renewals < RENEWALS_MAX;
    if is_due {
        *at = now;
        *renewals += 1;
    }
    is_due
}
