//! Proof of the fleet key, both ways, before the first frame.
//!
//! Challenge and response with a keyed hash: the acceptor sends a nonce, the
//! dialer answers with its identity, a nonce of its own and a proof over both,
//! and the acceptor proves the key in turn. A process without the key learns
//! neither identities nor frames.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use snipewinch::host;
use snipewinch::host::Identity;
use subtle::ConstantTimeEq;
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::Role;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::activity::Activity;
use crate::activity::Watched;
use crate::codec;
use crate::error::Error;
use crate::error::SocketSnafu;
use crate::mac::Stream;
use crate::mac::TAG_BYTES;

/// The version of the protocol between processes.
const PROTOCOL: u32 = 2;
/// How long a handshake may take.
pub(crate) const LIMIT: Duration = Duration::from_secs(2);
/// The longest message before the key is proved.
const GREETING_MAX_BYTES: usize = 4 << 10;
/// The length of a nonce in bytes.
const NONCE_BYTES: usize = 32;
/// Sets the keys of messages apart from the proofs of the handshake.
const STREAM_LABEL: &str = "messages";
/// The context string of the key derivation.
const KEY_CONTEXT: &str = "snipewinch 2026-12-03 peer handshake";

/// The secret that all processes of one fleet share.
#[derive(Clone)]
pub struct FleetKey([u8; blake3::KEY_LEN]);

impl FleetKey {
    /// A key from the text in the settings.
    pub fn new(text: &str) -> FleetKey {
        FleetKey(blake3::derive_key(KEY_CONTEXT, text.as_bytes()))
    }

    /// The key of what one side of a link sends.
    fn stream(&self, side: Side, acceptor: &Nonce, dialer: &Nonce) -> Stream {
        let mut bytes = Vec::new();
        codec::encode(&(STREAM_LABEL, side, acceptor, dialer), &mut bytes);
        Stream::open(*blake3::keyed_hash(&self.0, &bytes).as_bytes())
    }

    /// The tag of a message that belongs to no stream.
    pub(crate) fn tag(&self, message: &[u8]) -> [u8; TAG_BYTES] {
        let mut tag = [0; TAG_BYTES];
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(message).finalize_xof().fill(&mut tag);
        tag
    }

    fn prove(&self, side: Side, theirs: &Nonce, ours: &Nonce, identity: &Identity) -> Proof {
        let mut bytes = Vec::new();
        codec::encode(&(side, theirs, ours, identity), &mut bytes);
        Proof(*blake3::keyed_hash(&self.0, &bytes).as_bytes())
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey(..)")
    }
}

#[derive(Clone, Copy, Serialize)]
enum Side {
    Accept,
    Dial,
}

#[derive(Clone, Copy, Deserialize, PartialEq, Serialize)]
struct Nonce([u8; NONCE_BYTES]);

#[derive(Clone, Copy, Deserialize, Serialize)]
struct Proof([u8; blake3::OUT_LEN]);

#[derive(Deserialize, Serialize)]
struct Challenge {
    protocol: u32,
    nonce: Nonce,
}

#[derive(Deserialize, Serialize)]
struct Hello {
    identity: Identity,
    nonce: Nonce,
    proof: Proof,
}

#[derive(Deserialize, Serialize)]
struct Welcome {
    identity: Identity,
    proof: Proof,
}

/// The socket of a link.
pub(crate) type Socket = WebSocketStream<Watched>;

/// A link whose both ends have proved the key.
pub(crate) struct Greeted {
    pub(crate) identity: Identity,
    pub(crate) socket: Socket,
    pub(crate) activity: Activity,
    /// What this process sends.
    pub(crate) sealing: Stream,
    /// What the peer sends.
    pub(crate) unsealing: Stream,
}

/// Proves the key as the one who accepted.
pub(crate) async fn accept(
    stream: TcpStream,
    key: &FleetKey,
    identity: &Identity,
) -> Result<Greeted, Error> {
    let (stream, activity) = Watched::new(stream);
    let limits = limits(GREETING_MAX_BYTES);
    let mut socket = tokio_tungstenite::accept_async_with_config(stream, Some(limits))
        .await
        .context(SocketSnafu)?;
    let ours = nonce();
    let challenge = Challenge {
        protocol: PROTOCOL,
        nonce: ours,
    };
    send(&mut socket, &challenge).await?;
    let hello: Hello = receive(&mut socket).await?;
    let expected = key.prove(Side::Dial, &ours, &hello.nonce, &hello.identity);
    if let Err(error) = check(&expected, &hello.proof) {
        // The dialer learns that it was refused rather than cut off.
        let _ = socket.close(None).await;
        return Err(error);
    }
    // Only a proven peer may send long messages. The dialer sends nothing
    // between its hello and our welcome, so no buffered byte is lost here.
    let limits = self::limits(codec::MESSAGE_MAX_BYTES);
    let stream = socket.into_inner();
    let mut socket = WebSocketStream::from_raw_socket(stream, Role::Server, Some(limits)).await;
    let welcome = Welcome {
        identity: identity.clone(),
        proof: key.prove(Side::Accept, &hello.nonce, &ours, identity),
    };
    send(&mut socket, &welcome).await?;
    Ok(Greeted {
        identity: hello.identity,
        socket,
        activity,
        sealing: key.stream(Side::Accept, &ours, &hello.nonce),
        unsealing: key.stream(Side::Dial, &ours, &hello.nonce),
    })
}

/// Proves the key as the one who dialed.
pub(crate) async fn dial(
    stream: TcpStream,
    address: SocketAddr,
    key: &FleetKey,
    identity: &Identity,
    expected_host: &host::Name,
) -> Result<Greeted, Error> {
    let (stream, activity) = Watched::new(stream);
    let limits = limits(codec::MESSAGE_MAX_BYTES);
    let url = format!("ws://{address}/");
    let (mut socket, _) = tokio_tungstenite::client_async_with_config(url, stream, Some(limits))
        .await
        .context(SocketSnafu)?;
    let challenge: Challenge = receive(&mut socket).await?;
    if challenge.protocol != PROTOCOL {
        return Err(Error::ProtocolMismatch {
            theirs: challenge.protocol,
            ours: PROTOCOL,
        });
    }
    let ours = nonce();
    let hello = Hello {
        identity: identity.clone(),
        nonce: ours,
        proof: key.prove(Side::Dial, &challenge.nonce, &ours, identity),
    };
    send(&mut socket, &hello).await?;
    let welcome: Welcome = receive(&mut socket).await?;
    let expected = key.prove(Side::Accept, &ours, &challenge.nonce, &welcome.identity);
    check(&expected, &welcome.proof)?;
    if welcome.identity.host != *expected_host {
        return Err(Error::UnexpectedHost {
            expected: expected_host.0.clone(),
            found: welcome.identity.host.0,
        });
    }
    Ok(Greeted {
        identity: welcome.identity,
        socket,
        activity,
        sealing: key.stream(Side::Dial, &challenge.nonce, &ours),
        unsealing: key.stream(Side::Accept, &challenge.nonce, &ours),
    })
}

fn limits(message_max_bytes: usize) -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(message_max_bytes))
        .max_frame_size(Some(message_max_bytes))
}

fn nonce() -> Nonce {
    Nonce(rand::rng().random())
}

fn check(expected: &Proof, given: &Proof) -> Result<(), Error> {
    match bool::from(expected.0.ct_eq(&given.0)) {
        true => Ok(()),
        false => Err(Error::KeyMismatch),
    }
}

async fn send<T: Serialize>(socket: &mut Socket, value: &T) -> Result<(), Error> {
    let mut bytes = Vec::new();
    codec::encode(value, &mut bytes);
    socket
        .send(Message::Binary(bytes.into()))
        .await
        .context(SocketSnafu)
}

async fn receive<T: DeserializeOwned>(socket: &mut Socket) -> Result<T, Error> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => codec::decode_one(&mut bytes.as_ref()),
        // A peer that refuses the proof closes instead of answering.
        Some(Ok(Message::Close(_))) | None => Err(Error::KeyMismatch),
        Some(Ok(_)) => Err(Error::Decode {
            detail: "not a binary message".into(),
        }),
        Some(Err(source)) => Err(Error::Socket {
            source: Box::new(source),
        }),
    }
}
