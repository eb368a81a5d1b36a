//! Bringing chunks into the own region, once.

use std::time::Duration;

use super::Action;
use super::BYTES_PER_MBIT;
use super::PeerKey;
use super::Swarm;
use super::transfer::Source;
use super::transfer::Transfer;
use crate::document::Weigh;
use crate::weights::Message;
use crate::weights::flow;
use crate::weights::flow::Controller;
use crate::weights::manifest::Id;
use crate::weights::plan;
use crate::weights::plan::Candidate;
use crate::weights::plan::STRIPES;

/// How long a stripe may stand still before others step in, when time weighs
/// more.
const PATIENCE_TIME: Duration = Duration::from_millis(1500);
/// The same when origin bytes weigh more.
const PATIENCE_ORIGIN: Duration = Duration::from_millis(4000);
/// How long to listen what the region holds before bringing anything.
const SETTLE: Duration = Duration::from_millis(200);
/// Chunks that one gateway reads from the origin at once.
const ORIGIN_IN_FLIGHT: usize = 2;
/// Bytes asked of another region in one request: what a live call waits
/// behind.
const REQUEST_BYTES: u32 = 8 << 10;
/// Requests to one peer of another region that may be under way.
const REQUESTS_MAX: usize = 16;
/// The share of a link between regions that weights take at most.
const LINK_SHARE: f64 = 0.94;
/// How long links stay up after everything here is whole, for others.
const LINGER: Duration = Duration::from_secs(20);
/// How long at most, if others still lack chunks.
const LINGER_MAX: Duration = Duration::from_secs(600);

impl Swarm {
    /// How long a stripe may stand still before others step in.
    pub(super) fn patience(&self, _id: Id) -> Duration {
        match self.weigh {
            Weigh::Time => PATIENCE_TIME,
            Weigh::Origin => PATIENCE_ORIGIN,
        }
    }

    /// Brings chunks of the stripes that are this host's now.
    pub(super) fn bring(&mut self, now: Duration, id: Id) {
        let Some(transfer) = self.transfers.get(&id) else {
            return;
        };
        let ready = transfer.manifest.is_some() && now >= transfer.known + SETTLE;
        if !ready || transfer.is_whole() || transfer.rejected {
            return;
        }
        for stripe in 0..STRIPES {
            let Some(rank) = self.transfers[&id].plan.ranks[stripe as usize] else {
                continue;
            };
            if self.is_on_duty(now, id, stripe, rank) {
                self.bring_stripe(now, id, stripe, rank);
            }
        }
    }

    /// Whether this host brings a stripe: it is the first, or those before it
    /// have let the stripe stand still.
    fn is_on_duty(&mut self, now: Duration, id: Id, stripe: u32, rank: usize) -> bool {
        if rank == 0 {
            return true;
        }
        let patience = self.patience(id);
        let transfer = &self.transfers[&id];
        let order = &transfer.plan.gateways[&self.config.region][stripe as usize];
        let linked = order[..rank]
            .iter()
            .any(|one| self.hosts.contains_key(&one.host));
        // One that is heard of is given more time: its link may be slow.
        let factor = if linked { 2 * rank } else { rank };
        let still = now.saturating_sub(transfer.progressed[stripe as usize]);
        let duty = still >= patience * factor as u32;
        let Some(transfer) = self.transfers.get_mut(&id) else {
            return false;
        };
        let stepped = &mut transfer.stepped_in[stripe as usize];
        if duty && !*stepped {
            *stepped = true;
            self.actions.push(Action::TakeOver {
                manifest: id,
                stripe,
            });
        }
        // Who has stepped in stays, as its own progress is no sign that the one
        // before is back. If it is, the two work from both ends of the stripe.
        *stepped
    }

    fn bring_stripe(&mut self, now: Duration, id: Id, stripe: u32, rank: usize) {
        let transfer = &self.transfers[&id];
        let still = now.saturating_sub(transfer.progressed[stripe as usize]);
        let widen = (still.as_secs_f64() / self.patience(id).as_secs_f64()) as u32;
        let mut wanted: Vec<u32> = transfer
            .held
            .missing()
            .filter(|chunk| plan::stripe(*chunk) == stripe)
            .filter(|chunk| transfer.available[*chunk as usize] == 0)
            .collect();
        // Two hosts at work on one stripe start from its two ends.
        if rank > 0 {
            wanted.reverse();
        }
        for chunk in wanted {
            let source = self.transfers[&id]
                .partials
                .get(&chunk)
                .and_then(|all| all.first())
                .map(|one| one.source);
            match source {
                Some(Source::Remote(peer)) => self.pull(now, id, chunk, peer),
                Some(_) => {}
                None => self.start(now, id, chunk, widen),
            }
        }
    }

    /// Starts to bring a chunk, if its source has it and there is room.
    fn start(&mut self, now: Duration, id: Id, chunk: u32, widen: u32) {
        let transfer = &self.transfers[&id];
        let upstream = transfer.plan.source_region(&self.config.region, chunk);
        let from_origin = upstream.is_none() || widen >= 2;
        if let Some(peer) = upstream.and_then(|_| self.source(now, id, chunk, widen)) {
            let busy = transfer.partials.values().flatten();
            // One chunk at a time is whole sooner than several together.
            let busy = busy
                .filter(|one| one.source == Source::Remote(peer))
                .any(|one| one.asked < self.length(id, chunk));
            if !busy {
                self.begin(now, id, chunk, peer);
            }
            return;
        }
        if from_origin {
            self.fetch(now, id, chunk);
        }
    }

    fn length(&self, id: Id, chunk: u32) -> u32 {
        let manifest = self.transfers[&id].manifest.as_ref();
        manifest.map_or(0, |manifest| manifest.length(chunk))
    }

    /// A gateway of the region upstream that holds the chunk, or of any other
    /// region once the stripe has stood still.
    fn source(&self, now: Duration, id: Id, chunk: u32, widen: u32) -> Option<PeerKey> {
        let plan = &self.transfers[&id].plan;
        let upstream = plan.source_region(&self.config.region, chunk);
        let regions = plan.gateways.keys().filter(|region| {
            **region != self.config.region && (widen >= 1 || Some(*region) == upstream)
        });
        regions
            .flat_map(|region| plan.gateways(region, chunk))
            .filter_map(|one| self.hosts.get(&one.host).copied())
            .find(|key| {
                let peer = &self.peers[*key];
                peer.is_trusted(now) && peer.holds(id, chunk)
            })
    }

    fn begin(&mut self, now: Duration, id: Id, chunk: u32, key: PeerKey) {
        let max = self.flow_max(id);
        let host_rate = self.config.host_mbit.map(|mbit| mbit * BYTES_PER_MBIT);
        let target = flow::target_delay(self.length(id, chunk), host_rate);
        if let Some(peer) = self.peers.get_mut(key) {
            let controller = peer
                .controller
                .get_or_insert_with(|| Controller::new(max, target));
            controller.set_max(max);
        }
        if let Some(transfer) = self.transfers.get_mut(&id) {
            transfer.start(chunk, Source::Remote(key), now);
        }
        self.pull(now, id, chunk, key);
    }

    /// The most that one gateway takes over one link between regions.
    fn flow_max(&self, id: Id) -> Option<f64> {
        let ranks = &self.transfers[&id].plan.ranks;
        let own = ranks.iter().flatten().filter(|rank| **rank == 0).count();
        let share = own.max(1) as f64 / f64::from(STRIPES);
        let mbit = self.config.region_mbit?;
        Some(mbit * BYTES_PER_MBIT * LINK_SHARE * share)
    }

    /// Asks for the next bytes of a chunk as far as the pace allows.
    fn pull(&mut self, now: Duration, id: Id, chunk: u32, key: PeerKey) {
        let length = self.length(id, chunk);
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
            let full = partial.requests.len() >= REQUESTS_MAX;
            if full || partial.asked >= length || controller.next_request_at() > now {
                return;
            }
            let offset = partial.asked;
            let wanted = REQUEST_BYTES.min(length - offset);
            partial.asked += wanted;
            partial.requests.push_back(now);
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

    fn fetch(&mut self, now: Duration, id: Id, chunk: u32) {
        let Some(transfer) = self.transfers.get_mut(&id) else {
            return;
        };
        let Some(manifest) = transfer.manifest.clone() else {
            return;
        };
        let busy = transfer.partials.values().flatten();
        let busy = busy.filter(|one| one.source == Source::Origin).count();
        if busy >= ORIGIN_IN_FLIGHT || !transfer.origin.has_rested(now) {
            return;
        }
        transfer.start(chunk, Source::Origin, now);
        self.actions.push(Action::Fetch {
            digest: transfer.digest,
            manifest: id,
            chunk,
            range: manifest.range(chunk),
        });
    }

    /// Whom to dial for chunks to bring, and to watch who brings them.
    pub(super) fn upstreams(&self, now: Duration, transfer: &Transfer) -> Vec<Candidate> {
        let plan = &transfer.plan;
        let mut hosts = Vec::new();
        if transfer.is_whole() {
            return hosts;
        }
        for (stripe, rank) in plan.ranks.iter().enumerate() {
            let Some(rank) = *rank else { continue };
            let still = now.saturating_sub(transfer.progressed[stripe]);
            let patience = self.patience(transfer.id);
            let reserves = (still.as_secs_f64() / patience.as_secs_f64()) as usize;
            if let Some(own) = plan.gateways.get(&self.config.region) {
                hosts.extend(own[stripe][..rank].iter().cloned());
            }
            let remote = Some(&self.config.region) != plan.origin_region.as_ref();
            if !remote || !(rank == 0 || transfer.stepped_in[stripe]) {
                continue;
            }
            for (region, stripes) in &plan.gateways {
                if *region != self.config.region {
                    let order = stripes[stripe].iter();
                    hosts.extend(order.take(1 + reserves).cloned());
                }
            }
        }
        hosts
    }

    /// Whether a transfer needs no links any more, for itself or for others.
    pub(super) fn is_quiet(&self, now: Duration, transfer: &Transfer) -> bool {
        if transfer.rejected {
            return true;
        }
        let Some(whole_at) = transfer.whole_at.filter(|_| transfer.is_whole()) else {
            return false;
        };
        let lacking = self.peers.values().any(|peer| {
            let held = peer.held.get(&transfer.id);
            peer.local && peer.knows.contains(&transfer.id) && !held.is_some_and(|h| h.is_full())
        });
        let limit = if lacking { LINGER_MAX } else { LINGER };
        now >= whole_at + limit
    }
}
