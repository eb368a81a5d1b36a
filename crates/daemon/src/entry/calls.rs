//! Calls at the entry: from the callers' interface to the agents and back.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use caller::Answer;
use caller::Body;
use caller::Call;
use caller::Callers;
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

use self::claims::Claims;
use self::claims::Held;
use self::claims::Wanted;
use self::driver::Begin;
use self::driver::Command;
use self::driver::Driver;
use super::limits::Limiter;
use super::router::Router;
use crate::node::Node;
use crate::shutdown::Phase;

mod active_call;
mod claims;
mod driver;
mod sink;

/// A stopping entry refuses this much before the end of its grace, so that no
/// call slips in once the last one has been waited for.
const GRACE_MARGIN: Duration = Duration::from_millis(20);

/// Starts the part; answers the callers' routes.
pub(crate) fn spawn(
    node: &Node,
    inbox: mpsc::Receiver<Event<Message>>,
    router: Router,
    limiter: Limiter,
) -> BoxEndpoint<'static> {
    let (commands, queue) = mpsc::unbounded_channel();
    let refusing = watch::Sender::new(false);
    let gateway = Gateway {
        node: node.clone(),
        commands: commands.clone(),
        claims: Claims::spawn(node),
        limiter,
        refusing: refusing.subscribe(),
    };
    tokio::spawn(refuse_after_grace(node.clone(), refusing));
    let driver = Driver::open(node, router, commands);
    tokio::spawn(driver.run(inbox, queue));
    let callers = Callers::open(
        Arc::new(gateway),
        node.configuration.clone(),
        &node.registry,
    );
    callers.boxed()
}

/// A stopping entry takes calls until the balancer has noticed.
async fn refuse_after_grace(node: Node, refusing: watch::Sender<bool>) {
    node.shutdown.reached(Phase::Leaving).await;
    let grace = node.config.leave_grace.saturating_sub(GRACE_MARGIN);
    tokio::time::sleep(grace).await;
    refusing.send_replace(true);
    // Kept while anybody may look.
    refusing.closed().await;
}

/// Hands callers' requests to the driver.
struct Gateway {
    node: Node,
    commands: mpsc::UnboundedSender<Command>,
    claims: Claims,
    limiter: Limiter,
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
        let work = self.node.shutdown.work();
        let parent = call.request.traceparent.as_deref();
        let mut span = self.node.tracer.start("entry", SpanKind::Server, parent);
        span.set_attribute("service", call.request.service.to_string());
        span.set_attribute("customer", call.customer.to_string());
        call.request.traceparent = span.traceparent();
        let deadline = Instant::now() + call.budget;
        let permit = self
            .limiter
            .admit(&call.request.service, &call.customer, COST, call.budget)
            .await
            .map_err(|refusal| limited(&refusal))?;
        let held = match self.claim(&call).await {
            Ok(held) => held,
            Err(denial) => return denied(denial),
        };
        let (reply, replied) = oneshot::channel();
        let begin = Begin {
            call,
            deadline,
            permit,
            held,
            reply,
            hold: sink::Hold { span, _work: work },
        };
        let begun = self.commands.send(Command::Begin(Box::new(begin)));
        match begun {
            Ok(()) => replied.await.unwrap_or(Err(Problem::Failed(lost()))),
            Err(_) => Err(Problem::Failed(leaving())),
        }
    }

    async fn claim(&self, call: &Call) -> Result<Option<Held>, Denial> {
        let Some(key) = &call.key else {
            return Ok(None);
        };
        let wanted = Wanted {
            key: format_smolstr!("{}/{}/{key}", call.request.service, call.customer),
            fingerprint: call.fingerprint,
            budget: call.budget,
        };
        self.claims.claim(wanted).await.map(Some)
    }
}

/// What one call counts for against a customer's share.
const COST: u32 = 1;

fn limited(refusal: &limit::Refusal) -> Problem {
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

/// What a call that must not run is answered.
fn denied(denial: Denial) -> Result<Answer, Problem> {
    match denial {
        Denial::Answered(answer) => Ok(replay(answer)),
        Denial::NotKept => Err(Problem::AnswerNotKept),
        Denial::InProgress => Err(Problem::InProgress),
        Denial::Unknown => Err(Problem::Failed(lost())),
        Denial::KeyReused => Err(Problem::KeyReused),
        Denial::Unavailable => Err(Problem::NoClaim),
    }
}

/// An answer as it was recorded.
fn replay(answer: claim::Answer) -> Answer {
    let mut body = answer.body;
    if answer.stream {
        body.push_str(DONE);
    }
    Answer {
        head: Head {
            status: answer.status,
            headers: answer.headers,
            version: answer.version,
        },
        replayed: true,
        body: Body::Whole(body.into()),
    }
}

/// What closes a stream of events.
const DONE: &str = "data: [DONE]\n\n";

fn leaving() -> Failure {
    Failure {
        kind: Kind::Leaving,
        executed: Executed::No,
        retry_ms: 0,
    }
}

/// Nobody knows what became of the call.
fn lost() -> Failure {
    Failure {
        kind: Kind::OutcomeUnknown,
        executed: Executed::Unknown,
        retry_ms: 0,
    }
}
