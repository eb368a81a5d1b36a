//! Calls to an engine: whole or as server-sent events.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use futures_util::stream;
use http::HeaderValue;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use serde::Deserialize;
use serde_json::json;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::time::Instant;

use super::Engine;
use super::batch::Slot;
use super::orders::Loaded;
use super::runs::RunGuard;
use super::runs::ServedVersion;
use crate::http::Body;
use crate::http::Refusal;
use crate::http::Reply;
use crate::http::Request;
use crate::http::Response;
use crate::http::error;
use crate::http::json;
use crate::http::parse;
use crate::http::read_body;
use crate::tokens;
use crate::tokens::Answer;
use crate::tokens::Message;

/// Tokens of an answer unless the request says.
const TOKENS_DEFAULT: u64 = 16;
/// The most tokens of an answer.
const TOKENS_MAX: u64 = 1 << 20;

#[derive(Debug, Deserialize)]
struct Wanted {
    model: SmolStr,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: String,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    priority: u8,
    #[serde(default)]
    resume_from: u64,
}

/// One sequence in the batch.
struct Sequence {
    engine: Arc<Engine>,
    loaded: Loaded,
    answer: Answer,
    id: SmolStr,
    chat: bool,
    position: u64,
    end: u64,
    /// Where a fault cuts the answer.
    cut_at: Option<u64>,
    next: Instant,
    stage: Stage,
    guard: RunGuard,
    _slot: Slot,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Tokens,
    Done,
    Over,
}

impl Engine {
    pub(super) async fn complete(self: Arc<Self>, chat: bool, request: Request) -> Reply {
        let number = self.served.fetch_add(1, Ordering::Relaxed);
        let id = request
            .headers()
            .get("x-request-id")
            .and_then(|value| value.to_str().ok())
            .map_or_else(|| format_smolstr!("{}-{number}", self.index), SmolStr::new);
        let (sequence, stream) = match self.clone().begin(chat, id, number, request).await {
            Ok(begun) => begun,
            Err(Refusal(answer)) => return Reply::Answer(*answer),
        };
        let lose = Engine::hits(self.faults.read().lose_percent, number);
        match stream {
            true if lose => Reply::Disconnect,
            true => Reply::Answer(sequence.stream()),
            false => sequence.whole(lose).await,
        }
    }

    async fn begin(
        self: Arc<Self>,
        chat: bool,
        id: SmolStr,
        number: usize,
        request: Request,
    ) -> Result<(Sequence, bool), Refusal> {
        let wanted: Wanted = parse(&read_body(request).await?)?;
        let prompt = match chat {
            true => tokens::chat_prompt(&wanted.messages),
            false => wanted.prompt,
        };
        let mut guard = self.runs.register(id.clone(), self.index);
        let slot = tokio::select! {
            slot = self.batch.acquire_slot(wanted.priority) => slot,
            _ = guard.cancelled.changed() => None,
        };
        let Some(slot) = slot else {
            return Err(Refusal::new(error(StatusCode::CONFLICT, "cancelled")));
        };
        // What is in force decides when the call begins, not when it arrived.
        let loaded = match self.orders.serving(&wanted.model) {
            Some(loaded) => loaded,
            None if self.orders.empty() => {
                let refusal = error(StatusCode::SERVICE_UNAVAILABLE, "nothing loaded");
                return Err(Refusal::new(refusal));
            }
            None => return Err(Refusal::new(error(StatusCode::NOT_FOUND, "model"))),
        };
        guard.count_start(tokens::effect_name(&prompt));
        self.runs.count_served(ServedVersion {
            model: loaded.model.clone(),
            version: loaded.version.clone(),
            manifest: loaded.manifest.clone(),
            given_digest: loaded.given_digest.clone(),
            calls: 1,
        });
        let missing = self
            .cache
            .lock()
            .insert_prompt(tokens::prefix_names(&prompt));
        let tokens = wanted.max_completion_tokens.or(wanted.max_tokens);
        let end = tokens.unwrap_or(TOKENS_DEFAULT).min(TOKENS_MAX);
        let position = wanted.resume_from.min(end);
        let cut = Engine::hits(self.faults.read().cut_percent, number);
        let sequence = Sequence {
            loaded,
            answer: Answer::new(&prompt),
            id,
            chat,
            position,
            end,
            cut_at: cut.then_some(position + (end - position) / 2),
            next: Instant::now() + self.config.prefill_per_block * missing as u32,
            stage: Stage::Tokens,
            guard,
            _slot: slot,
            engine: self,
        };
        Ok((sequence, wanted.stream))
    }
}

impl Sequence {
    /// The whole answer in one body.
    async fn whole(mut self, lose: bool) -> Reply {
        let first = self.position;
        while self.position < self.end {
            if !self.step().await {
                return Reply::Answer(error(StatusCode::CONFLICT, "cancelled"));
            }
            if self.cut_at == Some(self.position) {
                return Reply::Disconnect;
            }
        }
        self.guard.finish();
        if lose {
            return Reply::Disconnect;
        }
        let text = self.answer.text(first, self.end);
        let choice = match self.chat {
            true => json!({"index": 0, "finish_reason": "length",
                "message": {"role": "assistant", "content": text}}),
            false => json!({"index": 0, "finish_reason": "length", "text": text}),
        };
        let object = match self.chat {
            true => "chat.completion",
            false => "text_completion",
        };
        let body = json!({
            "id": self.id, "object": object, "model": self.loaded.model,
            "choices": [choice],
            "usage": {"completion_tokens": self.end - first},
        });
        let mut response = json(StatusCode::OK, &body);
        self.label(&mut response);
        Reply::Answer(response)
    }

    /// Generates one token; whether the call still goes on.
    async fn step(&mut self) -> bool {
        self.next += self.engine.step();
        if self.next > Instant::now() {
            tokio::select! {
                () = tokio::time::sleep_until(self.next) => {}
                _ = self.guard.cancelled.changed() => {}
            }
        }
        self.position += 1;
        !self.guard.is_cancelled()
    }

    fn stream(self) -> Response {
        let mut response = http::Response::new(Body::default());
        self.label(&mut response);
        let kind = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
        let events = stream::unfold(self, async |mut sequence| {
            let event = sequence.event().await?;
            Some((event.map(Frame::data), sequence))
        });
        *response.body_mut() = StreamBody::new(events).boxed_unsync();
        response
    }

    /// The next bytes of a stream.
    async fn event(&mut self) -> Option<Result<Bytes, io::Error>> {
        match self.stage {
            Stage::Over => None,
            Stage::Done => {
                self.stage = Stage::Over;
                Some(Ok(Bytes::from_static(b"data: [DONE]\n\n")))
            }
            Stage::Tokens if self.position == self.end => {
                self.guard.finish();
                self.stage = Stage::Done;
                Some(Ok(self.chunk("", "\"length\"")))
            }
            Stage::Tokens if self.cut_at == Some(self.position) => {
                Some(Err(io::Error::other("cut by a fault")))
            }
            Stage::Tokens => {
                let position = self.position;
                if !self.step().await {
                    self.stage = Stage::Over;
                    return Some(Ok(self.chunk("", "\"cancelled\"")));
                }
                let token = self.answer.token(position);
                Some(Ok(self.chunk(&token, "null")))
            }
        }
    }

    /// One event; ids, models and tokens need no escaping in JSON.
    fn chunk(&self, token: &str, finish: &str) -> Bytes {
        let id = &self.id;
        let model = &self.loaded.model;
        let text = match self.chat {
            true => format!(
                "data: {{\"id\":\"{id}\",\"object\":\"chat.completion.chunk\",\"model\":\"{model}\",\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{token}\"}},\"finish_reason\":{finish}}}]}}\n\n"
            ),
            false => format!(
                "data: {{\"id\":\"{id}\",\"object\":\"text_completion\",\"model\":\"{model}\",\"choices\":[{{\"index\":0,\"text\":\"{token}\",\"finish_reason\":{finish}}}]}}\n\n"
            ),
        };
        Bytes::from(text)
    }

    fn label(&self, response: &mut Response) {
        let headers = response.headers_mut();
        for (name, value) in [
            ("x-model-version", &self.loaded.version),
            ("x-weights-digest", &self.loaded.given_digest),
            ("x-request-id", &self.id),
        ] {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(name, value);
            }
        }
    }
}
