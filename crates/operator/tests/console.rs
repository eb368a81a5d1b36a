//! Tests the console over HTTP against a simulated platform with faults.

use std::sync::Arc;

use http::StatusCode;
use operator::Config;
use operator::Console;
use operator::status::Source;
use operator::status::Status;
use poem::Route;
use poem::test::TestClient;
use poem::test::TestResponse;
use prometheus::Registry;
use serde_json::Value;
use serde_json::json;
use snipewinch::Digest;
use snipewinch::configuration::Snapshot;
use snipewinch::document::Document;
use standin::client::Client as Admin;
use tokio::sync::mpsc;
use tokio::sync::watch;

const KEY: &str = "the first operator's key";
const SECRET: &str = "a fleet key of some length";

struct Fixture {
    platform: std::net::SocketAddr,
    admin: Admin,
}

/// The console of one entry host, and the ends of the channels through which
/// the test puts accepted versions in force, as the daemon does.
struct Entry {
    client: TestClient<Box<dyn poem::endpoint::DynEndpoint<Output = poem::Response>>>,
    publications: mpsc::Receiver<Snapshot>,
    configuration_sender: watch::Sender<Arc<Snapshot>>,
}

impl Fixture {
    async fn open() -> Fixture {
        let config = standin::platform::Config {
            listen: "127.0.0.1:0".parse().expect("a valid address"),
            origin_mbit: 0.0,
            origin_readers_max: 1,
            membership_lag: std::time::Duration::ZERO,
            seed: 1,
        };
        Fixture {
            platform: standin::platform::spawn(config)
                .await
                .expect("the platform listens"),
            admin: Admin::new(),
        }
    }

    fn entry(&self) -> Entry {
        let (configuration_sender, in_force) = watch::channel(Arc::new(Snapshot::empty()));
        let (sender, publications) = mpsc::channel(8);
        let console = Console::open(Config {
            platform: platform::Client::open(
                &format!("http://{}", self.platform),
                &Registry::new(),
            ),
            in_force,
            publications: sender,
            status: Source::new(Status::default),
            fleet_secret: SECRET.to_owned(),
            first_operator: Some(Digest::of(KEY.as_bytes())),
        });
        let routes = Route::new().nest("/console", console.routes());
        Entry {
            client: TestClient::new(poem::EndpointExt::boxed(
                poem::EndpointExt::map_to_response(routes),
            )),
            publications,
            configuration_sender,
        }
    }

    async fn set_faults(&self, faults: Value) {
        let answer = self
            .admin
            .post(self.platform, "/admin/faults", &faults)
            .await;
        assert!(
            answer
                .expect("an answer from the admin interface")
                .status
                .is_success()
        );
    }
}

struct Page {
    status: StatusCode,
    text: String,
    cookie: Option<String>,
}

impl Page {
    async fn read(response: TestResponse) -> Page {
        let cookie = response
            .0
            .header("set-cookie")
            .map(|line| line.split(';').next().unwrap_or_default().to_owned());
        Page {
            status: response.0.status(),
            cookie,
            text: response
                .0
                .into_body()
                .into_string()
                .await
                .expect("a UTF-8 body"),
        }
    }

    /// Returns the unescaped value of a hidden field.
    fn field(&self, name: &str) -> String {
        let start = format!("name=\"{name}\" value=\"");
        let from = self
            .text
            .find(&start)
            .unwrap_or_else(|| panic!("no field {name} in {}", self.text));
        let rest = &self.text[from + start.len()..];
        let value = &rest[..rest.find('"').expect("a closing quote")];
        value
            .replace("&quot;", "\"")
            .replace("&#39;", "'")
            .replace("&lt;", "<")
            .replace("&gt;", ">")
            .replace("&amp;", "&")
    }
}

impl Entry {
    async fn get(&self, path: &str, cookie: &str) -> Page {
        Page::read(self.client.get(path).header("cookie", cookie).send().await).await
    }

    async fn post(&self, path: &str, cookie: &str, fields: &[(&str, &str)]) -> Page {
        let request = self
            .client
            .post(path)
            .header("cookie", cookie)
            .form(&fields);
        Page::read(request.send().await).await
    }

    async fn sign_in(&self, key: &str) -> Page {
        self.post("/console/sign-in", "", &[("key", key)]).await
    }

    async fn signed_in(&self) -> String {
        let page = self.sign_in(KEY).await;
        assert_eq!(page.status, StatusCode::SEE_OTHER, "{}", page.text);
        page.cookie.expect("a session cookie")
    }

    async fn review(&self, cookie: &str, text: &str) -> Page {
        let token = self.get("/console/document", cookie).await.field("token");
        let fields = [("token", token.as_str()), ("text", text)];
        self.post("/console/document", cookie, &fields).await
    }

    async fn publish(&self, cookie: &str, review: &Page) -> Page {
        let names = ["token", "draft", "base", "operation", "sent"];
        let values = names.map(|name| (name, review.field(name)));
        let fields: Vec<(&str, &str)> = values.iter().map(|(n, v)| (*n, v.as_str())).collect();
        self.post("/console/publish", cookie, &fields).await
    }

    /// Puts the next published version in force and returns it.
    async fn apply_publication(&mut self) -> Arc<Snapshot> {
        let in_force = Arc::new(self.publications.recv().await.expect("a published version"));
        self.configuration_sender.send_replace(in_force.clone());
        in_force
    }
}

fn document(fleet: &str) -> String {
    json!({ "fleet": fleet }).to_string()
}

#[tokio::test]
async fn an_operator_signs_in_reviews_and_publishes() {
    let fixture = Fixture::open().await;
    let mut entry = fixture.entry();
    let cookie = entry.signed_in().await;
    let review = entry.review(&cookie, &document("archive")).await;
    assert_eq!(review.status, StatusCode::OK, "{}", review.text);
    assert!(
        review.text.contains("<ins>archive</ins>"),
        "{}",
        review.text
    );
    let accepted = entry.publish(&cookie, &review).await;
    assert_eq!(accepted.status, StatusCode::OK, "{}", accepted.text);
    assert!(accepted.text.contains("<output id=\"accepted\">1</output>"));
    assert_eq!(entry.apply_publication().await.document.fleet, "archive");
    let history = entry.get("/console/history", &cookie).await;
    assert!(history.text.contains("first-operator"), "{}", history.text);
}

#[tokio::test]
async fn every_page_requires_a_session_signed_by_the_fleet() {
    let fixture = Fixture::open().await;
    let entry = fixture.entry();
    let cookie = entry.signed_in().await;
    let mut forged = cookie.clone();
    forged.pop();
    forged.push(if cookie.ends_with('0') { '1' } else { '0' });
    for path in [
        "/",
        "/edit",
        "/document",
        "/history",
        "/history/1",
        "/fleet",
    ] {
        let path = format!("/console{path}");
        for bad in [
            "",
            "snipewinch_session=x",
            "snipewinch_session=a.9999999999999.b",
            &forged,
        ] {
            let page = entry.get(&path, bad).await;
            assert_eq!(page.status, StatusCode::SEE_OTHER, "{path} with {bad}");
        }
    }
    // Another entry of the fleet accepts the session.
    let other = fixture.entry();
    assert_eq!(
        other.get("/console/edit", &cookie).await.status,
        StatusCode::OK
    );
}

#[tokio::test]
async fn an_operator_who_was_removed_is_signed_out() {
    let fixture = Fixture::open().await;
    let entry = fixture.entry();
    let cookie = entry.signed_in().await;
    let text = json!({"fleet": "a", "operators":
        [{"name": "ada", "key": Digest::of(b"another key")}]});
    let document = Document::parse(&text.to_string()).expect("a valid document");
    entry
        .configuration_sender
        .send_replace(Arc::new(Snapshot::new(1, document)));
    assert_eq!(
        entry.get("/console/edit", &cookie).await.status,
        StatusCode::SEE_OTHER
    );
    assert_eq!(entry.sign_in(KEY).await.status, StatusCode::FORBIDDEN);
    assert_eq!(
        entry.sign_in("another key").await.status,
        StatusCode::SEE_OTHER
    );
}

#[tokio::test]
async fn sign_ins_are_refused_after_five_wrong_keys() {
    let fixture = Fixture::open().await;
    let entry = fixture.entry();
    let mut statuses = Vec::new();
    for guess in 0..8 {
        statuses.push(
            entry
                .sign_in(&format!("guess {guess}"))
                .await
                .status
                .as_u16(),
        );
    }
    assert_eq!(statuses, [403, 403, 403, 403, 403, 429, 429, 429]);
    // The right key is refused as well, so the answers do not reveal it.
    assert_eq!(
        entry.sign_in(KEY).await.status,
        StatusCode::TOO_MANY_REQUESTS
    );
}

#[tokio::test]
async fn a_form_with_a_wrong_token_or_another_origin_is_rejected() {
    let fixture = Fixture::open().await;
    let entry = fixture.entry();
    let cookie = entry.signed_in().await;
    let text = document("x");
    for path in ["/edit", "/document", "/publish", "/restore/1", "/sign-out"] {
        let path = format!("/console{path}");
        for token in ["", "x"] {
            let fields = [
                ("token", token),
                ("text", text.as_str()),
                ("draft", text.as_str()),
            ];
            let page = entry.post(&path, &cookie, &fields).await;
            assert_eq!(page.status, StatusCode::FORBIDDEN, "{path} with {token}");
        }
    }
    let token = entry.get("/console/document", &cookie).await.field("token");
    let foreign = entry
        .client
        .post("/console/document")
        .header("cookie", &cookie)
        .header("origin", "https://elsewhere.example")
        .header("host", "console.example")
        .form(&[("token", token.as_str()), ("text", text.as_str())])
        .send()
        .await;
    assert_eq!(foreign.0.status(), StatusCode::FORBIDDEN);
}

#[tokio::test]
async fn an_oversized_form_is_rejected() {
    let fixture = Fixture::open().await;
    let entry = fixture.entry();
    let cookie = entry.signed_in().await;
    let token = entry.get("/console/document", &cookie).await.field("token");
    let long = "x".repeat(7 << 20);
    let page = entry
        .post(
            "/console/document",
            &cookie,
            &[("token", &token), ("text", &long)],
        )
        .await;
    assert_eq!(page.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(
        entry.sign_in(&"x".repeat(5 << 10)).await.status,
        StatusCode::PAYLOAD_TOO_LARGE
    );
}

#[tokio::test]
async fn a_rejected_document_is_kept_and_shown_with_its_faults() {
    let fixture = Fixture::open().await;
    let entry = fixture.entry();
    let cookie = entry.signed_in().await;
    let manifest = Digest::of(b"a manifest that nobody stored");
    let service = |target: Value| {
        json!({"fleet": "f", "services": [{"name": "s", "backend": target}]}).to_string()
    };
    let model = json!({"fleet": "f", "models":
        [{"name": "m", "version": "1", "manifest": manifest}]});
    let share = json!({"fleet": "f", "customers":
        [{"name": "c", "key": Digest::of(b"k"), "share": 101}]});
    let cases = [
        ("{ not json".to_owned(), "not a document"),
        (r#"{"fleet": "f", "surprise": 1}"#.to_owned(), "surprise"),
        (document(""), "the name is empty"),
        (
            service(json!({"engine": {"model": ""}})),
            "names no backend server",
        ),
        (
            service(json!({"engine": {"model": "gone"}})),
            "there is no model `gone`",
        ),
        (
            service(json!({"plain": {"prefix": "/v1/x"}})),
            "is used by the system itself",
        ),
        (share.to_string(), "101 is not between 1 and 100"),
        (
            model.to_string(),
            "this manifest is not in the object store",
        ),
    ];
    for (text, problem) in cases {
        let page = entry.review(&cookie, &text).await;
        assert_eq!(page.status, StatusCode::UNPROCESSABLE_ENTITY, "{text}");
        let shown = page.text.replace("&#39;", "'");
        assert!(shown.contains(problem), "{problem} is not in {shown}");
        let kept = text.replace('"', "&quot;");
        assert!(page.text.contains(&kept), "{text} is not kept");
    }
}

#[tokio::test]
async fn invalid_input_is_kept_and_shown_with_its_problem() {
    let fixture = Fixture::open().await;
    let entry = fixture.entry();
    let cookie = entry.signed_in().await;
    let start = entry.get("/console/edit", &cookie).await;
    let (token, draft) = (start.field("token"), start.field("draft"));
    let base = [("token", token.as_str()), ("draft", draft.as_str())];
    let add = [
        base.as_slice(),
        &[("fleet", "archive"), ("action", "add:customers")],
    ]
    .concat();
    let added = entry.post("/console/edit", &cookie, &add).await;
    assert_eq!(added.status, StatusCode::OK, "{}", added.text);
    assert!(
        added.text.contains("value=\"archive\""),
        "input is kept when a row is added"
    );
    let draft = added.field("draft");
    let typed = [
        ("token", token.as_str()),
        ("draft", draft.as_str()),
        ("fleet", "archive"),
        ("customers[0].name", "schools"),
        ("customers[0].key", "not a digest"),
        ("customers[0].share", "many"),
        ("customers[0].priority", "3"),
        ("action", "review"),
    ];
    let rejected = entry.post("/console/edit", &cookie, &typed).await;
    assert_eq!(rejected.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert!(
        rejected.text.contains("value=\"many\""),
        "{}",
        rejected.text
    );
    assert!(rejected.text.contains("value=\"schools\""));
    assert!(rejected.text.contains("id=\"customers[0].share-problem\""));
    let corrected = typed.map(|(name, value)| match name {
        "customers[0].key" => ("customers[0].new_key", "the customer's key"),
        "customers[0].share" => (name, "7"),
        _ => (name, value),
    });
    let review = entry.post("/console/edit", &cookie, &corrected).await;
    assert_eq!(review.status, StatusCode::OK, "{}", review.text);
    let draft: Document = serde_json::from_str(&review.field("draft")).expect("a valid document");
    assert_eq!(draft.customers[0].key, Digest::of(b"the customer's key"));
    assert_eq!(draft.customers[0].share, 7);
    assert!(
        !review.text.contains("the customer&#39;s key"),
        "the form must not contain the key, only its digest"
    );
}

#[tokio::test]
async fn markup_in_values_is_escaped_on_every_page() {
    let fixture = Fixture::open().await;
    let entry = fixture.entry();
    let cookie = entry.signed_in().await;
    let hostile = "\"'><script>alert(1)</script><img src=x onerror=alert(1)>";
    let text = json!({
        "fleet": hostile,
        "models": [{"name": hostile, "version": hostile, "manifest": Digest::of(b"m")}],
        "services": [{"name": hostile, "backend": {"plain": {"prefix": hostile}},
            "zones": [hostile]}],
        "customers": [{"name": hostile, "key": Digest::of(b"c")}],
        "operators": [{"name": hostile, "key": Digest::of(b"o")}],
    });
    let raw = entry.review(&cookie, &text.to_string()).await;
    let token = raw.field("token");
    let draft = text.to_string();
    let fields = [
        ("token", token.as_str()),
        ("draft", &draft),
        ("action", "review"),
    ];
    let forms = entry.post("/console/edit", &cookie, &fields).await;
    let document = Document::parse(&draft).expect("a valid document");
    entry.configuration_sender.send_replace(Arc::new(Snapshot {
        document: Arc::new(Document {
            operators: Vec::new(),
            ..document
        }),
        ..Snapshot::empty()
    }));
    let mut pages = vec![raw, forms];
    for path in ["/", "/edit", "/document", "/fleet"] {
        pages.push(entry.get(&format!("/console{path}"), &cookie).await);
    }
    pages.push(entry.sign_in(hostile).await);
    for page in pages {
        for markup in ["<script", "<img", "\"'>"] {
            assert!(!page.text.contains(markup), "{markup} in {}", page.text);
        }
    }
}

#[tokio::test]
async fn of_two_publications_one_is_accepted_and_the_other_keeps_its_draft() {
    let fixture = Fixture::open().await;
    let (first, second) = (fixture.entry(), fixture.entry());
    let cookie = first.signed_in().await;
    let ours = first.review(&cookie, &document("ours")).await;
    let theirs = second.review(&cookie, &document("theirs")).await;
    assert_eq!(first.publish(&cookie, &ours).await.status, StatusCode::OK);
    let rejected = second.publish(&cookie, &theirs).await;
    assert_eq!(rejected.status, StatusCode::CONFLICT);
    assert!(!rejected.text.contains("id=\"accepted\""));
    assert!(
        rejected.text.contains("<del>ours</del>"),
        "{}",
        rejected.text
    );
    assert!(rejected.text.contains("<ins>theirs</ins>"));
    // The draft can be published from the rejection page at once, as a new
    // operation.
    assert_eq!(rejected.field("base"), "1");
    assert_ne!(rejected.field("operation"), theirs.field("operation"));
    let accepted = second.publish(&cookie, &rejected).await;
    assert!(
        accepted.text.contains("<output id=\"accepted\">2</output>"),
        "{}",
        accepted.text
    );
}

#[tokio::test]
async fn submitting_the_same_form_again_publishes_no_second_version() {
    let fixture = Fixture::open().await;
    let entry = fixture.entry();
    let cookie = entry.signed_in().await;
    let review = entry.review(&cookie, &document("once")).await;
    for _ in 0..3 {
        let accepted = entry.publish(&cookie, &review).await;
        assert!(
            accepted.text.contains("<output id=\"accepted\">1</output>"),
            "{}",
            accepted.text
        );
    }
    let history = entry.get("/console/history", &cookie).await;
    assert!(!history.text.contains("/console/history/2"));
}

#[tokio::test]
async fn a_lost_answer_of_the_table_is_resolved_by_reading() {
    let fixture = Fixture::open().await;
    let entry = fixture.entry();
    let cookie = entry.signed_in().await;
    let review = entry.review(&cookie, &document("kept")).await;
    fixture
        .set_faults(json!({"tables": {"lose_percent": 100}}))
        .await;
    let accepted = entry.publish(&cookie, &review).await;
    assert!(
        accepted.text.contains("<output id=\"accepted\">1</output>"),
        "{}",
        accepted.text
    );
}

#[tokio::test]
async fn while_the_table_is_down_no_version_is_accepted_and_the_draft_is_kept() {
    let fixture = Fixture::open().await;
    let entry = fixture.entry();
    let cookie = entry.signed_in().await;
    let review = entry.review(&cookie, &document("kept")).await;
    fixture.set_faults(json!({"tables": {"down": true}})).await;
    let rejected = entry.publish(&cookie, &review).await;
    assert_eq!(rejected.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(!rejected.text.contains("id=\"accepted\""));
    assert_eq!(rejected.field("draft"), review.field("draft"));
    assert_eq!(rejected.field("operation"), review.field("operation"));
    fixture.set_faults(json!({"tables": {"down": false}})).await;
    let mut page = entry.publish(&cookie, &rejected).await;
    // The circuit breaker of the table may still be open for a moment.
    for _ in 0..5 {
        if page.status == StatusCode::SERVICE_UNAVAILABLE {
            page = entry.publish(&cookie, &page).await;
        }
    }
    assert!(
        page.text.contains("<output id=\"accepted\">1</output>"),
        "{}",
        page.text
    );
}

#[tokio::test]
async fn restoring_an_old_version_publishes_it_as_a_new_one() {
    let fixture = Fixture::open().await;
    let mut entry = fixture.entry();
    let cookie = entry.signed_in().await;
    for fleet in ["first", "second"] {
        let review = entry.review(&cookie, &document(fleet)).await;
        assert_eq!(entry.publish(&cookie, &review).await.status, StatusCode::OK);
        entry.apply_publication().await;
    }
    let page = entry.get("/console/history/1", &cookie).await;
    let token = page.field("token");
    let review = entry
        .post("/console/restore/1", &cookie, &[("token", &token)])
        .await;
    let accepted = entry.publish(&cookie, &review).await;
    assert!(
        accepted.text.contains("<output id=\"accepted\">3</output>"),
        "{}",
        accepted.text
    );
    assert_eq!(entry.apply_publication().await.document.fleet, "first");
    assert_eq!(
        entry.get("/console/history/9", &cookie).await.status,
        StatusCode::NOT_FOUND
    );
}
