//! Runs one attempt on the backend server.

use backend::Engine;
use backend::Error;
use backend::Reply;
use backend::Server;
use opentelemetry::trace::SpanKind;
use snipewinch::call::Executed;
use snipewinch::call::Fault;
use snipewinch::call::Start;
use snipewinch::call::agent::Event;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::trace::Tracer;

/// What a run is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Order {
    Go,
    Pause,
    Stop,
}

/// Steers a run.
#[derive(Debug)]
pub(super) struct Control {
    order: watch::Sender<Order>,
}

impl Control {
    pub(super) fn stop(&self) {
        self.order.send_replace(Order::Stop);
    }

    pub(super) fn pause(&self) {
        self.change(Order::Pause);
    }

    pub(super) fn resume(&self) {
        self.change(Order::Go);
    }

    /// A stop is final.
    fn change(&self, order: Order) {
        self.order.send_if_modified(|current| {
            let changes = *current != Order::Stop && *current != order;
            if changes {
                *current = order;
            }
            changes
        });
    }
}

/// One attempt.
pub(super) struct Runner {
    pub(super) tracer: Tracer,
    pub(super) server: Server,
    pub(super) answers: mpsc::Sender<Event>,
    pub(super) start: Box<Start>,
}

/// How a run ended short of a whole answer.
enum Broken {
    Stopped(Executed),
    Failed(Error),
}

impl Runner {
    pub(super) fn spawn(self) -> Control {
        let order = watch::Sender::new(Order::Go);
        let orders = order.subscribe();
        tokio::spawn(self.run(orders));
        Control { order }
    }

    async fn run(mut self, mut orders: watch::Receiver<Order>) {
        let attempt = self.start.attempt;
        let request = &self.start.request;
        let parent = request.traceparent.as_deref();
        let mut hop = self.tracer.start("agent", SpanKind::Server, parent);
        hop.set_attribute("service", request.service.to_string());
        let parent = hop.traceparent();
        let mut span = self
            .tracer
            .start("backend", SpanKind::Client, parent.as_deref());
        if let Some(traceparent) = span.traceparent() {
            let mut request = snipewinch::call::Request::clone(&self.start.request);
            request.traceparent = Some(traceparent);
            self.start.request = request.into();
        }
        let event = match self.answer(&mut orders).await {
            Ok(()) => Event::End(attempt),
            Err(Broken::Stopped(run)) => {
                span.set_error("cancelled");
                self.cancel().await;
                Event::Failed(attempt, Fault::Cancelled, run)
            }
            Err(Broken::Failed(error)) => {
                log::warn!("E2101 {attempt}: {error}");
                span.set_error(&error.to_string());
                Event::Failed(attempt, error.fault(), error.run())
            }
        };
        // Without an agent the process ends.
        let _ = self.answers.send(event).await;
    }

    async fn answer(&self, orders: &mut watch::Receiver<Order>) -> Result<(), Broken> {
        let attempt = self.start.attempt;
        let mut reply = tokio::select! {
            reply = self.server.call(&self.start) => reply.map_err(Broken::Failed)?,
            () = stopped(orders) => return Err(Broken::Stopped(Executed::Unknown)),
        };
        let head = Event::Head(attempt, reply.head.clone());
        let _ = self.answers.send(head).await;
        while let Some(data) = self.next(&mut reply, orders).await? {
            let _ = self.answers.send(Event::Data(attempt, data)).await;
        }
        Ok(())
    }

    async fn next(
        &self,
        reply: &mut Reply,
        orders: &mut watch::Receiver<Order>,
    ) -> Result<Option<snipewinch::call::Data>, Broken> {
        // Not reading holds the backend server back.
        let order = orders.wait_for(|order| *order != Order::Pause).await;
        if order.map_or(Order::Stop, |order| *order) == Order::Stop {
            return Err(Broken::Stopped(Executed::Yes));
        }
        tokio::select! {
            next = reply.next() => next.map_err(Broken::Failed),
            () = stopped(orders) => Err(Broken::Stopped(Executed::Yes)),
        }
    }

    /// Tells an engine to stop; a plain service notices the closed connection.
    async fn cancel(&self) {
        if self.start.request.model.is_none() {
            return;
        }
        let engine = Engine::open(self.server.clone());
        let request_id = backend::call::request_id(&self.start);
        if let Err(error) = engine.cancel(&request_id).await {
            log::debug!("E2102 {}: {error}", self.start.attempt);
        }
    }
}

async fn stopped(orders: &mut watch::Receiver<Order>) {
    // Without a driver nobody wants the answer.
    let _ = orders.wait_for(|order| *order == Order::Stop).await;
}
