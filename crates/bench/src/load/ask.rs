//! Sends one call and judges what comes back.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use smol_str::SmolStr;
use standin::client;
use standin::client::Client;
use standin::tokens;
use standin::tokens::Answer;

use super::Call;
use super::Kind;
use super::Outcome;
use super::Settings;

/// What came back.
#[derive(Debug)]
pub(super) struct Asked {
    pub(super) outcome: Outcome,
    pub(super) status: u16,
    pub(super) code: SmolStr,
    pub(super) version: SmolStr,
    pub(super) first_token: Option<Duration>,
    pub(super) gaps: Vec<Duration>,
}

impl Asked {
    fn of(outcome: Outcome) -> Asked {
        Asked {
            outcome,
            status: 0,
            code: SmolStr::default(),
            version: SmolStr::default(),
            first_token: None,
            gaps: Vec::new(),
        }
    }
}

pub(super) async fn ask(client: &Client, settings: &Settings, call: &Call) -> Asked {
    match tokio::time::timeout(settings.answer_timeout, patient(client, settings, call)).await {
        Ok(asked) => asked,
        Err(_) => Asked::of(Outcome::TimedOut),
    }
}

async fn patient(client: &Client, settings: &Settings, call: &Call) -> Asked {
    let sent = Instant::now();
    let request = settings.request(call);
    let response = match client.send_streaming(request).await {
        Ok(response) => response,
        Err(client::Error::Connection { source, .. }) if source.is_connect() => {
            return Asked::of(Outcome::Unreachable);
        }
        Err(_) => return Asked::of(Outcome::Truncated),
    };
    let status = response.status();
    let version = match response.headers().get("x-model-version") {
        Some(value) => SmolStr::new(value.to_str().unwrap_or("")),
        None => SmolStr::default(),
    };
    let streamed = call.kind == Kind::Stream && status == StatusCode::OK;
    let mut asked = match streamed {
        true => stream(response.into_body(), call, sent).await,
        false => whole(response.into_body(), status, settings, call).await,
    };
    asked.status = status.as_u16();
    asked.version = version;
    asked
}

impl Settings {
    fn request(&self, call: &Call) -> http::Request<Full<Bytes>> {
        let path = match call.kind {
            Kind::Buffered | Kind::Stream => "/v1/chat/completions",
            Kind::Plain => self.plain.as_deref().unwrap_or("/"),
            Kind::NonRepeatable => self.non_repeatable.as_deref().unwrap_or("/"),
        };
        let body = match call.kind {
            Kind::Buffered | Kind::Stream => json!({"model": self.model,
                "messages": [{"role": "user", "content": call.prompt}],
                "max_tokens": call.tokens, "stream": call.kind == Kind::Stream}),
            Kind::Plain | Kind::NonRepeatable => json!({"effect": call.effect}),
        };
        let key = self.customers.get(call.customer);
        let key = key.map_or("", |customer| customer.key.as_str());
        let mut request = http::Request::post(format!("http://{}{path}", call.entry))
            .header("authorization", format!("Bearer {key}"))
            .header("content-type", "application/json")
            .header("x-request-id", call.effect.as_str());
        if call.kind == Kind::NonRepeatable {
            request = request.header("idempotency-key", call.effect.as_str());
        }
        request
            .body(Full::new(Bytes::from(body.to_string())))
            .expect("the parts are valid")
    }
}

impl Call {
    /// The text that the engine must answer.
    fn expected(&self) -> String {
        let message = tokens::Message {
            role: SmolStr::new_static("user"),
            content: self.prompt.clone(),
        };
        Answer::new(&tokens::chat_prompt(&[message])).text(0, self.tokens)
    }
}

async fn whole(body: Incoming, status: StatusCode, settings: &Settings, call: &Call) -> Asked {
    let Ok(body) = body.collect().await else {
        return Asked::of(Outcome::Truncated);
    };
    let body: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
    if status != StatusCode::OK {
        return refusal(&body);
    }
    let right = match call.kind {
        Kind::Buffered | Kind::Stream => {
            body["choices"][0]["message"]["content"] == call.expected()
                && body["model"] == settings.model.as_str()
        }
        Kind::Plain | Kind::NonRepeatable => {
            let echo = body["echo"].as_str().unwrap_or("");
            let echo: Value = serde_json::from_str(echo).unwrap_or_default();
            echo["effect"] == call.effect.as_str()
        }
    };
    Asked::of(match right {
        true => Outcome::Complete,
        false => Outcome::Wrong,
    })
}

/// What an error says about the work.
fn refusal(body: &Value) -> Asked {
    let outcome = match &body["error"]["not_run"] {
        Value::Bool(true) => Outcome::NotRun,
        Value::Bool(false) => Outcome::Ran,
        _ => Outcome::Unknown,
    };
    let code = body["error"]["code"].as_str().unwrap_or("");
    Asked {
        code: SmolStr::new(code),
        ..Asked::of(outcome)
    }
}

/// A stream as it arrives.
struct Reading {
    buffer: BytesMut,
    text: String,
    done: bool,
    /// The code of an error inside the stream.
    error: Option<Value>,
    last: Option<Instant>,
    first_token: Option<Duration>,
    gaps: Vec<Duration>,
}

async fn stream(mut body: Incoming, call: &Call, sent: Instant) -> Asked {
    let mut reading = Reading {
        buffer: BytesMut::new(),
        text: String::new(),
        done: false,
        error: None,
        last: None,
        first_token: None,
        gaps: Vec::new(),
    };
    let mut broken = false;
    while let Some(frame) = body.frame().await {
        match frame.map(hyper::body::Frame::into_data) {
            Ok(Ok(data)) => reading.take(&data, sent),
            Ok(Err(_)) => {}
            Err(_) => {
                broken = true;
                break;
            }
        }
    }
    let expected = call.expected();
    let outcome = match &reading.error {
        Some(error) => refusal(error).outcome,
        None if reading.done && reading.text == expected => Outcome::Complete,
        None if reading.done => Outcome::Wrong,
        // A prefix that visibly breaks off is no answer; other text is wrong.
        None if !expected.starts_with(&reading.text) => Outcome::Wrong,
        None if broken => Outcome::Truncated,
        // It ended as if whole, without its closing mark.
        None => Outcome::Wrong,
    };
    let code = match &reading.error {
        Some(error) => refusal(error).code,
        None => SmolStr::default(),
    };
    Asked {
        first_token: reading.first_token,
        gaps: reading.gaps,
        code,
        ..Asked::of(outcome)
    }
}

impl Reading {
    fn take(&mut self, data: &[u8], sent: Instant) {
        self.buffer.extend_from_slice(data);
        while let Some(end) = self.buffer.windows(2).position(|two| two == b"\n\n") {
            let event = self.buffer.split_to(end + 2);
            self.event(&String::from_utf8_lossy(&event), sent);
        }
    }

    fn event(&mut self, event: &str, sent: Instant) {
        let data = event.lines().find_map(|line| line.strip_prefix("data: "));
        match data {
            None => {}
            Some("[DONE]") => self.done = true,
            Some(data) => {
                let value: Value = serde_json::from_str(data).unwrap_or_default();
                if value.get("error").is_some() {
                    self.error = Some(value);
                    return;
                }
                let token = value["choices"][0]["delta"]["content"].as_str();
                self.token(token.unwrap_or(""), sent);
            }
        }
    }

    fn token(&mut self, token: &str, sent: Instant) {
        if token.is_empty() {
            return;
        }
        self.text.push_str(token);
        let now = Instant::now();
        match self.last.replace(now) {
            None => self.first_token = Some(now - sent),
            Some(last) => self.gaps.push(now - last),
        }
    }
}
