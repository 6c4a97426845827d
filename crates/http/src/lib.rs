//! Small HTTP/1.1 server and JSON client over `hyper`, for metrics, platform and stand-ins.

mod client;
mod server;

pub use client::{HttpClient, HttpError, LineStream, Reply};
pub use server::{Answer, AnswerBody, full_body, json_answer, serve, text_answer};
