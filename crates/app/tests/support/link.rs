//! UDP and TCP links to a process that can be cut and mended.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

const MAX_DATAGRAM_BYTES: usize = 65_535;

/// Relays datagrams to a process and its answers back to each sender.
pub struct Link {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Link {
    pub fn to(target: SocketAddr) -> Link {
        let front = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let address = front.local_addr().expect("an address");
        let cut = Arc::new(AtomicBool::new(false));
        let is_cut = Arc::clone(&cut);
        thread::spawn(move || relay(&front, target, &is_cut));
        Link { address, cut }
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

fn relay(front: &UdpSocket, target: SocketAddr, cut: &Arc<AtomicBool>) {
    let mut backs: HashMap<SocketAddr, UdpSocket> = HashMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    while let Ok((length, sender)) = front.recv_from(&mut buffer) {
        if cut.load(Ordering::SeqCst) {
            continue;
        }
        let back = backs.entry(sender).or_insert_with(|| {
            let back = UdpSocket::bind("127.0.0.1:0").expect("a port");
            back.connect(target).expect("an address");
            let answers = back.try_clone().expect("a socket");
            let front = front.try_clone().expect("a socket");
            let cut = Arc::clone(cut);
            thread::spawn(move || relay_answers(&answers, &front, sender, &cut));
            back
        });
        // A dead target shows as an error here; the next datagram is tried all the same.
        let _ = back.send(&buffer[..length]);
    }
}

fn relay_answers(back: &UdpSocket, front: &UdpSocket, sender: SocketAddr, cut: &AtomicBool) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok(length) = back.recv(&mut buffer) else {
            thread::yield_now();
            continue;
        };
        if !cut.load(Ordering::SeqCst) {
            let _ = front.send_to(&buffer[..length], sender);
        }
    }
}

/// Relays TCP connections to a process; while it is cut, bytes and new connections wait.
pub struct TcpLink {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl TcpLink {
    pub fn to(target: SocketAddr) -> TcpLink {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let cut = Arc::new(AtomicBool::new(false));
        let is_cut = Arc::clone(&cut);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                wait_while(&is_cut);
                let Ok(far) = TcpStream::connect(target) else { continue };
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let from = from.try_clone().expect("a socket");
                    let to = to.try_clone().expect("a socket");
                    let cut = Arc::clone(&is_cut);
                    thread::spawn(move || carry(from, to, &cut));
                }
            }
        });
        TcpLink { address, cut }
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

fn wait_while(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(10));
    }
}

fn carry(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        wait_while(cut);
        if to.write_all(&buffer[..length]).is_err() {
            return;
        }
    }
    // The peer may have gone already.
    let _ = to.shutdown(std::net::Shutdown::Write);
}
