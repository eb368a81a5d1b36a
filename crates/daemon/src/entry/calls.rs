//! Calls at the entry: admits callers' requests, claims their idempotency keys
//! and passes them to the driver, which runs them on agents.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use caller::Answer;
use caller::Api;
use caller::Body;
use caller::Call;
use caller::Problem;
use opentelemetry::trace::SpanKind;
use peer::link::Event;
use poem::EndpointExt;
use poem::endpoint::BoxEndpoint;
use smol_str::format_smolstr;
use snipewinch::call::Executed;
use snipewinch::call::Head;
use snipewinch::call::Message;
use snipewinch::call::entry::Failure;
use snipewinch::call::entry::Kind;
use snipewinch::claim;
use snipewinch::claim::Denial;
use snipewinch::limit;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::Instant;

use self::claims::ClaimGuard;
use self::claims::ClaimRequest;
use self::claims::Claims;
use self::driver::Begin;
use self::driver::Command;
use self::driver::Driver;
use super::limits::Limiter;
use super::router::Router;
use crate::daemon::Context;
use crate::shutdown::Phase;

mod active_call;
mod claims;
mod driver;
mod sink;

/// How long before the end of the grace period an entry that is shutting down
/// starts to refuse calls, so that none is accepted after the wait for the last
/// one has ended.
const GRACE_MARGIN: Duration = Duration::from_millis(20);

/// Starts the tasks and returns the callers' routes.
pub(crate) fn spawn(
    context: &Context,
    inbox: mpsc::Receiver<Event<Message>>,
    router: Router,
    limiter: Limiter,
) -> BoxEndpoint<'static> {
    let (commands, queue) = mpsc::unbounded_channel();
    let refusing = watch::Sender::new(false);
    let gateway = Gateway {
        context: context.clone(),
        commands: commands.clone(),
        claims: Claims::spawn(context),
        limiter,
        refusing: refusing.subscribe(),
    };
    tokio::spawn(refuse_after_grace(context.clone(), refusing));
    let driver = Driver::open(context, router, commands);
    tokio::spawn(driver.run(inbox, queue));
    let api = Api::open(
        Arc::new(gateway),
        context.configuration.clone(),
        &context.registry,
    );
    api.boxed()
}

/// Refuses calls shortly before the end of the grace period of a shutdown.
/// Until then calls are accepted, since the load balancer needs time to notice
/// that the entry is leaving.
async fn refuse_after_grace(context: Context, refusing: watch::Sender<bool>) {
    context.shutdown.reached(Phase::Leaving).await;
    let grace = context.config.leave_grace.saturating_sub(GRACE_MARGIN);
    tokio::time::sleep(grace).await;
    refusing.send_replace(true);
    // Keeps the sender until the last receiver is dropped.
    refusing.closed().await;
}

/// Admits callers' requests, claims their idempotency keys and passes them to
/// the driver.
struct Gateway {
    context: Context,
    commands: mpsc::UnboundedSender<Command>,
    claims: Claims,
    limiter: Limiter,
    /// Whether new calls are refused because of a shutdown.
    refusing: watch::Receiver<bool>,
}

impl caller::Gateway for Gateway {
    fn call(
        &self,
        call: Call,
    ) -> Pin<Box<dyn Future<Output = Result<Answer, Problem>> + Send + '_>> {
        Box::pin(self.run(call))
    }
}

impl Gateway {
    async fn run(&self, mut call: Call) -> Result<Answer, Problem> {
        if *self.refusing.borrow() {
            return Err(Problem::Failed(leaving()));
        }
        let work = self.context.shutdown.track_work();
        let parent = call.request.traceparent.as_deref();
        let mut span = self.context.tracer.start("entry", SpanKind::Server, parent);
        span.set_attribute("service", call.request.service.to_string());
        span.set_attribute("customer", call.customer.to_string());
        call.request.traceparent = span.traceparent();
        let deadline = Instant::now() + call.budget;
        let permit = self
            .limiter
            .admit(
                &call.request.service,
                &call.customer,
                CALL_COST,
                call.budget,
            )
            .await
            .map_err(|refusal| refusal_problem(&refusal))?;
        let claim_guard = match self.claim(&call).await {
            Ok(claim_guard) => claim_guard,
            Err(denial) => return denial_answer(denial),
        };
        let (reply, replied) = oneshot::channel();
        let begin = Begin {
            call,
            deadline,
            permit,
            claim_guard,
            reply,
            scope: sink::Scope { span, _work: work },
        };
        let begun = self.commands.send(Command::Begin(Box::new(begin)));
        match begun {
            Ok(()) => replied
                .await
                .unwrap_or(Err(Problem::Failed(outcome_unknown()))),
            Err(_) => Err(Problem::Failed(leaving())),
        }
    }

    async fn claim(&self, call: &Call) -> Result<Option<ClaimGuard>, Denial> {
        let Some(key) = &call.key else {
            return Ok(None);
        };
        let claim_request = ClaimRequest {
            key: format_smolstr!("{}/{}/{key}", call.request.service, call.customer),
            fingerprint: call.fingerprint,
            budget: call.budget,
        };
        self.claims.claim(claim_request).await.map(Some)
    }
}

/// The cost of a call in admission control; all calls cost the same.
const CALL_COST: u32 = 1;

fn refusal_problem(refusal: &limit::Refusal) -> Problem {
    Problem::Failed(Failure {
        kind: match refusal.reason {
            limit::Reason::Rate => Kind::Limited,
            limit::Reason::QueueFull | limit::Reason::Overload => Kind::Busy,
            limit::Reason::Deadline => Kind::Deadline,
        },
        executed: Executed::No,
        retry_ms: refusal.retry_after.as_millis() as u32,
    })
}

/// The answer to a call whose claim was denied.
fn denial_answer(denial: Denial) -> Result<Answer, Problem> {
    match denial {
        Denial::Answered(answer) => Ok(replay(answer)),
        Denial::NotKept => Err(Problem::AnswerNotKept),
        Denial::InProgress => Err(Problem::InProgress),
        Denial::Unknown => Err(Problem::Failed(outcome_unknown())),
        Denial::KeyReused => Err(Problem::KeyReused),
        Denial::Unavailable => Err(Problem::NoClaim),
    }
}

/// The answer that was recorded under the key.
fn replay(answer: claim::Answer) -> Answer {
    let mut body = answer.body;
    if answer.stream {
        body.push_str(STREAM_END);
    }
    Answer {
        head: Head {
            status: answer.status,
            headers: answer.headers,
            version: answer.version,
        },
        replayed: true,
        body: Body::Complete(body.into()),
    }
}

/// The event that ends a stream.
const STREAM_END: &str = "data: [DONE]\n\n";

fn leaving() -> Failure {
    Failure {
        kind: Kind::Leaving,
        executed: Executed::No,
        retry_ms: 0,
    }
}

/// The failure of a call that may or may not have run.
fn outcome_unknown() -> Failure {
    Failure {
        kind: Kind::OutcomeUnknown,
        executed: Executed::Unknown,
        retry_ms: 0,
    }
}
