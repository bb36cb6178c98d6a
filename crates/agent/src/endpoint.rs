//! Requests to the endpoint itself.

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

use crate::whole::Reader;

/// Header by which an endpoint can tell requests apart.
pub(crate) const REQUEST_HEADER: &str = "x-comfreyhaven-request";

/// The endpoint beside this agent.
#[derive(Debug, Clone)]
pub(crate) struct Endpoint {
    source: IpAddr,
    target: SocketAddr,
    kind: EndpointKind,
}

/// What the endpoint sent next.
#[derive(Debug)]
pub(crate) enum Piece {
    /// The head of its answer.
    Head {
        status: u16,
        headers: Vec<(String, String)>,
    },
    /// Some of its answer.
    Data(Bytes),
    /// Its answer is over.
    End(RunEnd),
}

enum Stage {
    Sending(Request<Full<Bytes>>),
    Reading(Response<Incoming>, Reader),
}

/// One request on a connection of its own, which closes with it.
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

    /// Whether a run goes on when its entry is gone: a plain service's call may not be cut off.
    pub(crate) fn runs_on(&self) -> bool {
        self.kind == EndpointKind::Service
    }

    /// Connects to the endpoint. Until it succeeds, nothing can have run.
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
    /// Waits for the next piece. Cancelling the wait loses nothing but the wait.
    pub(crate) async fn next(&mut self) -> Piece {
        match &mut self.stage {
            Stage::Sending(request) => {
                let sent = self.connection.sender.send_request(request.clone()).await;
                match sent {
                    Ok(response) => self.head(response),
                    Err(_) => Piece::End(RunEnd::Broken),
                }
            }
            Stage::Reading(response, reader) => data(response, reader).await,
        }
    }

    fn head(&mut self, response: Response<Incoming>) -> Piece {
        let status = response.status().as_u16();
        let headers = response.headers();
        let text = |(name, value): (&HeaderName, &HeaderValue)| {
            Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
        };
        let headers: Vec<_> = headers.iter().filter_map(text).collect();
        let reader = Reader::new(response.headers().get(hyper::header::CONTENT_TYPE));
        self.stage = Stage::Reading(response, reader);
        Piece::Head { status, headers }
    }
}

async fn data(response: &mut Response<Incoming>, reader: &mut Reader) -> Piece {
    loop {
        match response.body_mut().frame().await {
            None => return Piece::End(reader.end()),
            Some(Err(_)) => return Piece::End(RunEnd::Broken),
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    reader.read(&bytes);
                    return Piece::Data(bytes);
                }
            }
        }
    }
}
