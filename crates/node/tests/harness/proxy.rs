//! A relay before a backend server whose host may be cut off or freeze.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::io;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::time::timeout;

/// The most bytes that are relayed at once.
const BLOCK_BYTES: usize = 16 << 10;
/// How many connections may wait to be accepted.
const BACKLOG: u32 = 16;
/// The longest time in which a connection that may wait opens.
const OPEN_TIME_MAX: Duration = Duration::from_millis(50);

/// The state of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Link {
    /// It is reached.
    Up,
    /// It is cut off. What was sent to it arrives later, unless the sender
    /// resets the connection.
    Cut,
    /// It has received what was sent and does nothing with it yet.
    Frozen,
    /// It takes no new connections: they open a second after it does.
    Full,
}

/// A relay to one backend server.
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    link: watch::Sender<Link>,
}

impl Proxy {
    pub(crate) async fn spawn(ip: IpAddr, target: SocketAddr) -> Proxy {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind((ip, 0).into()).unwrap();
        let listener = socket.listen(BACKLOG).unwrap();
        let address = listener.local_addr().unwrap();
        let link = watch::Sender::new(Link::Up);
        tokio::spawn(accept(listener, target, link.subscribe()));
        Proxy { address, link }
    }

    /// Lets connections wait until no further one opens.
    pub(crate) async fn fill(&self) {
        self.set_link(Link::Full);
        tokio::task::yield_now().await;
        while let Ok(opened) = timeout(OPEN_TIME_MAX, TcpStream::connect(self.address)).await {
            drop(opened.unwrap());
        }
    }

    pub(crate) fn set_link(&self, link: Link) {
        self.link.send_replace(link);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mut link: watch::Receiver<Link>) {
    loop {
        let _ = link.wait_for(|link| *link != Link::Full).await;
        let accepted = tokio::select! {
            biased;
            _ = link.changed() => continue,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            return;
        };
        tokio::spawn(relay(stream, target, link.clone()));
    }
}

async fn relay(caller: TcpStream, target: SocketAddr, link: watch::Receiver<Link>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (caller_read, caller_write) = caller.into_split();
    let (server_read, server_write) = server.into_split();
    // The end of one direction closes both connections.
    tokio::select! {
        _ = forward_requests(caller_read, server_write, link.clone()) => {}
        _ = forward_answers(server_read, caller_write, link) => {}
    }
}

async fn wait_up(link: &mut watch::Receiver<Link>) {
    let _ = link.wait_for(|link| *link == Link::Up).await;
}

/// Forwards what the entry sends until it closes or resets the connection.
async fn forward_requests(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut link: watch::Receiver<Link>,
) -> io::Result<()> {
    let mut block = vec![0; BLOCK_BYTES];
    loop {
        if from.peek(&mut block[..1]).await.is_err() {
            wait_up(&mut link).await;
            return reset(&to);
        }
        let state = *link.borrow();
        if state == Link::Cut {
            wait_up(&mut link).await;
            if from.as_ref().take_error()?.is_some() {
                return reset(&to);
            }
        }
        let read = from.read(&mut block).await;
        if state == Link::Frozen {
            wait_up(&mut link).await;
        }
        match read {
            Ok(0) => return to.shutdown().await,
            Ok(length) => to.write_all(&block[..length]).await?,
            Err(_) => return reset(&to),
        }
    }
}

async fn forward_answers(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut link: watch::Receiver<Link>,
) -> io::Result<()> {
    let mut block = vec![0; BLOCK_BYTES];
    loop {
        let length = from.read(&mut block).await?;
        wait_up(&mut link).await;
        match length {
            0 => return to.shutdown().await,
            length => to.write_all(&block[..length]).await?,
        }
    }
}

/// Resets a connection instead of closing it once it is dropped.
fn reset(stream: &OwnedWriteHalf) -> io::Result<()> {
    let stream: &TcpStream = stream.as_ref();
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}
