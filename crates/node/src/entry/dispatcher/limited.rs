//! What backend servers say of themselves, and the limits that follow from it.

use std::time::Duration;

use platform::notice::Notice;
use platform::notice::Rest;
use snipewinch::server_limit::Admission;
use snipewinch::server_limit::Published;
use snipewinch::server_limit::Row;

use super::Backend;
use super::Dispatcher;
use super::Key;
use super::State;

/// What the limits of backend servers need from the platform's store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitNeeds {
    /// Whether this entry's row is to be written.
    pub(crate) write: bool,
    /// Whether the rows of all entries are to be read at once.
    pub(crate) view: bool,
    /// Whether any limit is in force.
    pub(crate) is_limited: bool,
}

impl Dispatcher {
    /// Records what the answer to a request that was sent at `sent` says of its
    /// backend server.
    pub(crate) fn record_notice(&self, key: Key, sent: Duration, notice: Notice) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let State {
            backends, limits, ..
        } = &mut *state;
        let Some(backend) = backends.get(key) else {
            return;
        };
        let server = backend.server;
        match notice.rest {
            Rest::None => {}
            Rest::For(rest) if limits.record_rest(now, server, rest) => log::info!(
                "E7059 backend server {} wants no requests from this host for {} ms",
                backend.id,
                rest.as_millis()
            ),
            Rest::For(_) => {}
            Rest::Invalid => log::warn!(
                "E7061 backend server {} turned a request away with a Retry-After that is not a number of seconds from 0 up; it is ignored",
                backend.id
            ),
        }
        if notice.is_leaving && limits.record_leaving(now, server) {
            log::info!(
                "E7060 backend server {} says in an answer that it leaves",
                backend.id
            );
        }
        let before = limits.limit(server);
        if limits.record_answer(now, sent, server, notice.limit_per_s) {
            log::info!(
                "E7055 backend server {} takes {} requests a second from all entries, before {}; its answer came {} ms after the request",
                backend.id,
                format_limit(limits.limit(server)),
                format_limit(before),
                now.saturating_sub(sent).as_millis()
            );
        }
    }

    /// What the limits of backend servers need from the platform's store.
    pub(crate) fn limit_needs(&self, now: Duration) -> LimitNeeds {
        let mut state = self.state.borrow_mut();
        state.limits.expire(now);
        LimitNeeds {
            write: state.limits.has_news(),
            view: state.limits.wants_view(now),
            is_limited: state.limits.is_limited(),
        }
    }

    /// The row of this entry, to be published now.
    pub(crate) fn take_limit_row(&self, now: Duration) -> Row {
        self.state.borrow_mut().limits.row(now)
    }

    /// Applies the rows of all entries.
    pub(crate) fn apply_limit_view(&self, now: Duration, view: &[Published]) {
        self.state.borrow_mut().limits.apply_view(now, view);
    }

    /// How many backend servers rest or say in their answers that they leave.
    pub(crate) fn resting_servers(&self) -> usize {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let State {
            backends, limits, ..
        } = &mut *state;
        let is_left_alone = |backend: &Backend| {
            let admission = limits.admission(now, backend.server);
            matches!(admission, Admission::Resting(_) | Admission::Leaving)
        };
        let all = backends.iter_mut();
        all.filter(|(_, backend)| is_left_alone(backend)).count()
    }

    /// How many backend servers name a limit.
    pub(crate) fn limited_servers(&self) -> usize {
        let mut state = self.state.borrow_mut();
        let State {
            backends, limits, ..
        } = &mut *state;
        let all = backends.iter_mut();
        all.filter(|(_, backend)| limits.limit(backend.server).is_some())
            .count()
    }
}

fn format_limit(per_s: Option<f64>) -> String {
    per_s.map_or("any number of".into(), |per_s| per_s.to_string())
}
