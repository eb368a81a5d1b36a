//! Sends one call and classifies its answer.

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

/// The outcome of one call, with its timing.
#[derive(Debug)]
pub(super) struct Exchange {
    pub(super) outcome: Outcome,
    pub(super) status: u16,
    pub(super) code: SmolStr,
    pub(super) version: SmolStr,
    pub(super) first_token: Option<Duration>,
    pub(super) gaps: Vec<Duration>,
}

impl Exchange {
    fn of(outcome: Outcome) -> Exchange {
        Exchange {
            outcome,
            status: 0,
            code: SmolStr::default(),
            version: SmolStr::default(),
            first_token: None,
            gaps: Vec::new(),
        }
    }
}

/// Sends a call and reads its answer, up to the answer timeout.
pub(super) async fn perform(client: &Client, settings: &Settings, call: &Call) -> Exchange {
    match tokio::time::timeout(
        settings.answer_timeout,
        perform_untimed(client, settings, call),
    )
    .await
    {
        Ok(exchange) => exchange,
        Err(_) => Exchange::of(Outcome::TimedOut),
    }
}

async fn perform_untimed(client: &Client, settings: &Settings, call: &Call) -> Exchange {
    let sent = Instant::now();
    let request = settings.request(call);
    let response = match client.send_streaming(request).await {
        Ok(response) => response,
        Err(client::Error::Connection { source, .. }) if source.is_connect() => {
            return Exchange::of(Outcome::Unreachable);
        }
        Err(_) => return Exchange::of(Outcome::Truncated),
    };
    let status = response.status();
    let version = match response.headers().get("x-model-version") {
        Some(value) => SmolStr::new(value.to_str().unwrap_or("")),
        None => SmolStr::default(),
    };
    let streamed = call.kind == Kind::Stream && status == StatusCode::OK;
    let mut exchange = match streamed {
        true => read_stream(response.into_body(), call, sent).await,
        false => read_buffered(response.into_body(), status, settings, call).await,
    };
    exchange.status = status.as_u16();
    exchange.version = version;
    exchange
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
            .expect("the request parts are valid")
    }
}

impl Call {
    /// The text that an engine generates for this prompt.
    fn expected_text(&self) -> String {
        let message = tokens::Message {
            role: SmolStr::new_static("user"),
            content: self.prompt.clone(),
        };
        Answer::new(&tokens::chat_prompt(&[message])).text(0, self.tokens)
    }
}

async fn read_buffered(
    body: Incoming,
    status: StatusCode,
    settings: &Settings,
    call: &Call,
) -> Exchange {
    let Ok(body) = body.collect().await else {
        return Exchange::of(Outcome::Truncated);
    };
    let body: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
    if status != StatusCode::OK {
        return classify_error(&body);
    }
    let correct = match call.kind {
        Kind::Buffered | Kind::Stream => {
            body["choices"][0]["message"]["content"] == call.expected_text()
                && body["model"] == settings.model.as_str()
        }
        Kind::Plain | Kind::NonRepeatable => {
            let echo = body["echo"].as_str().unwrap_or("");
            let echo: Value = serde_json::from_str(echo).unwrap_or_default();
            echo["effect"] == call.effect.as_str()
        }
    };
    Exchange::of(match correct {
        true => Outcome::Complete,
        false => Outcome::Wrong,
    })
}

/// Classifies an error by what it says about the execution of the call.
fn classify_error(body: &Value) -> Exchange {
    let outcome = match &body["error"]["not_run"] {
        Value::Bool(true) => Outcome::NotRun,
        Value::Bool(false) => Outcome::Ran,
        _ => Outcome::Unknown,
    };
    let code = body["error"]["code"].as_str().unwrap_or("");
    Exchange {
        code: SmolStr::new(code),
        ..Exchange::of(outcome)
    }
}

/// Parses the server-sent events of a streamed answer.
struct StreamReader {
    buffer: BytesMut,
    text: String,
    done: bool,
    /// An error event inside the stream.
    error: Option<Value>,
    last_token: Option<Instant>,
    first_token: Option<Duration>,
    gaps: Vec<Duration>,
}

async fn read_stream(mut body: Incoming, call: &Call, sent: Instant) -> Exchange {
    let mut reader = StreamReader {
        buffer: BytesMut::new(),
        text: String::new(),
        done: false,
        error: None,
        last_token: None,
        first_token: None,
        gaps: Vec::new(),
    };
    let mut interrupted = false;
    while let Some(frame) = body.frame().await {
        match frame.map(hyper::body::Frame::into_data) {
            Ok(Ok(data)) => reader.push(&data, sent),
            Ok(Err(_)) => {}
            Err(_) => {
                interrupted = true;
                break;
            }
        }
    }
    let expected = call.expected_text();
    let outcome = match &reader.error {
        Some(error) => classify_error(error).outcome,
        None if reader.done && reader.text == expected => Outcome::Complete,
        None if reader.done => Outcome::Wrong,
        // A correct prefix whose connection broke off is recognizably
        // incomplete; any other text is wrong.
        None if !expected.starts_with(&reader.text) => Outcome::Wrong,
        None if interrupted => Outcome::Truncated,
        // The body ended normally but without `[DONE]`.
        None => Outcome::Wrong,
    };
    let code = match &reader.error {
        Some(error) => classify_error(error).code,
        None => SmolStr::default(),
    };
    Exchange {
        first_token: reader.first_token,
        gaps: reader.gaps,
        code,
        ..Exchange::of(outcome)
    }
}

impl StreamReader {
    fn push(&mut self, data: &[u8], sent: Instant) {
        self.buffer.extend_from_slice(data);
        while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event = self.buffer.split_to(end + 2);
            self.handle_event(&String::from_utf8_lossy(&event), sent);
        }
    }

    fn handle_event(&mut self, event: &str, sent: Instant) {
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
                self.record_token(token.unwrap_or(""), sent);
            }
        }
    }

    fn record_token(&mut self, token: &str, sent: Instant) {
        if token.is_empty() {
            return;
        }
        self.text.push_str(token);
        let now = Instant::now();
        match self.last_token.replace(now) {
            None => self.first_token = Some(now - sent),
            Some(last) => self.gaps.push(now - last),
        }
    }
}
