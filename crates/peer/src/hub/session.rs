//! A link from its handshake to its end.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::stream::SplitSink;
use futures_util::stream::SplitStream;
use snipewinch::host::Identity;
use snipewinch::wire::Class;
use snipewinch::wire::Frame;
use snipewinch::wire::Heartbeat;
use snipewinch::wire::Summary;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;

use super::Outbound;
use super::Shared;
use crate::Error;
use crate::activity::Activity;
use crate::codec;
use crate::handshake::Connection;
use crate::handshake::Socket;
use crate::link;
use crate::link::Direction;
use crate::link::Event;
use crate::link::Reason;
use crate::mac::Authenticator;

/// The most queued frames of a link, without chunk frames.
const URGENT_QUEUE_MAX: usize = 4096;
/// The most queued chunk frames of a link.
const BULK_QUEUE_MAX: usize = 16;
/// The message length at which no further queued frames are added.
const MESSAGE_TARGET_BYTES: usize = 64 << 10;
/// The timeout for sending the queue and the close message of a closing link.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs a link until it ends; returns why it ended.
pub(super) async fn run(
    shared: &Arc<Shared>,
    connection: Connection,
    direction: Direction,
) -> Reason {
    let peer = Arc::new(connection.identity);
    let (urgent, urgent_queue) = mpsc::channel(URGENT_QUEUE_MAX);
    let (bulk, bulk_queue) = mpsc::channel(BULK_QUEUE_MAX);
    let close = Arc::new(watch::Sender::new(None));
    let key = shared.links.lock().insert(Outbound {
        urgent,
        bulk,
        peer: peer.clone(),
        close: close.clone(),
        activity: connection.activity.clone(),
    });
    // Unregisters the link and notifies the modules, also if this task is
    // aborted.
    let mut registration = Registration {
        shared: shared.clone(),
        key,
        peer: peer.clone(),
        reason: Reason::ClosedLocally,
    };
    shared.metrics.links.inc();
    notify_up(shared, key, &peer, direction).await;
    let (sink, stream) = connection.socket.split();
    let peer_sequence = watch::Sender::new(0);
    let writer = Writer {
        shared,
        sink,
        signer: connection.signer,
        urgent: urgent_queue,
        bulk: bulk_queue,
        peer_sequence: peer_sequence.subscribe(),
        sequence: 0,
        last_summary: None,
    };
    let reader = Reader {
        shared,
        key,
        stream,
        verifier: connection.verifier,
        peer_sequence,
        activity: connection.activity,
    };
    let mut close_requested = close.subscribe();
    let reason = tokio::select! {
        reason = reader.run() => reason,
        reason = writer.run() => reason,
        _ = close_requested.wait_for(Option::is_some) => Reason::ClosedLocally,
    };
    registration.reason = reason;
    registration.finish().await;
    reason
}

/// Keeps a link registered in the hub; removes it and sends `Down` when
/// dropped.
struct Registration {
    shared: Arc<Shared>,
    key: link::Key,
    peer: Arc<Identity>,
    reason: Reason,
}

impl Registration {
    async fn finish(self) {
        self.shared.links.lock().remove(self.key);
        let senders = self.shared.senders.clone();
        let (key, peer, reason) = (self.key, self.peer.clone(), self.reason);
        drop(self);
        notify_down(&senders, key, peer, reason).await;
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.shared.metrics.links.dec();
        if self.reason == Reason::TimedOut {
            self.shared.metrics.timed_out.inc();
        }
        let removed = self.shared.links.lock().remove(self.key);
        if removed.is_none() {
            return;
        }
        // The task was aborted, so the modules are notified from another one.
        let senders = self.shared.senders.clone();
        let (key, peer, reason) = (self.key, self.peer.clone(), self.reason);
        tokio::spawn(async move { notify_down(&senders, key, peer, reason).await });
    }
}

/// Sends an event to every module.
macro_rules! send_to_all {
    ($senders:expr, $event:expr) => {
        // A module that this role does not run has dropped its receiver.
        let _ = $senders.calls.send($event).await;
        let _ = $senders.weights.send($event).await;
        let _ = $senders.configuration.send($event).await;
        let _ = $senders.membership.send($event).await;
        let _ = $senders.limits.send($event).await;
    };
}

async fn notify_up(shared: &Shared, link: link::Key, peer: &Arc<Identity>, direction: Direction) {
    let senders = &shared.senders;
    send_to_all!(
        senders,
        Event::Up {
            link,
            peer: peer.clone(),
            direction,
        }
    );
}

async fn notify_down(
    senders: &super::Senders,
    link: link::Key,
    peer: Arc<Identity>,
    reason: Reason,
) {
    send_to_all!(
        senders,
        Event::Down {
            link,
            peer: peer.clone(),
            reason,
        }
    );
}

struct Reader<'a> {
    shared: &'a Shared,
    key: link::Key,
    stream: SplitStream<Socket>,
    verifier: Authenticator,
    peer_sequence: watch::Sender<u64>,
    activity: Activity,
}

impl Reader<'_> {
    async fn run(mut self) -> Reason {
        loop {
            let message = match self.next_message().await {
                Ok(message) => message,
                Err(reason) => return reason,
            };
            match message {
                Message::Binary(bytes) => match self.decode(&bytes) {
                    Ok(frames) => self.deliver(frames, bytes.len()).await,
                    Err(error) => {
                        let kind = error.kind();
                        self.shared.metrics.refused.with_label_values(&[kind]).inc();
                        log::warn!("E1103 closed a link after an invalid message: {error}");
                        return Reason::Malformed;
                    }
                },
                Message::Close(_) => return Reason::Closed,
                Message::Text(_) => return Reason::Malformed,
                Message::Frame(_) | Message::Ping(_) | Message::Pong(_) => {}
            }
        }
    }

    /// Returns the next message. Any received byte counts as activity, so that
    /// a long message on a slow link does not time out.
    async fn next_message(&mut self) -> Result<Message, Reason> {
        let mut wait = self.shared.idle_timeout;
        let mut next = self.stream.next();
        let started = Instant::now();
        loop {
            match timeout(wait, &mut next).await {
                Ok(Some(Ok(message))) => return Ok(message),
                Ok(Some(Err(error))) => {
                    log::debug!("E1104 link failed: {error}");
                    return Err(Reason::Closed);
                }
                Ok(None) => return Err(Reason::Closed),
                Err(_) => {}
            }
            let idle = self.activity.idle_time().min(started.elapsed());
            if idle >= self.shared.idle_timeout {
                return Err(Reason::TimedOut);
            }
            wait = self.shared.idle_timeout - idle;
        }
    }

    /// Verifies the tag of a message and decodes its frames.
    fn decode(&mut self, tagged: &Bytes) -> Result<Vec<Frame>, Error> {
        codec::decode(&self.verifier.verify(tagged)?)
    }

    async fn deliver(&self, frames: Vec<Frame>, bytes: usize) {
        let mut batch = Batch::default();
        for frame in frames {
            match frame {
                Frame::Heartbeat(heartbeat) => self.handle_heartbeat(heartbeat).await,
                Frame::Call(message) => batch.calls.push(message),
                Frame::Weights(message) => batch.weights.push(message),
                Frame::Configuration(message) => batch.configuration.push(message),
                Frame::Membership(message) => batch.membership.push(message),
                Frame::Limit(message) => batch.limits.push(message),
            }
        }
        let is_bulk = batch.weights.iter().any(|message| message.is_bulk());
        self.shared.metrics.count_received(is_bulk, bytes);
        let senders = &self.shared.senders;
        forward(&senders.calls, self.key, batch.calls).await;
        forward(&senders.weights, self.key, batch.weights).await;
        forward(&senders.configuration, self.key, batch.configuration).await;
        forward(&senders.membership, self.key, batch.membership).await;
        forward(&senders.limits, self.key, batch.limits).await;
    }

    async fn handle_heartbeat(&self, heartbeat: Heartbeat) {
        self.peer_sequence.send_replace(heartbeat.sequence);
        let Some(summary) = heartbeat.summary else {
            return;
        };
        let summary = Arc::new(summary);
        let link = self.key;
        let senders = &self.shared.senders;
        send_to_all!(
            senders,
            Event::Summary {
                link,
                summary: summary.clone(),
            }
        );
    }
}

#[derive(Default)]
struct Batch {
    calls: Vec<snipewinch::call::Message>,
    weights: Vec<snipewinch::weights::Message>,
    configuration: Vec<snipewinch::configuration::Message>,
    membership: Vec<snipewinch::membership::Message>,
    limits: Vec<snipewinch::limit::Message>,
}

async fn forward<M>(sender: &mpsc::Sender<Event<M>>, link: link::Key, messages: Vec<M>) {
    if !messages.is_empty() {
        // A module that this role does not run has dropped its receiver.
        let _ = sender.send(Event::Messages { link, messages }).await;
    }
}

struct Writer<'a> {
    shared: &'a Shared,
    sink: SplitSink<Socket, Message>,
    signer: Authenticator,
    urgent: mpsc::Receiver<Frame>,
    bulk: mpsc::Receiver<Frame>,
    peer_sequence: watch::Receiver<u64>,
    sequence: u64,
    last_summary: Option<Summary>,
}

impl Writer<'_> {
    async fn run(mut self) -> Reason {
        let mut heartbeats = tokio::time::interval(self.shared.heartbeat_interval);
        heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut summary = self.shared.summary.subscribe();
        let mut closing = self.shared.closing.subscribe();
        if *closing.borrow_and_update() {
            return Reason::Closed;
        }
        loop {
            let frame = tokio::select! {
                biased;
                _ = heartbeats.tick() => self.heartbeat(),
                Ok(()) = summary.changed() => self.heartbeat(),
                Some(frame) = self.urgent.recv() => frame,
                Some(frame) = self.bulk.recv() => frame,
                _ = closing.changed() => {
                    self.close().await;
                    return Reason::Closed;
                }
            };
            if self.write(frame).await.is_err() {
                return Reason::Closed;
            }
        }
    }

    fn heartbeat(&mut self) -> Frame {
        self.sequence += 1;
        let summary = self.shared.summary();
        let changed = self.last_summary.as_ref() != Some(&summary);
        if changed {
            self.last_summary = Some(summary.clone());
        }
        Frame::Heartbeat(Heartbeat {
            sequence: self.sequence,
            echo: *self.peer_sequence.borrow(),
            summary: changed.then_some(summary),
        })
    }

    /// Sends a message with `first` and, unless it is a chunk, the urgent
    /// frames that are already queued.
    async fn write(&mut self, first: Frame) -> Result<(), ()> {
        let mut message = Vec::new();
        let mut frames = 1;
        self.append(&first, &mut message);
        while first.class() != Class::Chunk
            && message.len() < MESSAGE_TARGET_BYTES
            && frames < codec::MESSAGE_MAX_FRAMES
        {
            let Ok(frame) = self.urgent.try_recv() else {
                break;
            };
            self.append(&frame, &mut message);
            frames += 1;
        }
        self.signer.sign(&mut message);
        let message = Message::Binary(Bytes::from(message));
        self.sink.send(message).await.map_err(|_| ())
    }

    fn append(&self, frame: &Frame, message: &mut Vec<u8>) {
        let before = message.len();
        codec::encode(frame, message);
        let bytes = message.len() - before;
        self.shared.metrics.count_sent(frame.class(), bytes);
    }

    /// Sends the queued urgent frames and a WebSocket close message.
    async fn close(&mut self) {
        let closing = async {
            while let Ok(frame) = self.urgent.try_recv() {
                if self.write(frame).await.is_err() {
                    return;
                }
            }
            let _ = self.sink.send(Message::Close(None)).await;
        };
        let _ = timeout(CLOSE_TIMEOUT, closing).await;
    }
}
