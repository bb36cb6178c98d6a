//! The engine's HTTP: `POST /v1/chat/completions`, streamed or plain, `GET /load`, and for tests
//! `GET /seen`, `GET /runs`, `GET /totals`, `POST /crash?ms=N` (down for so long), `POST /cool` and
//! `POST /slow?percent=N`.

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

const OUTPUT_DEFAULT_TOKENS: u32 = 64;

#[derive(Debug, Deserialize)]
struct Chat {
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
    /// Answers one call.
    pub async fn handle(self, request: Request<Incoming>) -> Answer {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/seen") => answer::json(200, &self.seen()),
            (&Method::GET, "/runs") => answer::json(200, &self.runs()),
            (&Method::GET, "/totals") => answer::json(200, &self.totals()),
            (&Method::POST, "/crash") => {
                self.crash(number(&request, "ms").map(Duration::from_millis));
                answer::full(200, "text/plain", "")
            }
            (&Method::POST, "/cool") => {
                self.cool();
                answer::full(200, "text/plain", "")
            }
            (&Method::POST, "/slow") => {
                self.slow(number(&request, "percent").unwrap_or(100));
                answer::full(200, "text/plain", "")
            }
            _ if self.is_down() => cut(),
            (&Method::GET, "/load") => answer::json(200, &self.reported()),
            (&Method::POST, "/v1/chat/completions") => self.complete(request).await,
            _ => answer::full(404, "text/plain", "no such call\n"),
        }
    }

    async fn complete(self, request: Request<Incoming>) -> Answer {
        let call = booking::read(request).await;
        let chat = serde_json::from_str::<Chat>(&call.body);
        self.saw(call);
        let Ok(chat) = chat else {
            return answer::json(400, &json!({ "error": "no chat request" }));
        };
        let prompt: Vec<_> = chat
            .messages
            .iter()
            .map(|message| message.content.as_str())
            .collect();
        let limit = chat.max_tokens.unwrap_or(OUTPUT_DEFAULT_TOKENS);
        match self.admit(prompt.join("\n"), limit) {
            None => cut(),
            Some(outputs) if chat.stream => events(outputs),
            Some(outputs) => plain(outputs).await,
        }
    }
}

/// The number that the query gives for a name.
fn number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    let mut values = query.split('&').filter_map(|pair| pair.split_once('='));
    values.find(|(known, _)| *known == name)?.1.parse().ok()
}

fn events(outputs: mpsc::Receiver<Output>) -> Answer {
    let pieces = pieces(outputs).map(|output| match output {
        Some(Output::Token(token)) => {
            let event = json!({ "choices": [{ "delta": { "content": token } }] });
            Ok(Frame::data(Bytes::from(format!("data: {event}\n\n"))))
        }
        Some(Output::Done {
            prompt,
            cached,
            output,
        }) => {
            let event = json!({ "choices": [], "usage": usage(prompt, cached, output) });
            Ok(Frame::data(Bytes::from(format!(
                "data: {event}\n\ndata: [DONE]\n\n"
            ))))
        }
        None => Err(std::io::Error::other("engine crashed")),
    });
    let mut answer = Response::new(BodyExt::boxed(StreamBody::new(pieces)));
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    answer
}

async fn plain(mut outputs: mpsc::Receiver<Output>) -> Answer {
    let mut text = String::new();
    while let Some(output) = outputs.recv().await {
        match output {
            Output::Token(token) => text.push_str(&token),
            Output::Done {
                prompt,
                cached,
                output,
            } => {
                let message = json!({ "role": "assistant", "content": text });
                let usage = usage(prompt, cached, output);
                return answer::json(
                    200,
                    &json!({ "choices": [{ "message": message }], "usage": usage }),
                );
            }
        }
    }
    cut()
}

fn usage(prompt: u64, cached: u64, output: u32) -> serde_json::Value {
    json!({ "prompt_tokens": prompt, "completion_tokens": output, "cached_tokens": cached })
}

/// Outputs up to the last, or `None` as the last if the engine lost the request.
fn pieces(outputs: mpsc::Receiver<Output>) -> impl Stream<Item = Option<Output>> {
    futures::stream::unfold(Some(outputs), |outputs| async move {
        let mut outputs = outputs?;
        match outputs.recv().await {
            Some(done @ Output::Done { .. }) => Some((Some(done), None)),
            Some(token) => Some((Some(token), Some(outputs))),
            None => Some((None, None)),
        }
    })
}

/// An answer whose connection breaks, as a dead engine's does.
fn cut() -> Answer {
    let broken = futures::stream::once(async { Err(std::io::Error::other("engine is down")) });
    Response::new(BodyExt::boxed(StreamBody::new(broken)))
}
