//! The experiment `calls`: sends calls under load and faults, and compares the
//! answers with the executions that the stand-in backend servers counted.

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
        /// Sends calls to a fleet under load and faults and checks the answers.
        cmd calls {
            /// Number of entry hosts.
            optional --entries n: usize
            /// Number of agent hosts, three in four of them beside an engine.
            optional --agents n: usize
            /// Calls per second.
            optional --rps n: f64
            /// Duration of the load.
            optional --seconds n: u64
            /// Percent of calls that may not be repeated.
            optional --non-repeatable percent: u32
            /// none, silent, kill, drain, store-down, lost-reply, zone-cut, pause or all.
            optional --faults name: String
            /// Percent of non-repeatable calls sent twice under the same key.
            optional --duplicate-keys percent: u32
            /// Number of customers.
            optional --customers n: usize
            /// Percent of calls from the first customer; 0 for equal shares.
            optional --hog percent: u32
            /// Seed of all random choices.
            optional --seed seed: u64
            /// Tokens of each answer; by default a few, drawn for each call.
            optional --tokens n: u64
            /// Sequences that one engine generates concurrently.
            optional --slots n: usize
            /// Also measure goodput at capacity and at twice the capacity.
            optional --goodput
            /// Print only one JSON line with the figures.
            optional --json
        }
    }
}

const MODEL_BYTES: usize = 1 << 20;
const CHUNK_BYTES: u32 = 256 << 10;
/// Time limit of each step of the fleet's start.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// One of so many agents runs beside the non-repeatable service, the others
/// beside engines.
const AGENTS_PER_PLAIN_HOST: usize = 4;
/// Default for the sequences that one engine generates concurrently.
const DEFAULT_SLOTS: usize = 8;

/// The parameters of a run.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Options {
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

/// The figures of one run; null means not measured.
#[derive(Clone, Debug, Serialize)]
struct Figures {
    experiment: &'static str,
    #[serde(flatten)]
    options: Options,
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
/// [`Error`] if the fleet does not start or a guarantee is violated.
pub async fn run(arguments: Vec<OsString>) -> Result<(), Error> {
    let flags = flags::Calls::from_vec(arguments).map_err(|error| flag_error(&error))?;
    let options = Options {
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
        slots: flags.slots.unwrap_or(DEFAULT_SLOTS),
        seed: flags.seed.unwrap_or(1),
    };
    let Some(faults) = Faults::parse(&options.faults) else {
        return Err(Error::Usage {
            detail: format!(
                "--faults is `{}`: use none, silent, kill, drain, store-down, lost-reply, \
                 zone-cut, pause or all",
                options.faults
            ),
        });
    };
    let mut fleet = start_fleet(&options).await?;
    let figures = measure(&mut fleet, &options, faults, flags.goodput).await;
    fleet.shutdown().await;
    let figures = figures?;
    let line = serde_json::to_string(&figures).unwrap_or_default();
    if !flags.json {
        println!("{figures:#?}");
    }
    println!("{line}");
    match figures.verdict.violations() {
        None => Ok(()),
        Some(what) => Err(Error::Broken { what }),
    }
}

/// Starts the fleet and publishes the model to it.
async fn start_fleet(options: &Options) -> Result<Fleet, Error> {
    let plain = (options.agents / AGENTS_PER_PLAIN_HOST).max(2);
    let engines = options.agents.saturating_sub(plain).max(1);
    let mut plan = Plan::sized(options.entries, engines, plain, 3, options.seed);
    plan.engines.slots = options.slots;
    // All plain hosts run beside the non-repeatable service.
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
            service.concurrency = options.slots as u32;
        }
    }
    document.customers = (0..options.customers.max(1)).map(customer).collect();
    let mut fleet = Fleet::open(plan).await?;
    let bytes = weights::random(options.seed, MODEL_BYTES);
    let manifest = fleet.put_weights("1", &bytes, CHUNK_BYTES).await?;
    fleet.publish_model("1", &manifest).await?;
    fleet
        .wait_replicas(&manifest.weights_digest, START_TIMEOUT)
        .await?;
    fleet.wait_ready(START_TIMEOUT).await?;
    // The agents' summaries reach every entry within a heartbeat.
    tokio::time::sleep(SETTLE_TIME).await;
    Ok(fleet)
}

/// Wait before the load, and before the executions are counted.
const SETTLE_TIME: Duration = Duration::from_secs(2);

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
    options: &Options,
    faults: Faults,
    goodput: bool,
) -> Result<Figures, Error> {
    let settings = load_settings(fleet, options);
    let direct = direct::measure(fleet, &settings).await?;
    let cpu_before = entry_cpu_seconds(fleet);
    let started = Instant::now();
    let load = Load::spawn(settings);
    let fault_log = faults::inject(fleet, faults, options, &load).await?;
    let load_time = Duration::from_secs(options.seconds);
    tokio::time::sleep(load_time.saturating_sub(started.elapsed())).await;
    let totals = load.stop().await;
    let core_fraction =
        max_core_fraction(&cpu_before, &entry_cpu_seconds(fleet), started.elapsed());
    let rss_mib = max_entry_rss_mib(fleet);
    // Also counts work that continues after its caller got an answer.
    tokio::time::sleep(SETTLE_TIME).await;
    let effects = fleet.effects().await?;
    let verdict = Verdict::of(&totals, &effects, &fault_log);
    let retry_ratio = direct::retry_ratio(fleet).await;
    let goodput = match goodput {
        true => Some(goodput::measure(fleet, options).await?),
        false => None,
    };
    let latency_ms = |quantile| verdict::model_latency_ms(&totals, quantile);
    Ok(Figures {
        experiment: "calls",
        options: options.clone(),
        verdict,
        after_leave_new_work_ms_max: fault_log.new_work_after_leave_ms,
        p50_ms: latency_ms(0.5),
        p99_ms: latency_ms(0.99),
        p999_ms: latency_ms(0.999),
        direct_p50_ms: verdict::model_latency_ms(&direct, 0.5),
        direct_p99_ms: verdict::model_latency_ms(&direct, 0.99),
        ttft_p95_ms: quantile_ms(&totals.first_token_us, 0.95),
        intertoken_p95_ms: quantile_ms(&totals.token_gaps_us, 0.95),
        small_customer_share_min: min_customer_share(&totals, options),
        retry_ratio,
        goodput_at_1x: goodput.map(|goodput| goodput.at_1x),
        goodput_at_2x: goodput.map(|goodput| goodput.at_2x),
        entry_cpu_core_fraction: core_fraction,
        entry_rss_mib: rss_mib,
    })
}

fn load_settings(fleet: &Fleet, options: &Options) -> load::Settings {
    let mut settings = load::Settings::of(fleet, options.rps, options.seed);
    settings.non_repeatable_percent = options.non_repeatable;
    settings.plain_percent = 0;
    settings.plain = None;
    settings.duplicate_percent = options.duplicate_keys;
    if let Some(tokens) = options.tokens {
        settings.tokens_min = tokens;
        settings.tokens_max = tokens;
    }
    if options.hog > 0 && settings.customers.len() > 1 {
        let others = settings.customers.len() as u32 - 1;
        for customer in &mut settings.customers {
            customer.weight = 100 - options.hog.min(99);
        }
        settings.customers[0].weight = options.hog * others;
    }
    settings
}

/// The lowest ratio, over the small customers, of complete answers to the fair
/// share: an equal part of all complete answers, or all calls of the customer
/// if they are fewer.
fn min_customer_share(totals: &Totals, options: &Options) -> f64 {
    let mut sent = vec![0.0; options.customers.max(1)];
    let mut answered = sent.clone();
    for record in &totals.records {
        sent[record.customer] += 1.0;
        if record.outcome == load::Outcome::Complete {
            answered[record.customer] += 1.0;
        }
    }
    let equal_part = answered.iter().sum::<f64>() / answered.len() as f64;
    let first_small = usize::from(options.hog > 0);
    (first_small..sent.len())
        .filter(|customer| sent[*customer] > 0.0)
        .map(|customer| answered[customer] / sent[customer].min(equal_part))
        .fold(f64::INFINITY, f64::min)
        .min(1.0)
}

/// A quantile of a histogram of microseconds, in milliseconds.
fn quantile_ms(histogram_us: &hdrhistogram::Histogram<u64>, quantile: f64) -> f64 {
    histogram_us.value_at_quantile(quantile) as f64 / 1000.0
}

/// CPU time of each entry process, in seconds.
fn entry_cpu_seconds(fleet: &Fleet) -> Vec<(SmolStr, f64)> {
    fleet
        .hosts()
        .filter(|host| host.role == Role::Entry)
        .map(|host| (host.name.0.clone(), host.usage().cpu_s))
        .collect()
}

/// CPU time of the busiest entry as a fraction of one core; an entry that was
/// restarted meanwhile counts from its restart.
fn max_core_fraction(before: &[(SmolStr, f64)], after: &[(SmolStr, f64)], time: Duration) -> f64 {
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

fn max_entry_rss_mib(fleet: &Fleet) -> f64 {
    let entries = fleet.hosts().filter(|host| host.role == Role::Entry);
    let rss_kib = entries.map(|host| host.usage().rss_max_kib).max();
    rss_kib.unwrap_or(0) as f64 / 1024.0
}
