//! Errors as callers see them.

use poem::http::StatusCode;
use serde_json::Value;
use serde_json::json;
use snipewinch::call::Executed;
use snipewinch::call::entry::Failure;
use snipewinch::call::entry::Kind;

/// What a caller is told in place of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Problem {
    /// The request can't be read.
    Malformed,
    /// The body is too long.
    BodyTooLarge,
    /// No known bearer key.
    Unauthorized,
    /// No service has the model.
    UnknownModel,
    /// No service has the path.
    UnknownPath,
    /// The path knows other methods.
    Method,
    /// The idempotency key can't be used.
    BadKey,
    /// The idempotency key was used for another request.
    KeyReused,
    /// A call under the idempotency key may be running.
    InProgress,
    /// The call under the idempotency key ran, and its answer was not kept.
    AnswerNotKept,
    /// The platform, which keeps idempotency keys, is out of reach.
    NoClaim,
    /// No configuration has been accepted yet.
    NoConfiguration,
    /// The call had no whole answer.
    Failed(Failure),
}

/// How a problem is answered.
#[derive(Clone, Copy, Debug)]
struct Row {
    number: &'static str,
    code: &'static str,
    status: StatusCode,
    message: &'static str,
    remedy: &'static str,
}

impl Problem {
    /// Its number in the catalogue of events.
    pub fn number(&self) -> &'static str {
        self.row().number
    }

    /// Its name, for programs.
    pub fn code(&self) -> &'static str {
        self.row().code
    }

    /// Its HTTP status.
    pub fn status(&self) -> StatusCode {
        self.row().status
    }

    /// Whether the work ran.
    pub fn executed(&self) -> Executed {
        match self {
            Problem::Failed(failure) => failure.executed,
            Problem::InProgress => Executed::Unknown,
            Problem::AnswerNotKept => Executed::Yes,
            _ => Executed::No,
        }
    }

    /// When to try again, in whole seconds.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        let patient = matches!(
            self.status(),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS | StatusCode::CONFLICT
        );
        let retry_ms = match self {
            Problem::Failed(failure) => u64::from(failure.retry_ms),
            _ => 0,
        };
        patient.then_some(retry_ms.div_ceil(1000).max(1))
    }

    /// The body of the answer.
    pub fn body(&self) -> Value {
        let row = self.row();
        let not_run = match self.executed() {
            Executed::No => json!(true),
            Executed::Unknown => json!("unknown"),
            Executed::Yes => json!(false),
        };
        json!({"error": {
            "number": row.number,
            "code": row.code,
            "type": row.code,
            "message": row.message,
            "remedy": row.remedy,
            "not_run": not_run,
        }})
    }

    fn row(&self) -> Row {
        match self {
            Problem::Malformed => row(
                "E2051",
                "malformed",
                StatusCode::BAD_REQUEST,
                "the request can't be read",
                "send a JSON object with a `model`, whole and with its right length",
            ),
            Problem::BodyTooLarge => row(
                "E2052",
                "body_too_large",
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is longer than this interface takes",
                "send at most 2 MiB",
            ),
            Problem::Unauthorized => row(
                "E2053",
                "unauthorized",
                StatusCode::UNAUTHORIZED,
                "no customer has this bearer key",
                "send `Authorization: Bearer KEY` with the key from your operator",
            ),
            Problem::UnknownModel => row(
                "E2054",
                "unknown_model",
                StatusCode::NOT_FOUND,
                "no service has this model",
                "ask for a model that GET /v1/models lists",
            ),
            Problem::UnknownPath => row(
                "E2055",
                "unknown_path",
                StatusCode::NOT_FOUND,
                "no service has this path",
                "correct the path",
            ),
            Problem::Method => row(
                "E2056",
                "method_not_allowed",
                StatusCode::METHOD_NOT_ALLOWED,
                "the path does not know this method",
                "use POST for completions and GET for models",
            ),
            Problem::BadKey => row(
                "E2057",
                "bad_idempotency_key",
                StatusCode::BAD_REQUEST,
                "the idempotency key can't be used",
                "send 1 to 200 visible ASCII characters",
            ),
            Problem::KeyReused => row(
                "E2058",
                "idempotency_key_reused",
                StatusCode::UNPROCESSABLE_ENTITY,
                "the idempotency key was used for another request",
                "use a new key for each request, and the same key only to repeat one",
            ),
            Problem::InProgress => row(
                "E2059",
                "in_progress",
                StatusCode::CONFLICT,
                "a call under this idempotency key is running",
                "repeat the request under the same key later",
            ),
            Problem::AnswerNotKept => row(
                "E2060",
                "answer_not_kept",
                StatusCode::GONE,
                "the call under this idempotency key ran, and its answer was too long to keep",
                "look at the service's own records; do not send the request under a new key",
            ),
            Problem::NoClaim => row(
                "E2061",
                "no_claim",
                StatusCode::SERVICE_UNAVAILABLE,
                "the store of idempotency keys is out of reach, so the call was not started",
                "repeat the request under the same key later",
            ),
            Problem::NoConfiguration => row(
                "E2062",
                "no_configuration",
                StatusCode::SERVICE_UNAVAILABLE,
                "this host has no configuration yet",
                "try again shortly",
            ),
            Problem::Failed(failure) => failed(failure),
        }
    }
}

const fn row(
    number: &'static str,
    code: &'static str,
    status: StatusCode,
    message: &'static str,
    remedy: &'static str,
) -> Row {
    Row {
        number,
        code,
        status,
        message,
        remedy,
    }
}

fn failed(failure: &Failure) -> Row {
    match failure.kind {
        // A status says "not run" to clients that read nothing else.
        Kind::Busy | Kind::Leaving | Kind::Limited | Kind::NoBackend | Kind::NoVersion
            if failure.executed != Executed::No =>
        {
            broken()
        }
        Kind::Busy => row(
            "E2070",
            "busy",
            StatusCode::SERVICE_UNAVAILABLE,
            "every backend server asked has no room",
            "try again after Retry-After",
        ),
        Kind::NoBackend => row(
            "E2071",
            "no_backend",
            StatusCode::SERVICE_UNAVAILABLE,
            "no backend server of the service can be reached",
            "try again after Retry-After",
        ),
        Kind::NoVersion => row(
            "E2072",
            "no_version",
            StatusCode::SERVICE_UNAVAILABLE,
            "no backend server has loaded the model yet",
            "try again after Retry-After",
        ),
        Kind::Limited => row(
            "E2073",
            "limited",
            StatusCode::TOO_MANY_REQUESTS,
            "the customer has used its share",
            "try again after Retry-After, and send fewer requests at once",
        ),
        Kind::Leaving => row(
            "E2074",
            "leaving",
            StatusCode::SERVICE_UNAVAILABLE,
            "this host stops",
            "try again: another host takes the request",
        ),
        Kind::Deadline => row(
            "E2075",
            "deadline",
            StatusCode::GATEWAY_TIMEOUT,
            "the call took longer than it may",
            "see `not_run`; send fewer requests at once or ask for a shorter answer",
        ),
        Kind::OutcomeUnknown => row(
            "E2076",
            "outcome_unknown",
            StatusCode::FAILED_DEPENDENCY,
            "contact was lost after the call may have started, so whether it ran is unknown",
            "check the effect before sending it again, or repeat it under the same idempotency key",
        ),
        Kind::Broken => broken(),
        Kind::TooLarge => row(
            "E2078",
            "answer_too_large",
            StatusCode::BAD_GATEWAY,
            "the answer is longer than this host may hold",
            "ask for less at once, or for a stream",
        ),
    }
}

const fn broken() -> Row {
    row(
        "E2077",
        "broken",
        StatusCode::BAD_GATEWAY,
        "the backend server broke off and the answer could not be completed",
        "see `not_run`; repeat the request if it does no harm",
    )
}
