//! Metrics of the router.

use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use snipewinch::routing::Counts;
use snipewinch::routing::Reason;

pub(super) struct Metrics {
    hosts: IntGaugeVec,
    picks: IntCounterVec,
    ejections: IntCounterVec,
    links: IntGauge,
    refused: IntCounterVec,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Panics
    ///
    /// When the registry has them already.
    pub(super) fn open(registry: &Registry) -> Metrics {
        let hosts = Opts::new(
            "snipewinch_routing_hosts",
            "Backend server hosts, by what this entry host knows of them.",
        );
        let picks = Opts::new(
            "snipewinch_routing_picks_total",
            "Calls sent since the start, by how far the host was or what it followed.",
        );
        let ejections = Opts::new(
            "snipewinch_routing_ejections_total",
            "Ejections since the start, by whether they were done or held back.",
        );
        let refused = Opts::new(
            "snipewinch_routing_refused_total",
            "Calls for which there was no host, by reason.",
        );
        let metrics = Metrics {
            hosts: IntGaugeVec::new(hosts, &["state"]).expect("valid metric name and labels"),
            picks: IntCounterVec::new(picks, &["by"]).expect("valid metric name and labels"),
            ejections: IntCounterVec::new(ejections, &["outcome"])
                .expect("valid metric name and labels"),
            links: IntGauge::new(
                "snipewinch_routing_links",
                "Open links to backend server hosts.",
            )
            .expect("valid metric name and labels"),
            refused: IntCounterVec::new(refused, &["reason"])
                .expect("valid metric name and labels"),
        };
        registry
            .register(Box::new(metrics.hosts.clone()))
            .expect("metric registered once");
        registry
            .register(Box::new(metrics.picks.clone()))
            .expect("metric registered once");
        registry
            .register(Box::new(metrics.ejections.clone()))
            .expect("metric registered once");
        registry
            .register(Box::new(metrics.links.clone()))
            .expect("metric registered once");
        registry
            .register(Box::new(metrics.refused.clone()))
            .expect("metric registered once");
        metrics
    }

    pub(super) fn refused(&self, reason: Reason) {
        self.refused.with_label_values(&[reason.name()]).inc();
    }

    pub(super) fn set(&self, known: usize, links: usize, ejected: usize, counts: Counts) {
        let set_hosts = |label, count: usize| {
            self.hosts.with_label_values(&[label]).set(count as i64);
        };
        set_hosts("known", known);
        set_hosts("ejected", ejected);
        let [zone, region, remote] = counts.picked;
        raise_to(&self.picks, "zone", zone);
        raise_to(&self.picks, "region", region);
        raise_to(&self.picks, "far", remote);
        raise_to(&self.picks, "prefix", counts.by_prefix);
        raise_to(&self.ejections, "done", counts.ejected);
        raise_to(&self.ejections, "held", counts.ejections_skipped);
        self.links.set(links as i64);
    }
}

/// Raises a counter to a total that is counted elsewhere.
fn raise_to(counters: &IntCounterVec, label: &str, total: u64) {
    let counter = counters.with_label_values(&[label]);
    counter.inc_by(total.saturating_sub(counter.get()));
}
