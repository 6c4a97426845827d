//! Tasks that own a UDP socket: one datagram per command and per event.

use crate::Reporter;
use bytes::Bytes;
use loftdrift_flow::{SocketCommand, SocketEvent};
use std::net::{Ipv4Addr, SocketAddrV4};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

const MAX_DATAGRAM_BYTES: usize = 65_535;

pub(crate) async fn connect_and_serve(
    server: SocketAddrV4,
    commands: mpsc::UnboundedReceiver<SocketCommand>,
    reporter: Reporter,
) {
    match connect(server).await {
        Ok(socket) => serve(socket, commands, reporter).await,
        Err(_) => {
            reporter.report(SocketEvent::Failed).await;
        }
    }
}

async fn connect(server: SocketAddrV4) -> std::io::Result<UdpSocket> {
    let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0)).await?;
    socket.connect(server).await?;
    Ok(socket)
}

async fn serve(
    socket: UdpSocket,
    mut commands: mpsc::UnboundedReceiver<SocketCommand>,
    reporter: Reporter,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(SocketCommand::Write(datagram)) => {
                    // A failed send counts as a lost datagram, as on any network.
                    let _ = socket.send(&datagram).await;
                }
                Some(SocketCommand::Abort) | None => return,
                Some(_) => {}
            },
            received = socket.recv(&mut buffer) => {
                // An error reports that an earlier datagram found no receiver. The flow goes on.
                let Ok(length) = received else { continue };
                let datagram = Bytes::copy_from_slice(&buffer[..length]);
                if !reporter.report(SocketEvent::Received(datagram)).await {
                    return;
                }
            }
        }
    }
}
