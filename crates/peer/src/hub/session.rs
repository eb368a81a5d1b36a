//! One link while it is up.

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

/// Frames that wait for a link, but for chunks.
const URGENT_MAX: usize = 4096;
/// Chunk frames that wait for a link.
const BULK_MAX: usize = 16;
/// A message is sent once it is this long, even if more frames wait.
const MESSAGE_TARGET_BYTES: usize = 64 << 10;
/// How long a closing link may take to say so.
const CLOSE_LIMIT: Duration = Duration::from_millis(500);

/// Runs a link until it ends; answers why it ended.
pub(super) async fn run(
    shared: &Arc<Shared>,
    connection: Connection,
    direction: Direction,
) -> Reason {
    let peer = Arc::new(connection.identity);
    let (urgent, urgent_queue) = mpsc::channel(URGENT_MAX);
    let (bulk, bulk_queue) = mpsc::channel(BULK_MAX);
    let end = Arc::new(watch::Sender::new(None));
    let key = shared.links.lock().insert(Outbound {
        urgent,
        bulk,
        peer: peer.clone(),
        end: end.clone(),
        activity: connection.activity.clone(),
    });
    // Removes the link and tells the parts, also if this task is aborted.
    let mut up = Up {
        shared: shared.clone(),
        key,
        peer: peer.clone(),
        reason: Reason::ClosedLocally,
    };
    shared.metrics.links.inc();
    announce(shared, key, &peer, direction).await;
    let (sink, stream) = connection.socket.split();
    let heard = watch::Sender::new(0);
    let writer = Writer {
        shared,
        sink,
        signer: connection.signer,
        urgent: urgent_queue,
        bulk: bulk_queue,
        heard: heard.subscribe(),
        sequence: 0,
        reported: None,
    };
    let reader = Reader {
        shared,
        key,
        stream,
        verifier: connection.verifier,
        heard,
        activity: connection.activity,
    };
    let mut ended = end.subscribe();
    let reason = tokio::select! {
        reason = reader.run() => reason,
        reason = writer.run() => reason,
        _ = ended.wait_for(Option::is_some) => Reason::ClosedLocally,
    };
    up.reason = reason;
    up.finish().await;
    reason
}

struct Up {
    shared: Arc<Shared>,
    key: link::Key,
    peer: Arc<Identity>,
    reason: Reason,
}

impl Up {
    async fn finish(self) {
        self.shared.links.lock().remove(self.key);
        let parts = self.shared.parts.clone();
        let (key, peer, reason) = (self.key, self.peer.clone(), self.reason);
        drop(self);
        tell_down(&parts, key, peer, reason).await;
    }
}

impl Drop for Up {
    fn drop(&mut self) {
        self.shared.metrics.links.dec();
        if self.reason == Reason::TimedOut {
            self.shared.metrics.timed_out.inc();
        }
        let removed = self.shared.links.lock().remove(self.key);
        if removed.is_none() {
            return;
        }
        // The task was aborted in mid-flight: tell the parts from another one.
        let parts = self.shared.parts.clone();
        let (key, peer, reason) = (self.key, self.peer.clone(), self.reason);
        tokio::spawn(async move { tell_down(&parts, key, peer, reason).await });
    }
}

/// Calls a macro body once for each part.
macro_rules! each_part {
    ($parts:expr, $event:expr) => {
        // A part that the role does not run has dropped its inbox.
        let _ = $parts.calls.send($event).await;
        let _ = $parts.weights.send($event).await;
        let _ = $parts.configuration.send($event).await;
        let _ = $parts.membership.send($event).await;
        let _ = $parts.limits.send($event).await;
    };
}

async fn announce(shared: &Shared, link: link::Key, peer: &Arc<Identity>, direction: Direction) {
    let parts = &shared.parts;
    each_part!(
        parts,
        Event::Up {
            link,
            peer: peer.clone(),
            direction,
        }
    );
}

async fn tell_down(parts: &super::Parts, link: link::Key, peer: Arc<Identity>, reason: Reason) {
    each_part!(
        parts,
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
    heard: watch::Sender<u64>,
    activity: Activity,
}

impl Reader<'_> {
    async fn run(mut self) -> Reason {
        loop {
            let message = match self.next().await {
                Ok(message) => message,
                Err(reason) => return reason,
            };
            match message {
                Message::Binary(bytes) => match self.open(&bytes) {
                    Ok(frames) => self.deliver(frames, bytes.len()).await,
                    Err(error) => {
                        let kind = error.kind();
                        self.shared.metrics.refused.with_label_values(&[kind]).inc();
                        log::warn!("E1103 link ended: {error}");
                        return Reason::Malformed;
                    }
                },
                Message::Close(_) => return Reason::Closed,
                Message::Text(_) => return Reason::Malformed,
                Message::Frame(_) | Message::Ping(_) | Message::Pong(_) => {}
            }
        }
    }

    /// The next message. A message that is still arriving, however slowly,
    /// keeps the link alive.
    async fn next(&mut self) -> Result<Message, Reason> {
        let mut wait = self.shared.idle_timeout;
        let mut next = self.stream.next();
        let started = Instant::now();
        loop {
            match timeout(wait, &mut next).await {
                Ok(Some(Ok(message))) => return Ok(message),
                Ok(Some(Err(error))) => {
                    log::debug!("E1104 link broke: {error}");
                    return Err(Reason::Closed);
                }
                Ok(None) => return Err(Reason::Closed),
                Err(_) => {}
            }
            let quiet = self.activity.idle_time().min(started.elapsed());
            if quiet >= self.shared.idle_timeout {
                return Err(Reason::TimedOut);
            }
            wait = self.shared.idle_timeout - quiet;
        }
    }

    /// The frames of a message that is as it was sent.
    fn open(&mut self, sealed: &Bytes) -> Result<Vec<Frame>, Error> {
        codec::decode(&self.verifier.verify(sealed)?)
    }

    async fn deliver(&self, frames: Vec<Frame>, bytes: usize) {
        let mut batch = Batch::default();
        for frame in frames {
            match frame {
                Frame::Heartbeat(heartbeat) => self.hear(heartbeat).await,
                Frame::Call(message) => batch.calls.push(message),
                Frame::Weights(message) => batch.weights.push(message),
                Frame::Configuration(message) => batch.configuration.push(message),
                Frame::Membership(message) => batch.membership.push(message),
                Frame::Limit(message) => batch.limits.push(message),
            }
        }
        let bulk = batch.weights.iter().any(|message| message.is_bulk());
        self.shared.metrics.count_received(bulk, bytes);
        let parts = &self.shared.parts;
        forward(&parts.calls, self.key, batch.calls).await;
        forward(&parts.weights, self.key, batch.weights).await;
        forward(&parts.configuration, self.key, batch.configuration).await;
        forward(&parts.membership, self.key, batch.membership).await;
        forward(&parts.limits, self.key, batch.limits).await;
    }

    async fn hear(&self, heartbeat: Heartbeat) {
        self.heard.send_replace(heartbeat.sequence);
        let Some(summary) = heartbeat.summary else {
            return;
        };
        let summary = Arc::new(summary);
        let link = self.key;
        let parts = &self.shared.parts;
        each_part!(
            parts,
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

async fn forward<M>(part: &mpsc::Sender<Event<M>>, link: link::Key, messages: Vec<M>) {
    if !messages.is_empty() {
        // A part that the role does not run has dropped its inbox.
        let _ = part.send(Event::Messages { link, messages }).await;
    }
}

struct Writer<'a> {
    shared: &'a Shared,
    sink: SplitSink<Socket, Message>,
    signer: Authenticator,
    urgent: mpsc::Receiver<Frame>,
    bulk: mpsc::Receiver<Frame>,
    heard: watch::Receiver<u64>,
    sequence: u64,
    reported: Option<Summary>,
}

impl Writer<'_> {
    async fn run(mut self) -> Reason {
        let mut ticks = tokio::time::interval(self.shared.heartbeat_interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut summary = self.shared.summary.subscribe();
        let mut closing = self.shared.closing.subscribe();
        if *closing.borrow_and_update() {
            return Reason::Closed;
        }
        loop {
            let frame = tokio::select! {
                biased;
                _ = ticks.tick() => self.heartbeat(),
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
        let changed = self.reported.as_ref() != Some(&summary);
        if changed {
            self.reported = Some(summary.clone());
        }
        Frame::Heartbeat(Heartbeat {
            sequence: self.sequence,
            echo: *self.heard.borrow(),
            summary: changed.then_some(summary),
        })
    }

    /// Sends one frame together with the urgent ones that already wait.
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

    /// Sends what is queued, then says goodbye.
    async fn close(&mut self) {
        let closing = async {
            while let Ok(frame) = self.urgent.try_recv() {
                if self.write(frame).await.is_err() {
                    return;
                }
            }
            let _ = self.sink.send(Message::Close(None)).await;
        };
        let _ = timeout(CLOSE_LIMIT, closing).await;
    }
}
