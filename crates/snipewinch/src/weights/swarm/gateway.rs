//! Fetching chunks into the local region, once for each region.

use std::time::Duration;

use super::Action;
use super::BYTES_PER_MBIT;
use super::PeerKey;
use super::Swarm;
use super::transfer::Source;
use super::transfer::Transfer;
use crate::document::Objective;
use crate::weights::Message;
use crate::weights::flow;
use crate::weights::flow::Controller;
use crate::weights::manifest::Id;
use crate::weights::plan;
use crate::weights::plan::Candidate;
use crate::weights::plan::STRIPES;

/// How long a stripe may make no progress before a standby gateway takes it
/// over, if [`Objective::Time`] is preferred: short transfers.
const TAKEOVER_DELAY_FOR_TIME: Duration = Duration::from_millis(1500);
/// The same for [`Objective::Origin`]: few bytes read from the origin.
const TAKEOVER_DELAY_FOR_ORIGIN: Duration = Duration::from_millis(4000);
/// How long a gateway waits for its peers to announce which chunks the region
/// holds before it fetches any.
const DISCOVERY_DELAY: Duration = Duration::from_millis(200);
/// Chunks that one gateway reads from the origin at once.
const ORIGIN_REQUESTS_MAX: usize = 2;
/// The most bytes of one request to another region; a live call may have to
/// wait for that many bytes on the link.
const REMOTE_REQUEST_MAX_BYTES: u32 = 8 << 10;
/// Requests for one chunk that may be in flight to a peer of another region.
const REMOTE_REQUESTS_MAX: usize = 16;
/// The largest fraction of a link between regions that transfers of weights
/// use.
const REGION_LINK_FRACTION_MAX: f64 = 0.94;
/// How long links stay up for other hosts after this host has every chunk.
const LINGER: Duration = Duration::from_secs(20);
/// The longest such time while peers of the local region still lack chunks.
const LINGER_MAX: Duration = Duration::from_secs(600);

impl Swarm {
    /// Returns how long a stripe may make no progress before a standby gateway
    /// takes it over.
    pub(super) fn takeover_delay(&self, _id: Id) -> Duration {
        match self.objective {
            Objective::Time => TAKEOVER_DELAY_FOR_TIME,
            Objective::Origin => TAKEOVER_DELAY_FOR_ORIGIN,
        }
    }

    /// Fetches chunks of the stripes for which this host is responsible now.
    pub(super) fn fetch_stripes(&mut self, now: Duration, id: Id) {
        let Some(transfer) = self.transfers.get(&id) else {
            return;
        };
        let ready = transfer.manifest.is_some() && now >= transfer.manifest_at + DISCOVERY_DELAY;
        if !ready || transfer.is_complete() || transfer.rejected {
            return;
        }
        if self.waits_for_others(id) {
            // No gateway is late with what waits.
            if let Some(transfer) = self.transfers.get_mut(&id) {
                transfer.yield_stripes(now);
            }
            return;
        }
        for stripe in 0..STRIPES {
            let Some(rank) = self.transfers[&id].plan.ranks[stripe as usize] else {
                continue;
            };
            if self.is_responsible(now, id, stripe, rank) {
                self.fetch_stripe(now, id, stripe, rank);
            }
        }
    }

    /// Returns whether manifests that come first still lack chunks in the region.
    fn waits_for_others(&self, id: Id) -> bool {
        let position = self
            .wants
            .iter()
            .position(|want| Id::of(&want.manifest) == id);
        let Some((want, before)) = position.and_then(|end| self.wants[..=end].split_last()) else {
            return false;
        };
        let mut before = before
            .iter()
            .filter_map(|one| self.transfers.get(&Id::of(&one.manifest)));
        want.waits && before.any(Transfer::lacks_chunks)
    }

    /// Returns whether this host fetches a stripe: it is the first gateway, or
    /// the stripe made no progress under the gateways before it.
    fn is_responsible(&mut self, now: Duration, id: Id, stripe: u32, rank: usize) -> bool {
        if rank == 0 {
            return true;
        }
        let delay = self.takeover_delay(id);
        let transfer = &self.transfers[&id];
        let gateways = &transfer.plan.gateways[&self.config.region][stripe as usize];
        let linked = gateways[..rank]
            .iter()
            .any(|one| self.hosts.contains_key(&one.host));
        // A gateway that is linked to this host is up and gets twice the time:
        // its link to the source may be slow.
        let factor = if linked { 2 * rank } else { rank };
        let stalled_for = now.saturating_sub(transfer.progressed_at[stripe as usize]);
        let due = stalled_for >= delay * factor as u32;
        let Some(transfer) = self.transfers.get_mut(&id) else {
            return false;
        };
        let taken_over = &mut transfer.taken_over[stripe as usize];
        if due && !*taken_over {
            *taken_over = true;
            self.actions.push(Action::TakeOver {
                manifest: id,
                stripe,
            });
        }
        // A takeover lasts: progress made by this host does not show that the
        // gateway before it is back. If it is, the two fetch from opposite ends
        // of the stripe.
        *taken_over
    }

    fn fetch_stripe(&mut self, now: Duration, id: Id, stripe: u32, rank: usize) {
        let transfer = &self.transfers[&id];
        let stalled_for = now.saturating_sub(transfer.progressed_at[stripe as usize]);
        // At level 0 only gateways of the source region are asked, from 1 on
        // those of any region, from 2 on the origin too.
        let fallback_level =
            (stalled_for.as_secs_f64() / self.takeover_delay(id).as_secs_f64()) as u32;
        let mut missing: Vec<u32> = transfer
            .held
            .missing()
            .filter(|chunk| plan::stripe(*chunk) == stripe)
            .filter(|chunk| transfer.availability[*chunk as usize] == 0)
            .collect();
        // Two hosts that fetch one stripe start from opposite ends.
        if rank > 0 {
            missing.reverse();
        }
        for chunk in missing {
            let source = self.transfers[&id]
                .partials
                .get(&chunk)
                .and_then(|all| all.first())
                .map(|one| one.source);
            match source {
                Some(Source::Remote(peer)) => self.request_remote(now, id, chunk, peer),
                Some(_) => {}
                None => self.start_chunk(now, id, chunk, fallback_level),
            }
        }
    }

    /// Starts to fetch a chunk if its source has it and may be sent a request.
    fn start_chunk(&mut self, now: Duration, id: Id, chunk: u32, fallback_level: u32) {
        let transfer = &self.transfers[&id];
        let source_region = transfer.plan.source_region(&self.config.region, chunk);
        let from_origin = source_region.is_none() || fallback_level >= 2;
        if let Some(peer) =
            source_region.and_then(|_| self.remote_source(now, id, chunk, fallback_level))
        {
            let busy = transfer.partials.values().flatten();
            // One chunk at a time is complete sooner than several in parallel.
            let busy = busy
                .filter(|one| one.source == Source::Remote(peer))
                .any(|one| one.requested < self.chunk_length(id, chunk));
            if !busy {
                self.start_remote(now, id, chunk, peer);
            }
            return;
        }
        if from_origin {
            let is_first = fallback_level == 0 && self.is_first_gateway(id, chunk);
            self.fetch_from_origin(now, id, chunk, is_first);
        }
    }

    fn is_first_gateway(&self, id: Id, chunk: u32) -> bool {
        self.transfers[&id].plan.ranks[plan::stripe(chunk) as usize] == Some(0)
    }

    fn chunk_length(&self, id: Id, chunk: u32) -> u32 {
        let manifest = self.transfers[&id].manifest.as_ref();
        manifest.map_or(0, |manifest| manifest.length(chunk))
    }

    /// Returns a gateway that holds the chunk: one of the source region, or of
    /// any other region once the stripe has stalled (`fallback_level` of 1 or
    /// more).
    fn remote_source(
        &self,
        now: Duration,
        id: Id,
        chunk: u32,
        fallback_level: u32,
    ) -> Option<PeerKey> {
        let plan = &self.transfers[&id].plan;
        let source_region = plan.source_region(&self.config.region, chunk);
        let regions = plan.gateways.keys().filter(|region| {
            **region != self.config.region
                && (fallback_level >= 1 || Some(*region) == source_region)
        });
        regions
            .flat_map(|region| plan.gateways(region, chunk))
            .filter_map(|one| self.hosts.get(&one.host).copied())
            .find(|key| {
                let peer = &self.peers[*key];
                peer.is_usable(now) && peer.holds(id, chunk)
            })
    }

    fn start_remote(&mut self, now: Duration, id: Id, chunk: u32, key: PeerKey) {
        let max = self.max_rate(id);
        let host_rate = self.config.host_mbit.map(|mbit| mbit * BYTES_PER_MBIT);
        let target = flow::target_delay(self.chunk_length(id, chunk), host_rate);
        if let Some(peer) = self.peers.get_mut(key) {
            let controller = peer
                .controller
                .get_or_insert_with(|| Controller::new(max, target));
            controller.set_max(max);
        }
        if let Some(transfer) = self.transfers.get_mut(&id) {
            transfer.start_partial(chunk, Source::Remote(key), now);
        }
        self.request_remote(now, id, chunk, key);
    }

    /// Returns the maximum rate at which this gateway receives over one link
    /// between regions, in bytes per second; `None` if the rate of the link is
    /// not known.
    fn max_rate(&self, id: Id) -> Option<f64> {
        let ranks = &self.transfers[&id].plan.ranks;
        let own = ranks.iter().flatten().filter(|rank| **rank == 0).count();
        let share = own.max(1) as f64 / f64::from(STRIPES);
        let mbit = self.config.region_mbit?;
        Some(mbit * BYTES_PER_MBIT * REGION_LINK_FRACTION_MAX * share)
    }

    /// Requests the next bytes of a chunk as far as congestion control allows.
    fn request_remote(&mut self, now: Duration, id: Id, chunk: u32, key: PeerKey) {
        let length = self.chunk_length(id, chunk);
        loop {
            let transfer = self.transfers.get_mut(&id);
            let partials = transfer.and_then(|one| one.partials.get_mut(&chunk));
            let partial = partials
                .and_then(|all| all.iter_mut().find(|one| one.source == Source::Remote(key)));
            let controller = self
                .peers
                .get_mut(key)
                .and_then(|one| one.controller.as_mut());
            let (Some(partial), Some(controller)) = (partial, controller) else {
                return;
            };
            let full = partial.requests_sent_at.len() >= REMOTE_REQUESTS_MAX;
            if full || partial.requested >= length || controller.next_request_at() > now {
                return;
            }
            let offset = partial.requested;
            let wanted = REMOTE_REQUEST_MAX_BYTES.min(length - offset);
            partial.requested += wanted;
            partial.requests_sent_at.push_back(now);
            controller.record_request(now, wanted);
            let message = Message::Request {
                manifest: id,
                chunk,
                offset,
                length: wanted,
            };
            self.send(key, message);
        }
    }

    /// Reads a chunk from the origin. A host that stands in for another one, and
    /// one whose last read failed, reads one at a time: once the origin is back,
    /// others may be reading the same chunks.
    fn fetch_from_origin(&mut self, now: Duration, id: Id, chunk: u32, is_first: bool) {
        let Some(transfer) = self.transfers.get_mut(&id) else {
            return;
        };
        let Some(manifest) = transfer.manifest.clone() else {
            return;
        };
        let busy = transfer.partials.values().flatten();
        let busy = busy.filter(|one| one.source == Source::Origin).count();
        let max = match is_first && !transfer.origin_backoff.has_failed() {
            true => ORIGIN_REQUESTS_MAX,
            false => 1,
        };
        if busy >= max || !transfer.origin_backoff.has_elapsed(now) {
            return;
        }
        transfer.start_partial(chunk, Source::Origin, now);
        self.actions.push(Action::Fetch {
            digest: transfer.digest,
            manifest: id,
            chunk,
            range: manifest.range(chunk),
        });
    }

    /// Returns the gateways to dial: those of other regions to fetch chunks from,
    /// and those before this one in the local region to observe their progress.
    pub(super) fn gateways_to_dial(&self, now: Duration, transfer: &Transfer) -> Vec<Candidate> {
        let plan = &transfer.plan;
        let mut hosts = Vec::new();
        if transfer.is_complete() {
            return hosts;
        }
        for (stripe, rank) in plan.ranks.iter().enumerate() {
            let Some(rank) = *rank else { continue };
            let stalled_for = now.saturating_sub(transfer.progressed_at[stripe]);
            let delay = self.takeover_delay(transfer.id);
            let standbys = (stalled_for.as_secs_f64() / delay.as_secs_f64()) as usize;
            if let Some(own) = plan.gateways.get(&self.config.region) {
                hosts.extend(own[stripe][..rank].iter().cloned());
            }
            let remote = Some(&self.config.region) != plan.origin_region.as_ref();
            if !remote || !(rank == 0 || transfer.taken_over[stripe]) {
                continue;
            }
            for (region, stripes) in &plan.gateways {
                if *region != self.config.region {
                    let order = stripes[stripe].iter();
                    hosts.extend(order.take(1 + standbys).cloned());
                }
            }
        }
        hosts
    }

    /// Returns whether neither this host nor its peers need links for a transfer
    /// any more.
    pub(super) fn is_finished(&self, now: Duration, transfer: &Transfer) -> bool {
        if transfer.rejected {
            return true;
        }
        let Some(complete_at) = transfer.complete_at.filter(|_| transfer.is_complete()) else {
            return false;
        };
        let lacking = self.peers.values().any(|peer| {
            let held = peer.held.get(&transfer.id);
            peer.local
                && peer.announced.contains(&transfer.id)
                && !held.is_some_and(|h| h.is_full())
        });
        let limit = if lacking { LINGER_MAX } else { LINGER };
        now >= complete_at + limit
    }
}
