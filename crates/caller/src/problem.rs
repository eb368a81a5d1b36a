//! Errors that are reported to callers.

use poem::http::StatusCode;
use serde_json::Value;
use serde_json::json;
use snipewinch::call::Executed;
use snipewinch::call::entry::Failure;
use snipewinch::call::entry::Kind;

/// An error that a caller receives instead of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Problem {
    /// The request is malformed, or its body was not received completely.
    Malformed,
    /// The body exceeds the maximum size.
    BodyTooLarge,
    /// The bearer key is missing or belongs to no customer.
    Unauthorized,
    /// No service serves the model.
    UnknownModel,
    /// No service serves the path.
    UnknownPath,
    /// The path does not support the method.
    Method,
    /// The idempotency key is empty, too long, or has other characters than
    /// visible ASCII.
    BadKey,
    /// The idempotency key was used for another request.
    KeyReused,
    /// A call under the idempotency key may be running.
    InProgress,
    /// The call under the idempotency key ran, but its answer was not recorded.
    AnswerNotKept,
    /// The platform, which stores idempotency keys, is unreachable, so the call
    /// was not started.
    NoClaim,
    /// No configuration has been accepted yet.
    NoConfiguration,
    /// The call has no complete answer.
    Failed(Failure),
}

/// The contents of the response for a problem.
#[derive(Clone, Copy, Debug)]
struct Details {
    number: &'static str,
    code: &'static str,
    status: StatusCode,
    message: &'static str,
    remedy: &'static str,
}

impl Problem {
    /// Its event number.
    pub fn number(&self) -> &'static str {
        self.details().number
    }

    /// Its machine-readable code.
    pub fn code(&self) -> &'static str {
        self.details().code
    }

    /// Its HTTP status.
    pub fn status(&self) -> StatusCode {
        self.details().status
    }

    /// Whether the call was executed.
    pub fn executed(&self) -> Executed {
        match self {
            Problem::Failed(failure) => failure.executed,
            Problem::InProgress => Executed::Unknown,
            Problem::AnswerNotKept => Executed::Yes,
            _ => Executed::No,
        }
    }

    /// The time after which the caller should retry, in seconds; `None` if the
    /// status is not one of a temporary problem.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        let temporary = matches!(
            self.status(),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS | StatusCode::CONFLICT
        );
        let retry_ms = match self {
            Problem::Failed(failure) => u64::from(failure.retry_ms),
            _ => 0,
        };
        temporary.then_some(retry_ms.div_ceil(1000).max(1))
    }

    /// The JSON body of the response.
    pub fn body(&self) -> Value {
        let details = self.details();
        let not_run = match self.executed() {
            Executed::No => json!(true),
            Executed::Unknown => json!("unknown"),
            Executed::Yes => json!(false),
        };
        json!({"error": {
            "number": details.number,
            "code": details.code,
            "type": details.code,
            "message": details.message,
            "remedy": details.remedy,
            "not_run": not_run,
        }})
    }

    fn details(&self) -> Details {
        match self {
            Problem::Malformed => details(
                "E2051",
                "malformed",
                StatusCode::BAD_REQUEST,
                "the request can't be read",
                "send a JSON object with a `model`, whole and with its right length",
            ),
            Problem::BodyTooLarge => details(
                "E2052",
                "body_too_large",
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is longer than this interface takes",
                "send at most 2 MiB",
            ),
            Problem::Unauthorized => details(
                "E2053",
                "unauthorized",
                StatusCode::UNAUTHORIZED,
                "no customer has this bearer key",
                "send `Authorization: Bearer KEY` with the key from your operator",
            ),
            Problem::UnknownModel => details(
                "E2054",
                "unknown_model",
                StatusCode::NOT_FOUND,
                "no service has this model",
                "ask for a model that GET /v1/models lists",
            ),
            Problem::UnknownPath => details(
                "E2055",
                "unknown_path",
                StatusCode::NOT_FOUND,
                "no service has this path",
                "correct the path",
            ),
            Problem::Method => details(
                "E2056",
                "method_not_allowed",
                StatusCode::METHOD_NOT_ALLOWED,
                "the path does not know this method",
                "use POST for completions and GET for models",
            ),
            Problem::BadKey => details(
                "E2057",
                "bad_idempotency_key",
                StatusCode::BAD_REQUEST,
                "the idempotency key can't be used",
                "send 1 to 200 visible ASCII characters",
            ),
            Problem::KeyReused => details(
                "E2058",
                "idempotency_key_reused",
                StatusCode::UNPROCESSABLE_ENTITY,
                "the idempotency key was used for another request",
                "use a new key for each request, and the same key only to repeat one",
            ),
            Problem::InProgress => details(
                "E2059",
                "in_progress",
                StatusCode::CONFLICT,
                "a call under this idempotency key is running",
                "repeat the request under the same key later",
            ),
            Problem::AnswerNotKept => details(
                "E2060",
                "answer_not_kept",
                StatusCode::GONE,
                "the call under this idempotency key ran, and its answer was too long to keep",
                "look at the service's own records; do not send the request under a new key",
            ),
            Problem::NoClaim => details(
                "E2061",
                "no_claim",
                StatusCode::SERVICE_UNAVAILABLE,
                "the store of idempotency keys is out of reach, so the call was not started",
                "repeat the request under the same key later",
            ),
            Problem::NoConfiguration => details(
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

const fn details(
    number: &'static str,
    code: &'static str,
    status: StatusCode,
    message: &'static str,
    remedy: &'static str,
) -> Details {
    Details {
        number,
        code,
        status,
        message,
        remedy,
    }
}

fn failed(failure: &Failure) -> Details {
    match failure.kind {
        // The statuses of these kinds mean that the call did not run. Some
        // clients read only the status, so a call that may have run gets
        // another one.
        Kind::Busy | Kind::Leaving | Kind::Limited | Kind::NoBackend | Kind::NoVersion
            if failure.executed != Executed::No =>
        {
            broken()
        }
        Kind::Busy => details(
            "E2070",
            "busy",
            StatusCode::SERVICE_UNAVAILABLE,
            "every backend server asked has no room",
            "try again after Retry-After",
        ),
        Kind::NoBackend => details(
            "E2071",
            "no_backend",
            StatusCode::SERVICE_UNAVAILABLE,
            "no backend server of the service can be reached",
            "try again after Retry-After",
        ),
        Kind::NoVersion => details(
            "E2072",
            "no_version",
            StatusCode::SERVICE_UNAVAILABLE,
            "no backend server has loaded the model yet",
            "try again after Retry-After",
        ),
        Kind::Limited => details(
            "E2073",
            "limited",
            StatusCode::TOO_MANY_REQUESTS,
            "the customer has used its share",
            "try again after Retry-After, and send fewer requests at once",
        ),
        Kind::Leaving => details(
            "E2074",
            "leaving",
            StatusCode::SERVICE_UNAVAILABLE,
            "this host stops",
            "try again: another host takes the request",
        ),
        Kind::Deadline => details(
            "E2075",
            "deadline",
            StatusCode::GATEWAY_TIMEOUT,
            "the call took longer than it may",
            "see `not_run`; send fewer requests at once or ask for a shorter answer",
        ),
        Kind::OutcomeUnknown => details(
            "E2076",
            "outcome_unknown",
            StatusCode::FAILED_DEPENDENCY,
            "contact was lost after the call may have started, so whether it ran is unknown",
            "check the effect before sending it again, or repeat it under the same idempotency key",
        ),
        Kind::Broken => broken(),
        Kind::TooLarge => details(
            "E2078",
            "answer_too_large",
            StatusCode::BAD_GATEWAY,
            "the answer is longer than this host may hold",
            "ask for less at once, or for a stream",
        ),
    }
}

const fn broken() -> Details {
    details(
        "E2077",
        "broken",
        StatusCode::BAD_GATEWAY,
        "the backend server broke off and the answer could not be completed",
        "see `not_run`; repeat the request if it does no harm",
    )
}
