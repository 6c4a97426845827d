//! Small HTTP/1.1 server and JSON client based on `hyper`, used for metrics, the platform's APIs
//! and the simulated systems for tests.

mod client;
mod server;

pub use client::{HttpClient, HttpError, JsonResponse, LineStream};
pub use server::{HttpResponse, ResponseBody, full_body, json_response, serve, text_response};
