//! A minimal blocking HTTP client, independent of the code under test.

use std::io::{Error, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(30);

/// Sends a request and returns the response body. Fails unless it is complete with status 200.
pub fn request(server: SocketAddr, method: &str, path: &str, body: &str) -> Result<Vec<u8>, Error> {
    request_as("", server, method, path, body)
}

/// Like [`request`], with a request ID that the back end records.
pub fn request_as(
    id: &str,
    server: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Result<Vec<u8>, Error> {
    let mut stream = TcpStream::connect_timeout(&server, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let length = body.len();
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\nx-request-id: {id}\r\n\
         content-length: {length}\r\n\r\n{body}"
    )?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response)?;
    let invalid = |text: &str| Error::new(ErrorKind::InvalidData, text.to_owned());
    let end = response.windows(4).position(|window| window == b"\r\n\r\n");
    let end = end.ok_or_else(|| invalid("no end of the response headers"))?;
    let head = String::from_utf8_lossy(&response[..end]).to_lowercase();
    if !head.starts_with("http/1.1 200") {
        return Err(invalid(&head));
    }
    let body = response.split_off(end + 4);
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    if length
        .and_then(|length| length.parse().ok())
        .is_some_and(|length: usize| length != body.len())
    {
        return Err(invalid("the response body is incomplete"));
    }
    Ok(body)
}
