//! The HTTP interface of the engine: `POST /v1/chat/completions`, streamed or plain, and
//! `GET /load`. Tests also use `GET /seen`, `GET /runs`, `GET /totals`, `POST /crash?ms=N` (with
//! the time until the restart), `POST /cool` and `POST /slow?percent=N`.

use std::time::Duration;

use bytes::Bytes;
use comfreyhaven_process::answer::{self, Answer};
use futures::{Stream, StreamExt};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response};
use serde::Deserialize;
use serde_json::json;
use tokio::sync::mpsc;

use super::sequence::Output;
use super::shared::Engine;
use crate::booking;

/// Output limit of a request without `max_tokens`.
const DEFAULT_OUTPUT_TOKENS: u32 = 64;

#[derive(Debug, Deserialize)]
struct ChatRequest {
    #[serde(default)]
    messages: Vec<Message>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

impl Engine {
    /// Handles one HTTP request.
    pub async fn handle(self, request: Request<Incoming>) -> Answer {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/seen") => answer::json(200, &self.calls()),
            (&Method::GET, "/runs") => answer::json(200, &self.run_counts()),
            (&Method::GET, "/totals") => answer::json(200, &self.totals()),
            (&Method::POST, "/crash") => {
                self.crash(query_number(&request, "ms").map(Duration::from_millis));
                answer::full(200, "text/plain", "")
            }
            (&Method::POST, "/cool") => {
                self.turn_cold();
                answer::full(200, "text/plain", "")
            }
            (&Method::POST, "/slow") => {
                self.set_step_percent(query_number(&request, "percent").unwrap_or(100));
                answer::full(200, "text/plain", "")
            }
            _ if self.is_down() => broken_answer(),
            (&Method::GET, "/load") => answer::json(200, &self.delayed_report()),
            (&Method::POST, "/v1/chat/completions") => self.complete(request).await,
            _ => answer::full(404, "text/plain", "no such call\n"),
        }
    }

    async fn complete(self, request: Request<Incoming>) -> Answer {
        let call = booking::read_call(request).await;
        let chat = serde_json::from_str::<ChatRequest>(&call.body);
        self.record_call(call);
        let Ok(chat) = chat else {
            return answer::json(400, &json!({ "error": "no chat request" }));
        };
        let prompt: Vec<_> = chat
            .messages
            .iter()
            .map(|message| message.content.as_str())
            .collect();
        let limit = chat.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS);
        match self.admit(prompt.join("\n"), limit) {
            None => broken_answer(),
            Some(outputs) if chat.stream => stream_answer(outputs),
            Some(outputs) => plain_answer(outputs).await,
        }
    }
}

/// Returns the number that the query contains under `name`.
fn query_number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    let mut values = query.split('&').filter_map(|pair| pair.split_once('='));
    values.find(|(key, _)| *key == name)?.1.parse().ok()
}

fn stream_answer(outputs: mpsc::Receiver<Output>) -> Answer {
    let frames = until_done(outputs).map(|output| match output {
        Some(Output::Token(token)) => {
            let event = json!({ "choices": [{ "delta": { "content": token } }] });
            Ok(Frame::data(Bytes::from(format!("data: {event}\n\n"))))
        }
        Some(Output::Done {
            prompt_tokens,
            cached_tokens,
            output_tokens,
        }) => {
            let event = json!({
                "choices": [], "usage": usage(prompt_tokens, cached_tokens, output_tokens),
            });
            Ok(Frame::data(Bytes::from(format!(
                "data: {event}\n\ndata: [DONE]\n\n"
            ))))
        }
        None => Err(std::io::Error::other("engine crashed")),
    });
    let mut answer = Response::new(BodyExt::boxed(StreamBody::new(frames)));
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    answer
}

async fn plain_answer(mut outputs: mpsc::Receiver<Output>) -> Answer {
    let mut text = String::new();
    while let Some(output) = outputs.recv().await {
        match output {
            Output::Token(token) => text.push_str(&token),
            Output::Done {
                prompt_tokens,
                cached_tokens,
                output_tokens,
            } => {
                let message = json!({ "role": "assistant", "content": text });
                let usage = usage(prompt_tokens, cached_tokens, output_tokens);
                return answer::json(
                    200,
                    &json!({ "choices": [{ "message": message }], "usage": usage }),
                );
            }
        }
    }
    broken_answer()
}

fn usage(prompt: u64, cached: u64, output: u32) -> serde_json::Value {
    json!({ "prompt_tokens": prompt, "completion_tokens": output, "cached_tokens": cached })
}

/// Yields the outputs of a request up to `Done`, or `None` as the last item if the engine crashed.
fn until_done(outputs: mpsc::Receiver<Output>) -> impl Stream<Item = Option<Output>> {
    futures::stream::unfold(Some(outputs), |outputs| async move {
        let mut outputs = outputs?;
        match outputs.recv().await {
            Some(done @ Output::Done { .. }) => Some((Some(done), None)),
            Some(token) => Some((Some(token), Some(outputs))),
            None => Some((None, None)),
        }
    })
}

/// Returns an answer that breaks the connection, as a crashed engine does.
fn broken_answer() -> Answer {
    let broken = futures::stream::once(async { Err(std::io::Error::other("engine is down")) });
    Response::new(BodyExt::boxed(StreamBody::new(broken)))
}
