//! HTTP calls as a caller or an operator makes them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use comfreyhaven_process::dial::{self, DialError};
use derive_more::{Display, Error, From};
use http_body_util::{BodyExt, Full};
use hyper::header::{AUTHORIZATION, HOST, HeaderName, HeaderValue};
use hyper::{Method, Request};

/// A call that got no answer, or no whole one.
#[derive(Debug, Display, Error, From)]
pub enum CallError {
    /// The process cannot be reached.
    Dial(DialError),
    /// The answer broke off after this much of it.
    #[display("the answer broke off: {source}")]
    #[from(ignore)]
    Broken {
        /// Why.
        source: hyper::Error,
        /// What came before.
        text: String,
    },
    /// The call cannot be written.
    #[display("the call cannot be written")]
    #[from(ignore)]
    Malformed,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// The request's identifier, if the answer has one.
    pub request: Option<String>,
    /// `Retry-After`, in seconds.
    pub retry: Option<u64>,
    /// The body.
    pub text: String,
    /// Time to the first byte of the body.
    pub first: Duration,
    /// Time to the last byte.
    pub total: Duration,
}

impl Reply {
    /// The body as JSON, or null.
    #[must_use]
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }

    /// The text that an engine generated, from an event stream or a plain answer. `None` unless it
    /// is whole.
    #[must_use]
    pub fn generated(&self) -> Option<String> {
        if !self.text.starts_with("data:") {
            return Some(
                self.json()["choices"][0]["message"]["content"]
                    .as_str()?
                    .to_owned(),
            );
        }
        let mut text = String::new();
        for line in self
            .text
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
        {
            if line == "[DONE]" {
                return Some(text);
            }
            let event: serde_json::Value = serde_json::from_str(line).ok()?;
            text.push_str(
                event["choices"][0]["delta"]["content"]
                    .as_str()
                    .unwrap_or(""),
            );
        }
        None
    }
}

/// A caller of one process.
#[derive(Debug, Clone)]
pub struct Caller {
    target: SocketAddr,
    key: Option<String>,
    headers: Vec<(String, String)>,
}

impl Caller {
    /// A caller without a key.
    #[must_use]
    pub fn new(target: SocketAddr) -> Self {
        Self {
            target,
            key: None,
            headers: Vec::new(),
        }
    }

    /// The same caller with a key.
    #[must_use]
    pub fn with_key(self, key: &str) -> Self {
        Self {
            key: Some(key.to_owned()),
            ..self
        }
    }

    /// The same caller with one more header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// The address that is called.
    #[must_use]
    pub const fn target(&self) -> SocketAddr {
        self.target
    }

    /// Asks a model for at most `tokens` tokens.
    ///
    /// # Errors
    /// Returns a [`CallError`] if no whole answer comes.
    pub async fn chat(
        &self,
        model: &str,
        prompt: &str,
        tokens: u32,
        stream: bool,
    ) -> Result<Reply, CallError> {
        let message = serde_json::json!({ "role": "user", "content": prompt });
        let body = serde_json::json!({
            "model": model, "messages": [message], "max_tokens": tokens, "stream": stream,
        });
        self.send(Method::POST, "/v1/chat/completions", body.to_string())
            .await
    }

    /// Reads a path.
    ///
    /// # Errors
    /// Returns a [`CallError`] if no whole answer comes.
    pub async fn get(&self, path: &str) -> Result<Reply, CallError> {
        self.send(Method::GET, path, String::new()).await
    }

    /// Makes any call.
    ///
    /// # Errors
    /// Returns a [`CallError`] if no whole answer comes.
    pub async fn send(&self, method: Method, path: &str, body: String) -> Result<Reply, CallError> {
        let start = Instant::now();
        let request = self
            .request(method, path, body)
            .ok_or(CallError::Malformed)?;
        let any = [0, 0, 0, 0].into();
        let mut connection = dial::http(any, self.target).await?;
        let broken = |source, text: &[u8]| CallError::Broken {
            source,
            text: String::from_utf8_lossy(text).into_owned(),
        };
        let answer = connection.sender.send_request(request).await;
        let mut answer = answer.map_err(|error| broken(error, b""))?;
        let (mut text, mut first) = (Vec::new(), None);
        while let Some(frame) = answer.body_mut().frame().await {
            let frame = frame.map_err(|error| broken(error, &text))?;
            first.get_or_insert_with(|| start.elapsed());
            text.extend_from_slice(&frame.into_data().unwrap_or_default());
        }
        let header = |name: &str| Some(answer.headers().get(name)?.to_str().ok()?.to_owned());
        let total = start.elapsed();
        Ok(Reply {
            status: answer.status().as_u16(),
            request: header("x-comfreyhaven-request"),
            retry: header("retry-after").and_then(|seconds| seconds.parse().ok()),
            text: String::from_utf8_lossy(&text).into_owned(),
            first: first.unwrap_or(total),
            total,
        })
    }

    fn request(&self, method: Method, path: &str, body: String) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::new(Full::new(Bytes::from(body)));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().ok()?;
        let headers = request.headers_mut();
        headers.insert(HOST, HeaderValue::from_str(&self.target.to_string()).ok()?);
        if let Some(key) = &self.key {
            headers.insert(
                AUTHORIZATION,
                HeaderValue::from_str(&format!("Bearer {key}")).ok()?,
            );
        }
        for (name, value) in &self.headers {
            let name: HeaderName = name.parse().ok()?;
            headers.append(name, HeaderValue::from_str(value).ok()?);
        }
        Some(request)
    }
}
