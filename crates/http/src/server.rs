//! HTTP server with one task per connection.

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use std::convert::Infallible;
use std::future::Future;
use tokio::net::TcpListener;

/// A response body. An error while it is streamed closes the connection, so that the client detects
/// that the response is incomplete.
pub type ResponseBody = BoxBody<Bytes, std::io::Error>;
/// A response. A handler returns `None` instead to close the connection without a response.
pub type HttpResponse = Response<ResponseBody>;

/// Serves a listener until the future is dropped. When the handler returns `None`, the connection
/// is closed without a response.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Option<HttpResponse>> + Send + 'static,
{
    loop {
        // The connection was aborted before it was accepted, or too many files are open. Neither
        // should stop the server.
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        // Disables Nagle's algorithm, which would delay small responses until earlier data is
        // acknowledged.
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = handler(request);
                async move { response.await.ok_or(ConnectionAborted) }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .half_close(true)
                .serve_connection(TokioIo::new(stream), service);
            // The client detects and reports a broken connection itself.
            let _ = connection.await;
        });
    }
}

#[derive(Debug, thiserror::Error)]
#[error("connection closed without a response")]
struct ConnectionAborted;

/// A body that is available as a whole.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed()
}

/// A JSON response.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> HttpResponse {
    // Serializing plain data with string keys cannot fail.
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, json);
    response
}

/// A plain text response.
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
}
