//! The experiment `calls`: live calls under load and faults, judged by what
//! the stand-in back ends counted.

use std::ffi::OsString;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use snipewinch::document::Backend;
use snipewinch::document::Customer;
use snipewinch::host::Role;

use self::faults::Faults;
use self::verdict::Verdict;
use crate::Error;
use crate::deployment;
use crate::error::flag_error;
use crate::fleet::Fleet;
use crate::fleet::Plan;
use crate::load;
use crate::load::Load;
use crate::load::Totals;
use crate::weights;

mod direct;
mod faults;
mod goodput;
mod verdict;

mod flags {
    xflags::xflags! {
        /// Live calls under load and faults.
        cmd calls {
            /// Entry hosts.
            optional --entries n: usize
            /// Agent hosts: three in four beside an engine.
            optional --agents n: usize
            /// Calls a second.
            optional --rps n: f64
            /// How long the load runs.
            optional --seconds n: u64
            /// Percent of calls that may not be repeated.
            optional --non-repeatable percent: u32
            /// none, silent, kill, drain, store-down, lost-reply, zone-cut, pause or all.
            optional --faults name: String
            /// Percent of non-repeatable calls sent twice under one key.
            optional --duplicate-keys percent: u32
            /// Customers.
            optional --customers n: usize
            /// Percent of the calls that the first customer sends; 0 for an even share.
            optional --hog percent: u32
            /// Decides every draw.
            optional --seed seed: u64
            /// Tokens of each answer; a few, drawn for each call, unless set.
            optional --tokens n: u64
            /// Sequences that one engine generates at once.
            optional --slots n: usize
            /// Measure goodput at capacity and at twice that as well.
            optional --goodput
            /// Print the figures as one JSON line only.
            optional --json
        }
    }
}

/// The size of the model, in bytes.
const MODEL_BYTES: usize = 1 << 20;
/// The size of a chunk, in bytes.
const CHUNK_BYTES: u32 = 256 << 10;
/// How long the fleet may take to come up.
const LIMIT: Duration = Duration::from_secs(60);
/// Of so many agents one stands beside a service that may not be repeated.
const PLAIN_PART: usize = 4;
/// Sequences that one engine generates at once, unless the flags say.
const SLOTS: usize = 8;

/// What was asked for.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Asked {
    entries: usize,
    agents: usize,
    rps: f64,
    seconds: u64,
    non_repeatable: u32,
    faults: SmolStr,
    duplicate_keys: u32,
    customers: usize,
    hog: u32,
    tokens: Option<u64>,
    slots: usize,
    seed: u64,
}

/// The figures of one run. What was not measured is null.
#[derive(Clone, Debug, Serialize)]
struct Figures {
    experiment: &'static str,
    #[serde(flatten)]
    asked: Asked,
    #[serde(flatten)]
    verdict: Verdict,
    after_leave_new_work_ms_max: Option<f64>,
    p50_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
    direct_p50_ms: f64,
    direct_p99_ms: f64,
    ttft_p95_ms: f64,
    intertoken_p95_ms: f64,
    small_customer_share_min: f64,
    retry_ratio: f64,
    goodput_at_1x: Option<f64>,
    goodput_at_2x: Option<f64>,
    entry_cpu_core_fraction: f64,
    entry_rss_mib: f64,
}

/// Runs the experiment with the flags after its name.
///
/// # Errors
///
/// [`Error`] if the fleet does not come up or a promise is broken.
pub async fn run(arguments: Vec<OsString>) -> Result<(), Error> {
    let flags = flags::Calls::from_vec(arguments).map_err(|error| flag_error(&error))?;
    let asked = Asked {
        entries: flags.entries.unwrap_or(3),
        agents: flags.agents.unwrap_or(12),
        rps: flags.rps.unwrap_or(150.0),
        seconds: flags.seconds.unwrap_or(10),
        non_repeatable: flags.non_repeatable.unwrap_or(10),
        faults: flags.faults.as_deref().unwrap_or("none").into(),
        duplicate_keys: flags.duplicate_keys.unwrap_or(20),
        customers: flags.customers.unwrap_or(10),
        hog: flags.hog.unwrap_or(0),
        tokens: flags.tokens,
        slots: flags.slots.unwrap_or(SLOTS),
        seed: flags.seed.unwrap_or(1),
    };
    let Some(faults) = Faults::parse(&asked.faults) else {
        return Err(Error::Usage {
            detail: format!(
                "--faults is `{}`: use none, silent, kill, drain, store-down, lost-reply, \
                 zone-cut, pause or all",
                asked.faults
            ),
        });
    };
    let mut fleet = open(&asked).await?;
    let figures = measure(&mut fleet, &asked, faults, flags.goodput).await;
    fleet.shutdown().await;
    let figures = figures?;
    let line = serde_json::to_string(&figures).unwrap_or_default();
    if !flags.json {
        println!("{figures:#?}");
    }
    println!("{line}");
    match figures.verdict.broken() {
        None => Ok(()),
        Some(what) => Err(Error::Broken { what }),
    }
}

/// Starts the fleet and brings the model to it.
async fn open(asked: &Asked) -> Result<Fleet, Error> {
    let plain = (asked.agents / PLAIN_PART).max(2);
    let engines = asked.agents.saturating_sub(plain).max(1);
    let mut plan = Plan::sized(asked.entries, engines, plain, 3, asked.seed);
    plan.engines.slots = asked.slots;
    // All plain hosts stand beside the service that may not be repeated.
    let document = &mut plan.document;
    plan.deployment.services.retain(|service| {
        let found = document.services.iter().find(|s| s.name == service.name);
        found.is_some_and(|found| {
            let engine = matches!(found.backend, Backend::Engine { .. });
            engine || found.repeat == snipewinch::document::Repeat::Never
        })
    });
    for service in &mut document.services {
        if matches!(service.backend, Backend::Engine { .. }) {
            service.concurrency = asked.slots as u32;
        }
    }
    document.customers = (0..asked.customers.max(1)).map(customer).collect();
    let mut fleet = Fleet::open(plan).await?;
    let bytes = weights::random(asked.seed, MODEL_BYTES);
    let manifest = fleet.put_weights("1", &bytes, CHUNK_BYTES).await?;
    fleet.publish_model("1", &manifest).await?;
    fleet.wait_replicas(&manifest.weights_digest, LIMIT).await?;
    fleet.wait_ready(LIMIT).await?;
    // Summaries reach every entry within a heartbeat.
    tokio::time::sleep(SETTLE).await;
    Ok(fleet)
}

/// How long the fleet is left alone before the load.
const SETTLE: Duration = Duration::from_secs(2);

fn customer(index: usize) -> Customer {
    let name = format_smolstr!("customer-{index}");
    Customer {
        key: deployment::key_digest(&name),
        name,
        share: 10,
        requests_per_second: None,
        priority: 0,
    }
}

async fn measure(
    fleet: &mut Fleet,
    asked: &Asked,
    faults: Faults,
    goodput: bool,
) -> Result<Figures, Error> {
    let settings = settings(fleet, asked);
    let direct = direct::measure(fleet, &settings).await?;
    let before = cpu(fleet);
    let started = Instant::now();
    let load = Load::spawn(settings);
    let seen = faults::run(fleet, faults, asked, &load).await?;
    let sending = Duration::from_secs(asked.seconds);
    tokio::time::sleep(sending.saturating_sub(started.elapsed())).await;
    let totals = load.stop().await;
    let cpu = cpu_fraction(&before, &cpu(fleet), started.elapsed());
    let rss = rss_mib(fleet);
    // Work that goes on after its caller was answered is counted as well.
    tokio::time::sleep(SETTLE).await;
    let effects = fleet.effects().await?;
    let verdict = Verdict::of(&totals, &effects, &seen);
    let retry_ratio = direct::retry_ratio(fleet).await;
    let goodput = match goodput {
        true => Some(goodput::measure(fleet, asked).await?),
        false => None,
    };
    let milliseconds = |quantile| verdict::model_latency_ms(&totals, quantile);
    Ok(Figures {
        experiment: "calls",
        asked: asked.clone(),
        verdict,
        after_leave_new_work_ms_max: seen.after_leave_ms,
        p50_ms: milliseconds(0.5),
        p99_ms: milliseconds(0.99),
        p999_ms: milliseconds(0.999),
        direct_p50_ms: verdict::model_latency_ms(&direct, 0.5),
        direct_p99_ms: verdict::model_latency_ms(&direct, 0.99),
        ttft_p95_ms: quantile_ms(&totals.first_token, 0.95),
        intertoken_p95_ms: quantile_ms(&totals.gaps, 0.95),
        small_customer_share_min: share_min(&totals, asked),
        retry_ratio,
        goodput_at_1x: goodput.map(|goodput| goodput.at_1x),
        goodput_at_2x: goodput.map(|goodput| goodput.at_2x),
        entry_cpu_core_fraction: cpu,
        entry_rss_mib: rss,
    })
}

fn settings(fleet: &Fleet, asked: &Asked) -> load::Settings {
    let mut settings = load::Settings::of(fleet, asked.rps, asked.seed);
    settings.non_repeatable_percent = asked.non_repeatable;
    settings.plain_percent = 0;
    settings.plain = None;
    settings.duplicate_percent = asked.duplicate_keys;
    if let Some(tokens) = asked.tokens {
        settings.tokens_min = tokens;
        settings.tokens_max = tokens;
    }
    if asked.hog > 0 && settings.customers.len() > 1 {
        let others = settings.customers.len() as u32 - 1;
        for customer in &mut settings.customers {
            customer.weight = 100 - asked.hog.min(99);
        }
        settings.customers[0].weight = asked.hog * others;
    }
    settings
}

/// The least of what a small customer was answered against its fair share: an
/// even part of all answers, or all it sent if that is less.
fn share_min(totals: &Totals, asked: &Asked) -> f64 {
    let mut sent = vec![0.0; asked.customers.max(1)];
    let mut answered = sent.clone();
    for record in &totals.records {
        sent[record.customer] += 1.0;
        if record.outcome == load::Outcome::Complete {
            answered[record.customer] += 1.0;
        }
    }
    let even = answered.iter().sum::<f64>() / answered.len() as f64;
    let first = usize::from(asked.hog > 0);
    (first..sent.len())
        .filter(|customer| sent[*customer] > 0.0)
        .map(|customer| answered[customer] / sent[customer].min(even))
        .fold(f64::INFINITY, f64::min)
        .min(1.0)
}

fn quantile_ms(histogram: &hdrhistogram::Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

/// Processor time of each entry process, in seconds.
fn cpu(fleet: &Fleet) -> Vec<(SmolStr, f64)> {
    fleet
        .hosts()
        .filter(|host| host.role == Role::Entry)
        .map(|host| (host.name.0.clone(), host.usage().cpu_s))
        .collect()
}

/// The busiest entry's part of a core; an entry that was started meanwhile
/// counts from its start.
fn cpu_fraction(before: &[(SmolStr, f64)], after: &[(SmolStr, f64)], time: Duration) -> f64 {
    let spent = |(name, seconds): &(SmolStr, f64)| {
        let earlier = before.iter().find(|(other, _)| other == name);
        let earlier = earlier.map_or(0.0, |(_, seconds)| *seconds);
        if earlier > *seconds {
            *seconds
        } else {
            seconds - earlier
        }
    };
    after.iter().map(spent).fold(0.0, f64::max) / time.as_secs_f64()
}

fn rss_mib(fleet: &Fleet) -> f64 {
    let entries = fleet.hosts().filter(|host| host.role == Role::Entry);
    let most = entries.map(|host| host.usage().rss_max_kib).max();
    most.unwrap_or(0) as f64 / 1024.0
}
