//! HTTP requests from the agent to its endpoint.

use std::net::{IpAddr, SocketAddr};

use bytes::Bytes;
use comfreyhaven_core::agent::RunEnd;
use comfreyhaven_core::fleet::EndpointKind;
use comfreyhaven_core::refusal::NotRunReason;
use comfreyhaven_process::dial::{self, HttpConnection};
use comfreyhaven_wire::frame::RunHead;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderName, HeaderValue};
use hyper::{Request, Response};

use crate::answer_reader::AnswerReader;

/// Header with the request id, by which the endpoint can distinguish requests.
pub(crate) const REQUEST_HEADER: &str = "x-comfreyhaven-request";

/// Addresses and kind of the agent's endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Endpoint {
    source: IpAddr,
    target: SocketAddr,
    kind: EndpointKind,
}

/// Part of an endpoint's answer.
#[derive(Debug)]
pub(crate) enum AnswerPart {
    /// Status and headers of the answer.
    Head {
        status: u16,
        headers: Vec<(String, String)>,
    },
    /// Bytes of the answer's body.
    Data(Bytes),
    /// End of the answer.
    End(RunEnd),
}

enum Stage {
    Sending(Request<Full<Bytes>>),
    Reading(Response<Incoming>, AnswerReader),
}

/// One request on its own connection, which closes when the `Run` is dropped.
pub(crate) struct Run {
    connection: HttpConnection<Full<Bytes>>,
    stage: Stage,
}

impl Endpoint {
    pub(crate) fn new(source: IpAddr, target: SocketAddr, kind: EndpointKind) -> Self {
        Self {
            source,
            target,
            kind,
        }
    }

    /// Returns whether a run continues after its entry has disconnected. It does for a plain
    /// service, whose calls must not be interrupted.
    pub(crate) fn outlives_entry(&self) -> bool {
        self.kind == EndpointKind::Service
    }

    /// Connects to the endpoint. The request is not sent yet, so after an error it cannot have run.
    pub(crate) async fn start(&self, head: &RunHead, body: Bytes) -> Result<Run, NotRunReason> {
        let request = self.request(head, body).ok_or(NotRunReason::Malformed)?;
        let connection = dial::http(self.source, self.target).await;
        let connection = connection.map_err(|error| {
            log::warn!(request:% = head.request, team:% = head.team; "endpoint {}: {error}", self.target);
            NotRunReason::EndpointDown
        })?;
        Ok(Run {
            connection,
            stage: Stage::Sending(request),
        })
    }

    fn request(&self, head: &RunHead, body: Bytes) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = head.method.parse().ok()?;
        *request.uri_mut() = head.target.parse().ok()?;
        let headers = request.headers_mut();
        for (name, value) in &head.headers {
            let name: HeaderName = name.parse().ok()?;
            headers.append(name, HeaderValue::from_str(value).ok()?);
        }
        headers.insert(HOST, HeaderValue::from_str(&self.target.to_string()).ok()?);
        let id = HeaderValue::from_str(&head.request.to_string()).ok()?;
        headers.insert(REQUEST_HEADER, id);
        Some(request)
    }
}

impl Run {
    /// Waits for the next part of the answer. The first call sends the request; it must not be
    /// cancelled and repeated, because the request could then be sent twice. Cancelling a later
    /// call loses no data.
    pub(crate) async fn next(&mut self) -> AnswerPart {
        match &mut self.stage {
            Stage::Sending(request) => {
                let sent = self.connection.sender.send_request(request.clone()).await;
                match sent {
                    Ok(response) => self.read_head(response),
                    Err(_) => AnswerPart::End(RunEnd::Broken),
                }
            }
            Stage::Reading(response, reader) => next_data(response, reader).await,
        }
    }

    fn read_head(&mut self, response: Response<Incoming>) -> AnswerPart {
        let status = response.status().as_u16();
        let headers = response.headers();
        let text = |(name, value): (&HeaderName, &HeaderValue)| {
            Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
        };
        let headers: Vec<_> = headers.iter().filter_map(text).collect();
        let reader = AnswerReader::new(response.headers().get(hyper::header::CONTENT_TYPE));
        self.stage = Stage::Reading(response, reader);
        AnswerPart::Head { status, headers }
    }
}

async fn next_data(response: &mut Response<Incoming>, reader: &mut AnswerReader) -> AnswerPart {
    loop {
        match response.body_mut().frame().await {
            None => return AnswerPart::End(reader.end()),
            Some(Err(_)) => return AnswerPart::End(RunEnd::Broken),
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    reader.read(&bytes);
                    return AnswerPart::Data(bytes);
                }
            }
        }
    }
}
