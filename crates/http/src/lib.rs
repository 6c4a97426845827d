//! Small HTTP/1.1 server and JSON client over `hyper`, for metrics, platform and stand-ins.

mod client;
mod server;

pub use client::{HttpClient, HttpError, JsonResponse, LineStream};
pub use server::{HttpResponse, ResponseBody, full_body, json_response, serve, text_response};
