//! The server: one task a connection.

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

/// An answer's body; an error while it streams cuts the connection, so that the caller sees that
/// the answer is not whole.
pub type ResponseBody = BoxBody<Bytes, std::io::Error>;
/// An answer; `None` in its place cuts the connection without one.
pub type HttpResponse = Response<ResponseBody>;

/// Serves a listener until the task is dropped. A handler that returns `None` cuts the connection.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Option<HttpResponse>> + Send + 'static,
{
    loop {
        // An error concerns one connection that never was, or too many open files: go on.
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        // Answers are small; without this option they would wait for acknowledgements.
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
            // The caller's side of a broken connection tells its own user.
            let _ = connection.await;
        });
    }
}

#[derive(Debug, thiserror::Error)]
#[error("the connection is cut without an answer")]
struct ConnectionAborted;

/// A body that is whole.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed()
}

/// A JSON answer.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> HttpResponse {
    // The answers are plain data with string keys, which always serialize.
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, json);
    response
}

/// A plain text answer.
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
}
