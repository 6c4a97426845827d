//! A small HTTP/1.1 server and client with one thread a connection.

use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub body: String,
}

impl Request {
    /// The decoded value of a parameter of the query.
    pub fn argument(&self, name: &str) -> Option<String> {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| percent_decode(value))
    }
}

fn percent_decode(text: &str) -> String {
    let mut decoded = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let digits: Vec<u8> = bytes.by_ref().take(2).collect();
        let code =
            std::str::from_utf8(&digits).ok().and_then(|two| u8::from_str_radix(two, 16).ok());
        decoded.extend(code);
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Serves until `stopped` is set; then the port is closed.
pub fn serve<H>(listener: TcpListener, stopped: Arc<AtomicBool>, handler: H)
where
    H: Fn(Request) -> (u16, String) + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    listener.set_nonblocking(true).unwrap();
    std::thread::spawn(move || {
        while !stopped.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let handler = handler.clone();
                    std::thread::spawn(move || serve_connection(stream, &*handler));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(2)),
            }
        }
    });
}

fn serve_connection(
    mut stream: TcpStream,
    handler: &(dyn Fn(Request) -> (u16, String) + Send + Sync),
) -> Option<()> {
    stream.set_nonblocking(false).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(40))).ok()?;
    let mut buffered = Vec::new();
    loop {
        let (head, body) = read_message(&mut stream, &mut buffered)?;
        let mut words = head.lines().next()?.split(' ');
        let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let request = Request { method, path: path.to_owned(), query: query.to_owned(), body };
        let (status, answer) = handler(request);
        let text = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
            answer.len()
        );
        stream.write_all(text.as_bytes()).ok()?;
    }
}

/// Reads one message: its head and its body of `Content-Length` bytes.
fn read_message(stream: &mut TcpStream, buffered: &mut Vec<u8>) -> Option<(String, String)> {
    let mut chunk = [0; 4096];
    loop {
        let end = buffered.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        if let Some(end) = end {
            let head = String::from_utf8_lossy(&buffered[..end]).into_owned();
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok())?
            });
            let total = end + 4 + length.unwrap_or(0_usize);
            if buffered.len() >= total {
                let body = String::from_utf8_lossy(&buffered[end + 4..total]).into_owned();
                buffered.drain(..total);
                return Some((head, body));
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(length) => buffered.extend_from_slice(&chunk[..length]),
        }
    }
}

/// Sends a request on a connection of its own; `None` if no answer comes in time.
pub fn call(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to.into(), timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let (head, body) = read_message(&mut stream, &mut Vec::new())?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, body))
}
