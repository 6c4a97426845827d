//! HTTP/1.1 in a few lines: one request a connection, as server and as client.

use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

pub struct Request {
    pub target: String,
    pub body: Vec<u8>,
}

/// A status and a JSON body; `None` closes the connection without an answer.
pub type Answer = Option<(u16, String)>;

/// Serves each connection in a thread of its own.
pub fn serve(address: SocketAddrV4, handler: impl Fn(Request) -> Answer + Send + Sync + 'static) {
    let listener = TcpListener::bind(address).expect("cannot listen");
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = serve_one(stream, &*handler);
            });
        }
    });
}

fn serve_one(mut stream: TcpStream, handler: &impl Fn(Request) -> Answer) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(40)))?;
    let mut bytes = Vec::new();
    loop {
        let Some(request) = read_request(&mut stream, &mut bytes)? else { return Ok(()) };
        let Some((status, body)) = handler(request) else { return Ok(()) };
        let head = format!(
            "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(body.as_bytes())?;
    }
}

fn read_request(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> std::io::Result<Option<Request>> {
    let end = loop {
        if let Some(at) = find(bytes, b"\r\n\r\n") {
            break at + 4;
        }
        if !read_more(stream, bytes)? {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let length = content_length(&head);
    while bytes.len() < end + length {
        if !read_more(stream, bytes)? {
            return Ok(None);
        }
    }
    let body = bytes[end..end + length].to_vec();
    bytes.drain(..end + length);
    let mut words = head.split_whitespace();
    let target = words.nth(1).unwrap_or_default().to_owned();
    Ok(Some(Request { target, body }))
}

fn read_more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> std::io::Result<bool> {
    let mut buffer = [0; 8192];
    let length = stream.read(&mut buffer)?;
    bytes.extend_from_slice(&buffer[..length]);
    Ok(length > 0)
}

pub fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

pub fn content_length(head: &str) -> usize {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let mut found = lines.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    found.next().and_then(|(_, value)| value.trim().parse().ok()).unwrap_or(0)
}

/// Sends one request; returns the status, or `None` if none comes in time.
pub fn call(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
    within: Duration,
) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&to.into(), within).ok()?;
    stream.set_read_timeout(Some(within)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    while find(&bytes, b"\r\n").is_none() {
        if !read_more(&mut stream, &mut bytes).ok()? {
            return None;
        }
    }
    String::from_utf8_lossy(&bytes).split_whitespace().nth(1)?.parse().ok()
}
