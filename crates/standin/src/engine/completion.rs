//! Completion calls to an engine, answered in one body or as server-sent
//! events.

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

/// Tokens of an answer if the request sets no maximum.
const TOKENS_DEFAULT: u64 = 16;
/// Largest number of tokens of an answer.
const TOKENS_MAX: u64 = 1 << 20;

#[derive(Debug, Deserialize)]
struct CompletionRequest {
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
    /// The token position at which a fault cuts the connection.
    cut_position: Option<u64>,
    next_token_at: Instant,
    stage: Stage,
    guard: RunGuard,
    _slot: Slot,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Tokens,
    DoneMarker,
    Ended,
}

impl Engine {
    pub(super) async fn complete(self: Arc<Self>, chat: bool, request: Request) -> Reply {
        let call_index = self.calls.fetch_add(1, Ordering::Relaxed);
        let id = request
            .headers()
            .get("x-request-id")
            .and_then(|value| value.to_str().ok())
            .map_or_else(
                || format_smolstr!("{}-{call_index}", self.index),
                SmolStr::new,
            );
        let (sequence, stream) = match self
            .clone()
            .start_sequence(chat, id, call_index, request)
            .await
        {
            Ok(started) => started,
            Err(Refusal(response)) => return Reply::Answer(*response),
        };
        let lose_reply = Engine::fault_hits(self.faults.read().lose_percent, call_index);
        match stream {
            true if lose_reply => Reply::Disconnect,
            true => Reply::Answer(sequence.stream_response()),
            false => sequence.complete_response(lose_reply).await,
        }
    }

    async fn start_sequence(
        self: Arc<Self>,
        chat: bool,
        id: SmolStr,
        call_index: usize,
        request: Request,
    ) -> Result<(Sequence, bool), Refusal> {
        let completion: CompletionRequest = parse(&read_body(request).await?)?;
        let prompt = match chat {
            true => tokens::chat_prompt(&completion.messages),
            false => completion.prompt,
        };
        let mut guard = self.runs.register(id.clone(), self.index);
        let slot = tokio::select! {
            slot = self.batch.acquire_slot(completion.priority) => slot,
            _ = guard.cancelled.changed() => None,
        };
        let Some(slot) = slot else {
            return Err(Refusal::new(error(StatusCode::CONFLICT, "cancelled")));
        };
        // Uses the weights that are loaded when the call gets its slot, not
        // those that were loaded when it arrived.
        let loaded = match self.control.loaded(&completion.model) {
            Some(loaded) => loaded,
            None if self.control.is_unavailable() => {
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
        let uncached_blocks = self
            .cache
            .lock()
            .insert_prompt(tokens::prefix_names(&prompt));
        let max_tokens = completion.max_completion_tokens.or(completion.max_tokens);
        let end = max_tokens.unwrap_or(TOKENS_DEFAULT).min(TOKENS_MAX);
        let position = completion.resume_from.min(end);
        let is_cut = Engine::fault_hits(self.faults.read().cut_percent, call_index);
        let sequence = Sequence {
            loaded,
            answer: Answer::new(&prompt),
            id,
            chat,
            position,
            end,
            cut_position: is_cut.then_some(position + (end - position) / 2),
            next_token_at: Instant::now() + self.config.prefill_per_block * uncached_blocks as u32,
            stage: Stage::Tokens,
            guard,
            _slot: slot,
            engine: self,
        };
        Ok((sequence, completion.stream))
    }
}

impl Sequence {
    /// Generates all tokens and returns the answer in one body.
    async fn complete_response(mut self, lose_reply: bool) -> Reply {
        let first = self.position;
        while self.position < self.end {
            if !self.generate_token().await {
                return Reply::Answer(error(StatusCode::CONFLICT, "cancelled"));
            }
            if self.cut_position == Some(self.position) {
                return Reply::Disconnect;
            }
        }
        self.guard.finish();
        if lose_reply {
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
        self.add_headers(&mut response);
        Reply::Answer(response)
    }

    /// Waits for one step and generates a token. Returns false if the call was
    /// cancelled.
    async fn generate_token(&mut self) -> bool {
        self.next_token_at += self.engine.step_duration();
        if self.next_token_at > Instant::now() {
            tokio::select! {
                () = tokio::time::sleep_until(self.next_token_at) => {}
                _ = self.guard.cancelled.changed() => {}
            }
        }
        self.position += 1;
        !self.guard.is_cancelled()
    }

    fn stream_response(self) -> Response {
        let mut response = http::Response::new(Body::default());
        self.add_headers(&mut response);
        let content_type = HeaderValue::from_static("text/event-stream");
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
        let events = stream::unfold(self, async |mut sequence| {
            let event = sequence.next_event().await?;
            Some((event.map(Frame::data), sequence))
        });
        *response.body_mut() = StreamBody::new(events).boxed_unsync();
        response
    }

    /// Returns the next event of the stream, none after the last one.
    async fn next_event(&mut self) -> Option<Result<Bytes, io::Error>> {
        match self.stage {
            Stage::Ended => None,
            Stage::DoneMarker => {
                self.stage = Stage::Ended;
                Some(Ok(Bytes::from_static(b"data: [DONE]\n\n")))
            }
            Stage::Tokens if self.position == self.end => {
                self.guard.finish();
                self.stage = Stage::DoneMarker;
                Some(Ok(self.format_event("", "\"length\"")))
            }
            Stage::Tokens if self.cut_position == Some(self.position) => {
                Some(Err(io::Error::other("fault injection cut the stream")))
            }
            Stage::Tokens => {
                let position = self.position;
                if !self.generate_token().await {
                    self.stage = Stage::Ended;
                    return Some(Ok(self.format_event("", "\"cancelled\"")));
                }
                let token = self.answer.token(position);
                Some(Ok(self.format_event(&token, "null")))
            }
        }
    }

    /// Formats one server-sent event. IDs, models and tokens are not escaped:
    /// they contain no character that JSON escapes.
    fn format_event(&self, token: &str, finish_reason: &str) -> Bytes {
        let id = &self.id;
        let model = &self.loaded.model;
        let text = match self.chat {
            true => format!(
                "data: {{\"id\":\"{id}\",\"object\":\"chat.completion.chunk\",\"model\":\"{model}\",\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{token}\"}},\"finish_reason\":{finish_reason}}}]}}\n\n"
            ),
            false => format!(
                "data: {{\"id\":\"{id}\",\"object\":\"text_completion\",\"model\":\"{model}\",\"choices\":[{{\"index\":0,\"text\":\"{token}\",\"finish_reason\":{finish_reason}}}]}}\n\n"
            ),
        };
        Bytes::from(text)
    }

    fn add_headers(&self, response: &mut Response) {
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
