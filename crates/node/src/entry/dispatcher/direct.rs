//! Picks backend servers of services without agents.

use std::time::Duration;

use rand::RngExt;
use snipewinch::pace;
use snipewinch::placement::Exclusion;
use snipewinch::placement::Facts;
use tokio::time::sleep;

use super::Backends;
use super::Dispatcher;
use super::Key;
use super::LIMIT_WAIT_MAX;
use super::Place;
use super::Refusal;
use super::Slot;
use super::SlotRequest;

/// The largest difference of two scores that is left to chance: a tenth of a queue, or
/// of the usual time of an answer.
const TIE_BREAK: f64 = 0.1;

/// The backend server for a request of a service without agents.
enum Pick {
    /// The request may be sent.
    Slot(Slot),
    /// It may be sent after a wait, for which the limit of the server is
    /// reserved.
    Reserved(Slot, Duration),
    None(Refusal),
}

impl Dispatcher {
    /// Picks a backend server of a service without agents. If all are limited,
    /// waits for one that takes this request soon.
    pub(super) async fn acquire_direct(&self, request: &SlotRequest) -> Result<Slot, Refusal> {
        loop {
            match self.pick_least_loaded(request) {
                Pick::Slot(slot) => return Ok(slot),
                Pick::Reserved(slot, wait) => {
                    sleep(wait).await;
                    if self.check_held(slot.key, request.regions).is_ok() {
                        return Ok(slot);
                    }
                }
                Pick::None(refusal) => return Err(refusal),
            }
        }
    }

    /// Picks the nearest and least loaded backend server of a service without
    /// agents. Ejected ones come last. One that is unreachable gets no request
    /// while another one tries: each would wait for a connection and be refused.
    fn pick_least_loaded(&self, request: &SlotRequest) -> Pick {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let mut place = Place::of(request);
        let mut rng = rand::rng();
        let usual = usual_answer(&state.backends, &request.service);
        let mut ranked = Vec::new();
        let mut soonest: Option<(Duration, Key)> = None;
        let mut refusal = Refusal::NoServer;
        let mut rest: Option<Duration> = None;
        state.update_cold_shares(&request.service, now);
        for (key, backend) in state.backends.iter_service(&request.service) {
            let facts = Facts {
                cold: backend.cold_admission(now),
                ..state.facts(&state.standing(now, key, backend), request)
            };
            place.record(&facts);
            let is_full = request.is_second && !backend.has_free_slot(now);
            if facts.apart || is_full || backend.health.is_unreachable(now) {
                continue;
            }
            match facts.check() {
                Ok(()) => {}
                Err(Exclusion::Limited(Some(wait)) | Exclusion::Cold(wait)) => {
                    let is_sooner = soonest.is_none_or(|(known, _)| wait < known);
                    if wait <= LIMIT_WAIT_MAX && is_sooner {
                        soonest = Some((wait, key));
                    }
                    refusal = Refusal::Busy;
                    continue;
                }
                Err(Exclusion::Limited(None) | Exclusion::OldWeights) => {
                    refusal = Refusal::Busy;
                    continue;
                }
                Err(Exclusion::Resting(left)) => {
                    rest = Some(rest.map_or(left, |known| known.min(left)));
                    continue;
                }
                Err(
                    Exclusion::Region
                    | Exclusion::Evacuated
                    | Exclusion::Leaving
                    | Exclusion::Apart,
                ) => continue,
            }
            let tie_break = rng.random_range(0.0..TIE_BREAK);
            let score = match usual {
                Some(usual) => {
                    let predicted = backend.predicted_answer(now, usual);
                    predicted.as_secs_f64() / usual.as_secs_f64().max(f64::EPSILON) + tie_break
                }
                // A server of another availability zone is preferred only if it
                // has a whole queue less.
                None if backend.distance > 0 => backend.load_ratio(now) + 1.0 + tie_break,
                None => backend.load_ratio(now) + tie_break,
            };
            // A server that may end under a suspected request is the last resort.
            let rank = (!backend.health.admits(now), backend.suspected > 0);
            ranked.push((rank, score, key));
        }
        ranked.sort_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)));
        match (ranked.first(), soonest) {
            (Some((_, _, key)), _) => Pick::Slot(self.occupy(&mut state, *key, request, false)),
            (None, Some((wait, key))) => {
                Pick::Reserved(self.occupy(&mut state, key, request, false), wait)
            }
            (None, None) => Pick::None(match rest {
                Some(left) if refusal == Refusal::NoServer => Refusal::Resting(left),
                Some(_) | None => place.explain(refusal),
            }),
        }
    }
}

/// The usual time of an answer of a service, if any of its servers tells how long work
/// takes there.
fn usual_answer(backends: &Backends, service: &str) -> Option<Duration> {
    let estimates: Vec<pace::Estimate> = backends
        .iter_service(service)
        .map(|(_, backend)| backend.pace)
        .collect();
    let any_told = estimates.iter().any(pace::Estimate::is_told);
    any_told.then(|| pace::usual(estimates.into_iter()))
}
