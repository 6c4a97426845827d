//! UDP and TCP relays to a process whose traffic can be blocked and restored.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

const MAX_DATAGRAM_BYTES: usize = 65_535;

/// Relays datagrams to a process, and its replies back to each sender. While the link is cut, it
/// drops them.
pub struct UdpLink {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl UdpLink {
    pub fn to(target: SocketAddr) -> UdpLink {
        let listener_socket = UdpSocket::bind("127.0.0.1:0").expect("failed to bind a socket");
        let address = listener_socket.local_addr().expect("socket has no address");
        let cut = Arc::new(AtomicBool::new(false));
        let is_cut = Arc::clone(&cut);
        thread::spawn(move || relay_requests(&listener_socket, target, &is_cut));
        UdpLink { address, cut }
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

fn relay_requests(listener_socket: &UdpSocket, target: SocketAddr, cut: &Arc<AtomicBool>) {
    let mut upstream_sockets: HashMap<SocketAddr, UdpSocket> = HashMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    while let Ok((length, sender)) = listener_socket.recv_from(&mut buffer) {
        if cut.load(Ordering::SeqCst) {
            continue;
        }
        let upstream = upstream_sockets.entry(sender).or_insert_with(|| {
            let upstream = UdpSocket::bind("127.0.0.1:0").expect("failed to bind a socket");
            upstream.connect(target).expect("failed to set the target address");
            let replies = upstream.try_clone().expect("failed to duplicate the socket");
            let listener_socket =
                listener_socket.try_clone().expect("failed to duplicate the socket");
            let cut = Arc::clone(cut);
            thread::spawn(move || relay_replies(&replies, &listener_socket, sender, &cut));
            upstream
        });
        // Sending fails while the target is dead; later datagrams are still attempted.
        let _ = upstream.send(&buffer[..length]);
    }
}

fn relay_replies(
    upstream: &UdpSocket,
    listener_socket: &UdpSocket,
    sender: SocketAddr,
    cut: &AtomicBool,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok(length) = upstream.recv(&mut buffer) else {
            thread::yield_now();
            continue;
        };
        if !cut.load(Ordering::SeqCst) {
            let _ = listener_socket.send_to(&buffer[..length], sender);
        }
    }
}

/// Relays TCP connections to a process. While the link is cut, data and new connections wait.
pub struct TcpLink {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl TcpLink {
    pub fn to(target: SocketAddr) -> TcpLink {
        let listener = TcpListener::bind("127.0.0.1:0").expect("failed to bind a socket");
        let address = listener.local_addr().expect("socket has no address");
        let cut = Arc::new(AtomicBool::new(false));
        let is_cut = Arc::clone(&cut);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                wait_while_cut(&is_cut);
                let Ok(server) = TcpStream::connect(target) else { continue };
                for (from, to) in [(&client, &server), (&server, &client)] {
                    let from = from.try_clone().expect("failed to duplicate the socket");
                    let to = to.try_clone().expect("failed to duplicate the socket");
                    let cut = Arc::clone(&is_cut);
                    thread::spawn(move || copy_until_closed(from, to, &cut));
                }
            }
        });
        TcpLink { address, cut }
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

fn wait_while_cut(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(10));
    }
}

fn copy_until_closed(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        wait_while_cut(cut);
        if to.write_all(&buffer[..length]).is_err() {
            return;
        }
    }
    // The peer may have closed the connection already.
    let _ = to.shutdown(std::net::Shutdown::Write);
}
