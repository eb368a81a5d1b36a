//! Tests entries whose backend servers end under requests that have one part of
//! their prompts in common.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::json;
use snipewinch::quarantine::Key;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

mod harness;

use harness::body;
use harness::configuration;
use harness::crashing::CrashingServer;
use harness::crashing::Reaction;
use harness::crashing::Trigger;
use harness::event;
use harness::exchange;
use harness::fleet::Fleet;
use harness::request;
use harness::status;

/// The part under which servers end.
const PART: &str = "d1e0fa17";
/// The beginning of the bodies of requests that end servers by themselves.
const DEADLY: &str = "deadly-";
/// One of so many requests ends servers by itself.
const DEADLY_INTERVAL: usize = 33;
/// The time between two requests with the part.
const INTERVAL: Duration = Duration::from_millis(40);
/// How many requests with the part the longer tests send.
const TRAFFIC: usize = 150;
/// How long a server refuses connections after its end.
const DOWNTIME: Duration = Duration::from_secs(2);
/// Longer than any test.
const DOWNTIME_LONG: Duration = Duration::from_secs(60);
/// How many servers the part may end before it must be blocked.
const ENDS_MAX: usize = 5;
/// The time after that in which requests with the part may still reach servers.
const STABLE_WINDOW: Duration = Duration::from_secs(1);
/// How many requests with the part may reach servers after that.
const LATE_REQUESTS_MAX: usize = 3;
/// The longest time to the refusal of a blocked part.
const REFUSAL_TIME_MAX: Duration = Duration::from_millis(100);
/// The time limit of each wait.
const TIMEOUT: Duration = Duration::from_secs(20);

/// An answer to a caller.
#[derive(Clone, Debug)]
struct Answer {
    sent: Instant,
    took: Duration,
    text: String,
}

impl Answer {
    fn is_complete_stream(&self) -> bool {
        let expected: String = (1..=3).map(event).collect();
        status(&self.text) == 200 && body(&self.text) == Some(expected)
    }
}

/// The answers to two kinds of requests, in no order.
#[derive(Clone, Debug, Default)]
struct Answers {
    /// To requests with the part.
    suspects: Vec<Answer>,
    /// To requests without it.
    sound: Vec<Answer>,
}

impl Fleet {
    /// Starts servers with the same reaction to the part, and entries.
    async fn start(
        servers: usize,
        entries: usize,
        reaction: Reaction,
        downtime: Duration,
    ) -> Fleet {
        let reactions = vec![reaction; servers];
        Fleet::start_with(&trigger(), &reactions, entries, downtime, &configuration(1)).await
    }

    /// The end by which the part must be known; none if fewer servers ended.
    fn last_allowed_end(&self) -> Option<Instant> {
        self.ends().get(ENDS_MAX - 1).copied()
    }

    /// Sends requests with the part to the entries in turn, and a sound one
    /// after each.
    async fn send_traffic(&self, count: usize, suspect_prompt: fn(usize) -> String) -> Answers {
        let callers = self.callers();
        let mut tasks = JoinSet::new();
        for index in 0..count {
            let caller = callers[index % callers.len()];
            let suspect = suspect_prompt(index);
            tasks.spawn(async move { (true, ask(caller, &suspect).await) });
            sleep(INTERVAL / 2).await;
            let sound = sound_prompt(index);
            tasks.spawn(async move { (false, ask(caller, &sound).await) });
            sleep(INTERVAL / 2).await;
        }
        let mut answers = Answers::default();
        for (is_suspect, answer) in tasks.join_all().await {
            match is_suspect {
                true => answers.suspects.push(answer),
                false => answers.sound.push(answer),
            }
        }
        answers
    }

    /// Sends only the sound requests of such traffic.
    async fn send_sound(&self, count: usize) -> Vec<Answer> {
        let callers = self.callers();
        let mut tasks = JoinSet::new();
        for index in 0..count {
            let caller = callers[index % callers.len()];
            tasks.spawn(async move { ask(caller, &sound_prompt(index)).await });
            sleep(INTERVAL).await;
        }
        tasks.join_all().await
    }

    /// Asserts that nine in ten requests sent after a time were answered.
    #[track_caller]
    fn assert_answered_after(&self, due: Instant, answers: &[Answer]) {
        let late = || answers.iter().filter(|answer| answer.sent > due);
        let complete = late().filter(|answer| answer.is_complete_stream()).count();
        let missing = late().filter(|answer| !answer.is_complete_stream());
        let statuses: Vec<u16> = missing.map(|answer| status(&answer.text)).collect();
        let (late, ends) = (late().count(), self.ends().len());
        assert!(late >= 40, "the traffic ended too early");
        assert!(
            complete * 10 >= late * 9,
            "{complete} of {late} sound requests were answered, {ends} servers ended, others got {statuses:?}"
        );
    }

    /// Sends requests with the part until a verdict is due, and waits until all
    /// servers are up again.
    async fn provoke_verdict(&self, suspect_prompt: fn(usize) -> String) {
        let _ = self.send_traffic(40, suspect_prompt).await;
        assert!(!self.ends().is_empty(), "no server has ended");
        sleep(STABLE_WINDOW).await;
        self.wait_up().await;
    }
}

fn trigger() -> Trigger {
    Trigger::PromptPart(PART.to_owned())
}

/// The first part of a prompt, which requests of both kinds share.
fn first_part(index: usize) -> String {
    format!("f00{}:900", index % 3)
}

fn last_part(index: usize) -> String {
    format!("1a57{index:04x}:40")
}

/// A prompt with the part among others that sound requests have too.
fn suspect_prompt(index: usize) -> String {
    let (first, last) = (first_part(index), last_part(2 * index));
    match index % 2 {
        0 => format!("{first},{PART}:120,{last}"),
        _ => format!("{first},c0de{}:300,{PART}:120,{last}", index % 5),
    }
}

/// The same with one last part for all requests.
fn suspect_prompt_with_common_end(index: usize) -> String {
    format!("{},{PART}:120,{}", first_part(index), last_part(0))
}

fn sound_prompt(index: usize) -> String {
    let (first, last) = (first_part(index), last_part(2 * index + 1));
    format!("{first},c0de{}:300,{last}", index % 5)
}

/// Sends a request with a prompt to an entry.
async fn ask(callers: SocketAddr, prompt: &str) -> Answer {
    ask_path(callers, "POST", "/draft/", prompt).await
}

async fn ask_path(callers: SocketAddr, method: &str, path: &str, prompt: &str) -> Answer {
    ask_with_body(callers, method, path, prompt, "x").await
}

async fn ask_with_body(
    callers: SocketAddr,
    method: &str,
    path: &str,
    prompt: &str,
    body: &str,
) -> Answer {
    let fields = format!("X-Prefix-Hash: {prompt}\r\n");
    let id = prompt.replace([',', ':'], "-");
    let text = request(method, path, &fields, body);
    let text = text.replacen(
        "X-Attempt-Id: a1\r\n",
        &format!("X-Attempt-Id: {id}\r\n"),
        1,
    );
    let sent = Instant::now();
    let text = exchange(callers, &text).await;
    Answer {
        sent,
        took: sent.elapsed(),
        text,
    }
}

#[tokio::test]
async fn a_part_that_has_ended_five_servers_is_not_sent_to_further_ones() {
    let fleet = Fleet::start(8, 3, Reaction::End, DOWNTIME).await;
    let answers = fleet.send_traffic(TRAFFIC, suspect_prompt).await;
    let ends = fleet.ends().len();
    assert!(ends > 0, "no server has ended");
    let Some(end) = fleet.last_allowed_end() else {
        return;
    };
    let due = end + STABLE_WINDOW;
    let sent = answers.suspects.iter().filter(|answer| answer.sent > due);
    assert!(sent.count() >= 40, "the traffic ended too early");
    let late = fleet.suspects().iter().filter(|at| **at > due).count();
    assert!(
        late <= LATE_REQUESTS_MAX,
        "{late} requests with the part reached servers too late, {ends} servers ended"
    );
}

#[tokio::test]
async fn sound_requests_are_not_refused_beside_a_part_that_has_ended_half_of_the_servers() {
    let fleet = Fleet::start(2 * ENDS_MAX, 3, Reaction::End, DOWNTIME_LONG).await;
    let answers = fleet.send_traffic(TRAFFIC, suspect_prompt).await;
    let end = fleet.last_allowed_end().or(fleet.ends().first().copied());
    let due = end.expect("servers have ended") + STABLE_WINDOW;
    fleet.assert_answered_after(due, &answers.sound);
}

#[tokio::test]
async fn sound_requests_are_not_refused_while_half_of_the_servers_refuse_connections() {
    let fleet = Fleet::start(2 * ENDS_MAX, 3, Reaction::Answer, DOWNTIME_LONG).await;
    let ending = async {
        sleep(STABLE_WINDOW).await;
        fleet.servers[..ENDS_MAX]
            .iter()
            .for_each(CrashingServer::end);
    };
    let (answers, ()) = tokio::join!(fleet.send_sound(TRAFFIC), ending);
    let end = fleet.last_allowed_end().expect("half of the servers ended");
    fleet.assert_answered_after(end + STABLE_WINDOW, &answers);
}

#[tokio::test]
async fn an_entry_that_starts_after_the_verdict_does_not_send_the_part() {
    let mut fleet = Fleet::start(8, 2, Reaction::End, DOWNTIME).await;
    fleet.provoke_verdict(suspect_prompt).await;
    let callers = fleet.add_entry().await;
    sleep(STABLE_WINDOW).await;
    let before = fleet.suspects().len();
    let refused = ask(callers, &suspect_prompt(1000)).await;
    assert_eq!(
        fleet.suspects().len() - before,
        0,
        "servers reached by the part, {refused:?}"
    );
    let sound = ask(callers, &sound_prompt(1000)).await;
    assert!(sound.is_complete_stream(), "{sound:?}");
}

#[tokio::test]
async fn a_request_that_has_ended_two_servers_is_not_sent_to_a_third() {
    for attempts_max in [2, 4] {
        let mut configuration = configuration(1);
        for route in configuration["routes"].as_array_mut().expect("a list") {
            route["maxAttempts"] = attempts_max.into();
        }
        let reactions = [Reaction::End; 5];
        let fleet = Fleet::start_with(&trigger(), &reactions, 1, DOWNTIME, &configuration).await;
        let answer = ask(fleet.callers()[0], &suspect_prompt(0)).await;
        let reached = fleet.suspects().len();
        assert!(
            (1..=2).contains(&reached),
            "{reached} servers reached with maxAttempts {attempts_max}, {answer:?}"
        );
    }
}

#[tokio::test]
async fn a_part_is_not_blocked_by_a_server_that_resets_single_streams() {
    let reactions = [Reaction::Reset, Reaction::Answer, Reaction::Answer];
    let fleet = Fleet::start_with(&trigger(), &reactions, 3, DOWNTIME, &configuration(1)).await;
    let answers = fleet.send_traffic(60, suspect_prompt).await;
    let resets = fleet.servers[0].record().suspects.len();
    assert!(resets > ENDS_MAX, "{resets} streams were reset");
    let incomplete = answers.suspects.iter();
    let incomplete: Vec<&Answer> = incomplete.filter(|one| !one.is_complete_stream()).collect();
    assert!(
        incomplete.is_empty(),
        "{} of 60, {incomplete:?}",
        incomplete.len()
    );
}

#[tokio::test]
async fn a_part_is_not_blocked_by_servers_that_all_reset_its_streams() {
    let fleet = Fleet::start(3, 3, Reaction::Reset, DOWNTIME).await;
    fleet.send_traffic(40, suspect_prompt).await;
    let resets = fleet.suspects().len();
    assert!(resets > ENDS_MAX, "{resets} streams were reset");
    for server in &fleet.servers {
        server.set_reaction(Reaction::Answer);
    }
    sleep(STABLE_WINDOW).await;
    for (index, callers) in fleet.callers().into_iter().enumerate() {
        let answer = ask(callers, &suspect_prompt(1000 + index)).await;
        assert!(answer.is_complete_stream(), "{answer:?}");
    }
}

#[tokio::test]
async fn a_part_is_not_blocked_by_servers_that_end_at_one_moment() {
    let fleet = Fleet::start(8, 3, Reaction::Hold, DOWNTIME).await;
    let mut waiting = JoinSet::new();
    for index in 0..24 {
        let callers = fleet.callers()[index % 3];
        waiting.spawn(async move { ask(callers, &suspect_prompt(index)).await });
    }
    let holding = async {
        let is_held = |server: &CrashingServer| !server.record().suspects.is_empty();
        while fleet.suspects().len() < 24 || !fleet.servers.iter().all(is_held) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, holding)
        .await
        .expect("all servers hold requests");
    for server in &fleet.servers {
        server.set_reaction(Reaction::Answer);
        server.end();
    }
    waiting.join_all().await;
    sleep(STABLE_WINDOW).await;
    fleet.wait_up().await;
    assert_eq!(fleet.ends().len(), 8);
    for (index, callers) in fleet.callers().into_iter().cycle().take(12).enumerate() {
        let answer = ask(callers, &suspect_prompt(1000 + index)).await;
        assert!(answer.is_complete_stream(), "{answer:?}");
    }
}

#[tokio::test]
async fn the_refusal_of_a_blocked_part_is_not_late_and_not_without_its_reason() {
    let fleet = Fleet::start(8, 3, Reaction::End, DOWNTIME).await;
    fleet.provoke_verdict(suspect_prompt).await;
    let before = fleet.suspects().len();
    for (index, callers) in fleet.callers().into_iter().enumerate() {
        let answer = ask(callers, &suspect_prompt(1000 + index)).await;
        let reached = fleet.suspects().len() - before;
        assert_eq!(reached, 0, "servers reached by the part, {answer:?}");
        assert!(answer.took < REFUSAL_TIME_MAX, "{answer:?}");
        assert!((400..600).contains(&status(&answer.text)), "{answer:?}");
        let reason = body(&answer.text).unwrap_or_default();
        assert!(reason.contains("prompt"), "no reason, {answer:?}");
    }
}

#[tokio::test]
async fn a_last_part_is_never_blocked() {
    let fleet = Fleet::start(8, 3, Reaction::End, DOWNTIME).await;
    fleet.provoke_verdict(suspect_prompt_with_common_end).await;
    for callers in fleet.callers() {
        let common_end = format!("{},{}", first_part(0), last_part(0));
        let part_as_end = format!("{},{PART}:120", first_part(0));
        for prompt in [common_end, part_as_end, format!("{PART}:120")] {
            let answer = ask(callers, &prompt).await;
            assert!(answer.is_complete_stream(), "{prompt}: {answer:?}");
        }
    }
}

#[tokio::test]
async fn a_first_part_whose_plain_answers_come_through_is_not_blocked() {
    let fleet = Fleet::start(8, 1, Reaction::End, DOWNTIME).await;
    let callers = fleet.callers()[0];
    for index in 0..6 {
        let sound = format!("f000:900,{}", last_part(2 * index + 1));
        let plain = ask_path(callers, "GET", "/read/", &sound).await;
        assert!(plain.is_complete_stream(), "{plain:?}");
        let suspect = format!("f000:900,{PART}:120,{}", last_part(2 * index));
        let _ = ask(callers, &suspect).await;
        sleep(INTERVAL).await;
    }
    fleet.wait_up().await;
    let answer = ask(callers, &format!("f000:900,{}", last_part(99))).await;
    assert!(answer.is_complete_stream(), "{answer:?}");
}

#[tokio::test]
async fn a_part_is_not_blocked_by_the_old_row_of_a_host_that_is_gone() {
    let mut fleet = Fleet::start(3, 0, Reaction::Answer, DOWNTIME).await;
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    for (age, expected) in [(Duration::ZERO, 422), (Duration::from_secs(86_400), 200)] {
        let key = Key::of("desk", PART);
        let ends = [1, 2, 3].map(|server| json!({"s": server, "k": [key]}));
        let row = json!({"t": (since_epoch - age).as_secs(), "e": ends, "c": []});
        fleet.store.put("snipewinch-quarantine", "gone", &row);
        let callers = fleet.add_entry().await;
        sleep(STABLE_WINDOW).await;
        let answer = ask(callers, &suspect_prompt(0)).await;
        assert_eq!(status(&answer.text), expected, "{age:?}: {answer:?}");
    }
}

#[tokio::test]
async fn requests_with_nothing_in_common_that_end_servers_do_not_end_all_of_their_class() {
    let trigger = Trigger::BodyStart(DEADLY.to_owned());
    let reactions = [Reaction::End; 12];
    let fleet = Fleet::start_with(&trigger, &reactions, 2, DOWNTIME, &configuration(1)).await;
    let callers = fleet.callers();
    let (mut deadly, mut sound) = (JoinSet::new(), JoinSet::new());
    for index in 0..TRAFFIC {
        let caller = callers[index % callers.len()];
        let prompt = sound_prompt(index);
        match index % DEADLY_INTERVAL == DEADLY_INTERVAL / 2 {
            true => deadly.spawn(async move {
                let body = format!("{DEADLY}{index}");
                ask_with_body(caller, "POST", "/draft/", &prompt, &body).await
            }),
            false => sound.spawn(async move { ask(caller, &prompt).await }),
        };
        sleep(INTERVAL).await;
    }
    let sent = deadly.join_all().await.len();
    let answers = sound.join_all().await;
    let mut reached: BTreeMap<String, usize> = BTreeMap::new();
    for server in &fleet.servers {
        for id in server.record().suspect_ids {
            *reached.entry(id).or_default() += 1;
        }
    }
    assert_eq!(reached.len(), sent, "{reached:?}");
    let most = reached.values().max().copied();
    assert!(most <= Some(2), "servers reached by each: {reached:?}");
    let bad: Vec<&Answer> = answers
        .iter()
        .filter(|answer| !answer.is_complete_stream())
        .collect();
    let ends = fleet.ends().len();
    assert!(
        bad.is_empty(),
        "{ends} servers ended, not answered: {bad:?}"
    );
}
