//! A UDP port of the fabric: datagrams from callers in, answers to callers out.

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

/// An answer to a caller.
#[derive(Debug)]
pub(crate) struct CallerReply {
    pub(crate) caller: SocketAddrV4,
    pub(crate) payload: Bytes,
}

/// Owns the port until nobody sends answers any more.
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
                // An answer that is lost here is lost as on any network.
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
