//! Runs one attempt of a call on the backend server.

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

/// What the driver tells a running attempt to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Command {
    Run,
    Pause,
    Stop,
}

/// Pauses, resumes or stops a running attempt.
#[derive(Debug)]
pub(super) struct Control {
    command: watch::Sender<Command>,
}

impl Control {
    pub(super) fn stop(&self) {
        self.command.send_replace(Command::Stop);
    }

    pub(super) fn pause(&self) {
        self.set_unless_stopped(Command::Pause);
    }

    pub(super) fn resume(&self) {
        self.set_unless_stopped(Command::Run);
    }

    /// Sets the command. A stop is final: later commands are ignored.
    fn set_unless_stopped(&self, command: Command) {
        self.command.send_if_modified(|current| {
            let changes = *current != Command::Stop && *current != command;
            if changes {
                *current = command;
            }
            changes
        });
    }
}

/// The task that runs one attempt.
pub(super) struct Runner {
    pub(super) tracer: Tracer,
    pub(super) server: Server,
    pub(super) answers: mpsc::Sender<Event>,
    pub(super) start: Box<Start>,
}

/// Why an attempt ended without a complete answer.
enum Incomplete {
    /// It was stopped; says whether the call was executed.
    Stopped(Executed),
    /// The backend server failed.
    Failed(Error),
}

impl Runner {
    pub(super) fn spawn(self) -> Control {
        let command = watch::Sender::new(Command::Run);
        let commands = command.subscribe();
        tokio::spawn(self.run(commands));
        Control { command }
    }

    async fn run(mut self, mut commands: watch::Receiver<Command>) {
        let attempt = self.start.attempt;
        let request = &self.start.request;
        let parent = request.traceparent.as_deref();
        let mut agent_span = self.tracer.start("agent", SpanKind::Server, parent);
        agent_span.set_attribute("service", request.service.to_string());
        let parent = agent_span.traceparent();
        let mut backend_span = self
            .tracer
            .start("backend", SpanKind::Client, parent.as_deref());
        if let Some(traceparent) = backend_span.traceparent() {
            let mut request = snipewinch::call::Request::clone(&self.start.request);
            request.traceparent = Some(traceparent);
            self.start.request = request.into();
        }
        let event = match self.answer(&mut commands).await {
            Ok(()) => Event::End(attempt),
            Err(Incomplete::Stopped(executed)) => {
                backend_span.set_error("cancelled");
                self.cancel().await;
                Event::Failed(attempt, Fault::Cancelled, executed)
            }
            Err(Incomplete::Failed(error)) => {
                log::warn!("E2101 attempt {attempt} failed: {error}");
                backend_span.set_error(&error.to_string());
                Event::Failed(attempt, error.fault(), error.executed())
            }
        };
        // The receiver is gone only when the process is exiting.
        let _ = self.answers.send(event).await;
    }

    async fn answer(&self, commands: &mut watch::Receiver<Command>) -> Result<(), Incomplete> {
        let attempt = self.start.attempt;
        let mut reply = tokio::select! {
            reply = self.server.call(&self.start) => reply.map_err(Incomplete::Failed)?,
            () = stopped(commands) => return Err(Incomplete::Stopped(Executed::Unknown)),
        };
        let head = Event::Head(attempt, reply.head.clone());
        let _ = self.answers.send(head).await;
        while let Some(data) = self.next(&mut reply, commands).await? {
            let _ = self.answers.send(Event::Data(attempt, data)).await;
        }
        Ok(())
    }

    async fn next(
        &self,
        reply: &mut Reply,
        commands: &mut watch::Receiver<Command>,
    ) -> Result<Option<snipewinch::call::Data>, Incomplete> {
        // While paused, the answer is not read, so that flow control slows the
        // backend server down.
        let command = commands
            .wait_for(|command| *command != Command::Pause)
            .await;
        if command.map_or(Command::Stop, |command| *command) == Command::Stop {
            return Err(Incomplete::Stopped(Executed::Yes));
        }
        tokio::select! {
            next = reply.next() => next.map_err(Incomplete::Failed),
            () = stopped(commands) => Err(Incomplete::Stopped(Executed::Yes)),
        }
    }

    /// Cancels the request at an engine. A backend server that is no engine
    /// notices that the connection is closed.
    async fn cancel(&self) {
        if self.start.request.model.is_none() {
            return;
        }
        let engine = Engine::open(self.server.clone());
        let request_id = backend::call::request_id(&self.start);
        if let Err(error) = engine.cancel(&request_id).await {
            log::debug!(
                "E2102 the request of attempt {} could not be cancelled: {error}",
                self.start.attempt
            );
        }
    }
}

async fn stopped(commands: &mut watch::Receiver<Command>) {
    // If the driver has ended, no task receives the answer: the attempt stops.
    let _ = commands.wait_for(|command| *command == Command::Stop).await;
}
