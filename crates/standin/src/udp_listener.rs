//! A UDP socket of the fabric: receives datagrams from callers and sends replies to them.

use bytes::Bytes;
use std::net::{SocketAddr, SocketAddrV4};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

const MAX_DATAGRAM_BYTES: usize = 65_535;

/// A datagram that a caller sent to a service.
#[derive(Debug)]
pub(crate) struct CallerDatagram {
    pub(crate) caller: SocketAddrV4,
    pub(crate) service: SocketAddrV4,
    pub(crate) payload: Bytes,
}

/// A reply to a caller.
#[derive(Debug)]
pub(crate) struct CallerReply {
    pub(crate) caller: SocketAddrV4,
    pub(crate) payload: Bytes,
}

/// Serves the socket until the channel of replies or of datagrams is closed.
pub(crate) async fn run(
    socket: UdpSocket,
    service: SocketAddrV4,
    datagrams: mpsc::Sender<CallerDatagram>,
    mut replies: mpsc::Receiver<CallerReply>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        tokio::select! {
            reply = replies.recv() => {
                let Some(reply) = reply else { return };
                // A send error loses the reply, as any network may.
                let _ = socket.send_to(&reply.payload, reply.caller).await;
            }
            received = socket.recv_from(&mut buffer) => {
                let Ok((length, SocketAddr::V4(caller))) = received else { continue };
                let payload = Bytes::copy_from_slice(&buffer[..length]);
                if datagrams.send(CallerDatagram { caller, service, payload }).await.is_err() {
                    return;
                }
            }
        }
    }
}
