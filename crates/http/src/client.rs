//! HTTP client for JSON requests and responses, with request timeouts and a count of body bytes.

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use thiserror::Error;

/// Maximum length of a line in a streamed response.
const MAX_LINE_BYTES: usize = 8 * 1024 * 1024;

/// Why a request has no usable response.
#[derive(Debug, Error)]
pub enum HttpError {
    /// No response within the timeout; the request may have taken effect.
    #[error("no response from {server} within {timeout:?}")]
    Timeout {
        /// The server.
        server: SocketAddr,
        /// The timeout.
        timeout: Duration,
    },
    /// The connection failed; the request may have taken effect.
    #[error("connection to {server} failed: {reason}")]
    Connection {
        /// The server.
        server: SocketAddr,
        /// The underlying error.
        reason: String,
    },
    /// The response has an error status.
    #[error("{server} returned status {status}: {body}")]
    Status {
        /// The server.
        server: SocketAddr,
        /// The status code.
        status: u16,
        /// The response body.
        body: String,
    },
    /// The response cannot be parsed as the expected JSON type.
    #[error("malformed response from {server}: {reason}")]
    Malformed {
        /// The server.
        server: SocketAddr,
        /// The parsing error.
        reason: String,
    },
}

/// A parsed JSON response with its headers.
#[derive(Clone, Debug)]
pub struct JsonResponse<T> {
    /// The response headers.
    pub headers: HeaderMap,
    /// The parsed body.
    pub body: T,
}

/// An HTTP client for one server.
#[derive(Clone, Debug)]
pub struct HttpClient {
    server: SocketAddr,
    timeout: Duration,
    client: Client<HttpConnector, Full<Bytes>>,
    bytes: Arc<AtomicU64>,
}

impl HttpClient {
    /// Creates a client for `server` whose requests fail after `timeout`. It reuses connections.
    pub fn new(server: SocketAddr, timeout: Duration) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        HttpClient { server, timeout, client, bytes: Arc::default() }
    }

    /// Like [`HttpClient::new`], but opens a new connection for each request. A reused connection
    /// may have stopped carrying data without a reset, which only the timeout would detect.
    pub fn without_connection_reuse(server: SocketAddr, timeout: Duration) -> Self {
        let client = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build_http();
        HttpClient { server, timeout, client, bytes: Arc::default() }
    }

    /// Total size of the request and response bodies so far, in bytes.
    pub fn transferred_bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Sends a JSON request and returns the parsed JSON response.
    pub async fn send_json<B: Serialize, T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &B,
    ) -> Result<T, HttpError> {
        Ok(self.send_json_for_response(method, path, body).await?.body)
    }

    /// Like [`HttpClient::send_json`], but also returns the response headers.
    pub async fn send_json_for_response<B: Serialize, T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &B,
    ) -> Result<JsonResponse<T>, HttpError> {
        let body = serde_json::to_vec(body).map_err(|error| self.malformed_error(error))?;
        self.request_json(method, path, Bytes::from(body), self.timeout).await
    }

    async fn request_json<T: DeserializeOwned>(
        &self,
        method: Method,
        target: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<JsonResponse<T>, HttpError> {
        let exchange = async {
            let response = self.send_body(method, target, body).await?;
            let (head, body) = response.into_parts();
            let bytes = body.collect().await.map_err(|error| self.connection_error(error))?;
            Ok((head.headers, bytes.to_bytes()))
        };
        let response = tokio::time::timeout(timeout, exchange).await;
        let (headers, bytes) = response.map_err(|_| self.timeout_error(timeout))??;
        self.count_bytes(bytes.len());
        // Bytes that are no text may concern one string of the body only.
        let text = String::from_utf8_lossy(&bytes);
        let body = serde_json::from_str(&text).map_err(|error| self.malformed_error(error))?;
        Ok(JsonResponse { headers, body })
    }

    /// Sends a GET request and returns the parsed JSON response.
    pub async fn get_json<T: DeserializeOwned>(&self, target: &str) -> Result<T, HttpError> {
        Ok(self.get_json_response_within(target, self.timeout).await?.body)
    }

    /// Like [`HttpClient::get_json`], but also returns the response headers.
    pub async fn get_json_response<T: DeserializeOwned>(
        &self,
        target: &str,
    ) -> Result<JsonResponse<T>, HttpError> {
        self.get_json_response_within(target, self.timeout).await
    }

    /// Like [`HttpClient::get_json_response`], with a timeout other than the client's default.
    pub async fn get_json_response_within<T: DeserializeOwned>(
        &self,
        target: &str,
        timeout: Duration,
    ) -> Result<JsonResponse<T>, HttpError> {
        self.request_json(Method::GET, target, Bytes::new(), timeout).await
    }

    /// Sends a request without a body and checks only the response status.
    pub async fn send_empty(&self, method: Method, target: &str) -> Result<(), HttpError> {
        let response_future = self.send_body(method, target, Bytes::new());
        let response = tokio::time::timeout(self.timeout, response_future).await;
        response.map_err(|_| self.timeout_error(self.timeout))??;
        Ok(())
    }

    /// Sends a JSON request whose response is an unbounded stream of JSON lines. The timeout covers
    /// the time until the response headers arrive, not the stream.
    pub async fn open_stream<B: Serialize>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<LineStream, HttpError> {
        let response_future = self.send(Method::POST, path, body);
        let response = tokio::time::timeout(self.timeout, response_future).await;
        let response = response.map_err(|_| self.timeout_error(self.timeout))??;
        Ok(LineStream { client: self.clone(), body: response.into_body(), buffer: BytesMut::new() })
    }

    async fn send<B: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: &B,
    ) -> Result<Response<Incoming>, HttpError> {
        let body = serde_json::to_vec(body).map_err(|error| self.malformed_error(error))?;
        self.send_body(method, path, Bytes::from(body)).await
    }

    async fn send_body(
        &self,
        method: Method,
        target: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, HttpError> {
        self.count_bytes(body.len());
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{target}", self.server))
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| self.connection_error(error))?;
        let response = self.client.request(request).await;
        let response = response.map_err(|error| self.connection_error(error))?;
        if response.status().is_success() {
            return Ok(response);
        }
        let status = response.status().as_u16();
        let body = response.into_body().collect().await;
        let body = body.map(|body| body.to_bytes()).unwrap_or_default();
        let body = String::from_utf8_lossy(&body).into_owned();
        Err(HttpError::Status { server: self.server, status, body })
    }

    fn count_bytes(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn timeout_error(&self, timeout: Duration) -> HttpError {
        HttpError::Timeout { server: self.server, timeout }
    }

    fn connection_error(&self, error: impl std::error::Error) -> HttpError {
        let cause = error.source().map(|source| format!(": {source}")).unwrap_or_default();
        HttpError::Connection { server: self.server, reason: format!("{error}{cause}") }
    }

    fn malformed_error(&self, error: serde_json::Error) -> HttpError {
        HttpError::Malformed { server: self.server, reason: error.to_string() }
    }
}

/// A streamed response body of JSON lines.
#[derive(Debug)]
pub struct LineStream {
    client: HttpClient,
    body: Incoming,
    buffer: BytesMut,
}

impl LineStream {
    /// Returns the next parsed line, or `None` at the end of the stream. There is no timeout.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, HttpError> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                if line.trim_ascii().is_empty() {
                    continue;
                }
                let value = serde_json::from_slice(&line);
                return value.map(Some).map_err(|error| self.client.malformed_error(error));
            }
            let Some(frame) = self.body.frame().await else {
                return Ok(None);
            };
            let frame = frame.map_err(|error| self.client.connection_error(error))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.client.count_bytes(data.len());
            self.buffer.extend_from_slice(&data);
            if self.buffer.len() > MAX_LINE_BYTES {
                let server = self.client.server;
                return Err(HttpError::Malformed {
                    server,
                    reason: "line exceeds the maximum length".to_owned(),
                });
            }
        }
    }
}
