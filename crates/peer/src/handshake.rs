//! Mutual authentication with the fleet key before the first frame.
//!
//! A challenge-response protocol with a keyed hash: the acceptor sends a nonce;
//! the dialer replies with its identity, its own nonce and a proof over both
//! nonces and the identity; then the acceptor proves the key in the same way.
//! An acceptor reveals its identity, and either side sends frames, only to a
//! peer that has proved the key.

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
use crate::activity::TrackedStream;
use crate::codec;
use crate::error::Error;
use crate::error::SocketSnafu;
use crate::mac::Authenticator;
use crate::mac::TAG_BYTES;

/// The version of the protocol between processes.
const PROTOCOL_VERSION: u32 = 2;
/// The time after which a handshake is abandoned.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(2);
/// The longest message that is accepted from a dialer before it has proved the
/// key.
const HANDSHAKE_MESSAGE_MAX_BYTES: usize = 4 << 10;
const NONCE_BYTES: usize = 32;
/// Domain separation between message keys and handshake proofs.
const MESSAGE_LABEL: &str = "messages";
/// The context string of the BLAKE3 key derivation.
const KEY_CONTEXT: &str = "snipewinch 2026-12-03 peer handshake";

/// The secret key that all processes of a fleet share.
#[derive(Clone)]
pub struct FleetKey([u8; blake3::KEY_LEN]);

impl FleetKey {
    /// Derives the key from the secret text in the settings.
    pub fn new(text: &str) -> FleetKey {
        FleetKey(blake3::derive_key(KEY_CONTEXT, text.as_bytes()))
    }

    /// Returns the authenticator of the messages that one side of a link sends.
    fn authenticator(&self, side: Side, acceptor: &Nonce, dialer: &Nonce) -> Authenticator {
        let mut bytes = Vec::new();
        codec::encode(&(MESSAGE_LABEL, side, acceptor, dialer), &mut bytes);
        Authenticator::new(*blake3::keyed_hash(&self.0, &bytes).as_bytes())
    }

    /// Returns the tag of a message that is sent outside of links.
    pub(crate) fn tag(&self, message: &[u8]) -> [u8; TAG_BYTES] {
        let mut tag = [0; TAG_BYTES];
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(message).finalize_xof().fill(&mut tag);
        tag
    }

    /// Returns the proof of the key that one side sends with its identity.
    fn proof(&self, side: Side, verifier: &Nonce, prover: &Nonce, identity: &Identity) -> Proof {
        let mut bytes = Vec::new();
        codec::encode(&(side, verifier, prover, identity), &mut bytes);
        Proof(*blake3::keyed_hash(&self.0, &bytes).as_bytes())
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey(..)")
    }
}

/// The side of a link; separates the proofs and keys of the two directions.
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

/// The WebSocket of a link.
pub(crate) type Socket = WebSocketStream<TrackedStream>;

/// A connection on which both sides have proved the key.
pub(crate) struct Connection {
    pub(crate) identity: Identity,
    pub(crate) socket: Socket,
    pub(crate) activity: Activity,
    /// Signs the messages to the peer.
    pub(crate) signer: Authenticator,
    /// Verifies the messages from the peer.
    pub(crate) verifier: Authenticator,
}

/// Performs the handshake as the acceptor.
pub(crate) async fn accept(
    stream: TcpStream,
    key: &FleetKey,
    identity: &Identity,
) -> Result<Connection, Error> {
    let (stream, activity) = TrackedStream::new(stream);
    let config = websocket_config(HANDSHAKE_MESSAGE_MAX_BYTES);
    let mut socket = tokio_tungstenite::accept_async_with_config(stream, Some(config))
        .await
        .context(SocketSnafu)?;
    let own_nonce = random_nonce();
    let challenge = Challenge {
        protocol: PROTOCOL_VERSION,
        nonce: own_nonce,
    };
    send(&mut socket, &challenge).await?;
    let hello: Hello = receive(&mut socket).await?;
    let expected = key.proof(Side::Dial, &own_nonce, &hello.nonce, &hello.identity);
    if let Err(error) = verify(&expected, &hello.proof) {
        // The close message shows the dialer that it was refused; a dropped
        // connection would look like a network error.
        let _ = socket.close(None).await;
        return Err(error);
    }
    // Only an authenticated peer may send long messages. The dialer sends
    // nothing between its hello and our welcome, so `into_inner` discards no
    // buffered bytes.
    let config = self::websocket_config(codec::MESSAGE_MAX_BYTES);
    let stream = socket.into_inner();
    let mut socket = WebSocketStream::from_raw_socket(stream, Role::Server, Some(config)).await;
    let welcome = Welcome {
        identity: identity.clone(),
        proof: key.proof(Side::Accept, &hello.nonce, &own_nonce, identity),
    };
    send(&mut socket, &welcome).await?;
    Ok(Connection {
        identity: hello.identity,
        socket,
        activity,
        signer: key.authenticator(Side::Accept, &own_nonce, &hello.nonce),
        verifier: key.authenticator(Side::Dial, &own_nonce, &hello.nonce),
    })
}

/// Performs the handshake as the dialer and checks that `expected_host`
/// answered.
pub(crate) async fn dial(
    stream: TcpStream,
    address: SocketAddr,
    key: &FleetKey,
    identity: &Identity,
    expected_host: &host::Name,
) -> Result<Connection, Error> {
    let (stream, activity) = TrackedStream::new(stream);
    let config = websocket_config(codec::MESSAGE_MAX_BYTES);
    let url = format!("ws://{address}/");
    let (mut socket, _) = tokio_tungstenite::client_async_with_config(url, stream, Some(config))
        .await
        .context(SocketSnafu)?;
    let challenge: Challenge = receive(&mut socket).await?;
    if challenge.protocol != PROTOCOL_VERSION {
        return Err(Error::ProtocolMismatch {
            peer_version: challenge.protocol,
            own_version: PROTOCOL_VERSION,
        });
    }
    let own_nonce = random_nonce();
    let hello = Hello {
        identity: identity.clone(),
        nonce: own_nonce,
        proof: key.proof(Side::Dial, &challenge.nonce, &own_nonce, identity),
    };
    send(&mut socket, &hello).await?;
    let welcome: Welcome = receive(&mut socket).await?;
    let expected = key.proof(
        Side::Accept,
        &own_nonce,
        &challenge.nonce,
        &welcome.identity,
    );
    verify(&expected, &welcome.proof)?;
    if welcome.identity.host != *expected_host {
        return Err(Error::UnexpectedHost {
            expected: expected_host.0.clone(),
            found: welcome.identity.host.0,
        });
    }
    Ok(Connection {
        identity: welcome.identity,
        socket,
        activity,
        signer: key.authenticator(Side::Dial, &challenge.nonce, &own_nonce),
        verifier: key.authenticator(Side::Accept, &challenge.nonce, &own_nonce),
    })
}

fn websocket_config(message_max_bytes: usize) -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(message_max_bytes))
        .max_frame_size(Some(message_max_bytes))
}

fn random_nonce() -> Nonce {
    Nonce(rand::rng().random())
}

/// Compares proofs in constant time.
fn verify(expected: &Proof, received: &Proof) -> Result<(), Error> {
    match bool::from(expected.0.ct_eq(&received.0)) {
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
        Some(Ok(Message::Binary(bytes))) => codec::decode_value(&mut bytes.as_ref()),
        // A peer that rejects the proof closes the link without a reply.
        Some(Ok(Message::Close(_))) | None => Err(Error::KeyMismatch),
        Some(Ok(_)) => Err(Error::Decode {
            detail: "not a binary message".into(),
        }),
        Some(Err(source)) => Err(Error::Socket {
            source: Box::new(source),
        }),
    }
}
