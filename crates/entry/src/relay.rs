//! Sends one body to an agent under an offer, and forwards the answer to the caller.

use bytes::{Bytes, BytesMut};
use comfreyhaven_core::agent::RunEnd;
use comfreyhaven_core::entry::{Ending, Event};
use comfreyhaven_core::{EndpointName, OfferId};
use comfreyhaven_process::control::Mailbox;
use comfreyhaven_process::dial::{self, HttpConnection};
use comfreyhaven_wire::frame::{self, FRAME_TIMEOUT, Frame, RunHead, RunReply};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use hyper::{Method, Request, Response};
use tokio::time::timeout;

use crate::agents::Agents;
use crate::caller::Caller;
use crate::command::Command;
use crate::request_parser::ParsedRequest;

/// How a relay ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RelayEnd {
    /// Result that the agent reported, or loss of the connection to the agent.
    Ended(Ending),
    CallerDisconnected,
}

/// Sends the body and forwards frames until the answer ends or the caller disconnects.
pub(crate) async fn run(
    parsed: &ParsedRequest,
    endpoint: &EndpointName,
    offer: OfferId,
    agents: &Agents,
    mailbox: &Mailbox<Command>,
    caller: &mut Caller,
) -> RelayEnd {
    let Some((mut connection, request)) = connect(parsed, endpoint, offer, agents).await else {
        return RelayEnd::Ended(Ending::NotSent);
    };
    let sending = tokio::select! {
        sending = timeout(FRAME_TIMEOUT, connection.sender.send_request(request)) => sending,
        () = caller.disconnected() => return RelayEnd::CallerDisconnected,
    };
    let Ok(Ok(response)) = sending else {
        return RelayEnd::Ended(Ending::Lost);
    };
    let mut frames = Frames {
        response,
        buffer: BytesMut::new(),
    };
    loop {
        let frame = tokio::select! {
            frame = timeout(FRAME_TIMEOUT, frames.next()) => frame.ok().flatten(),
            () = caller.disconnected() => return RelayEnd::CallerDisconnected,
        };
        match handle_frame(frame, parsed, mailbox, caller).await {
            Some(end) => return end,
            None => continue,
        }
    }
}

async fn connect(
    parsed: &ParsedRequest,
    endpoint: &EndpointName,
    offer: OfferId,
    agents: &Agents,
) -> Option<(HttpConnection<Full<Bytes>>, Request<Full<Bytes>>)> {
    let target = agents.traffic_address(endpoint)?;
    let body = Full::new(run_body(parsed, offer)?);
    let mut request = Request::new(body);
    *request.method_mut() = Method::POST;
    *request.uri_mut() = hyper::Uri::from_static("/run");
    request
        .headers_mut()
        .insert(HOST, HeaderValue::from_str(&target.to_string()).ok()?);
    match dial::http(agents.source(), target).await {
        Ok(connection) => Some((connection, request)),
        Err(error) => {
            log::warn!(request:% = parsed.arrival.id, team:% = parsed.team; "{endpoint}: {error}");
            None
        }
    }
}

fn run_body(parsed: &ParsedRequest, offer: OfferId) -> Option<Bytes> {
    let head = RunHead {
        request: parsed.arrival.id,
        offer,
        team: parsed.team.parse().ok()?,
        method: parsed.method.clone(),
        target: parsed.target.clone(),
        headers: parsed.headers.clone(),
    };
    let head = Frame::head(&head).ok()?.encode();
    Some([&head[..], &parsed.body[..]].concat().into())
}

/// Handles one frame. Returns the end of the relay if the frame ends it or is missing.
async fn handle_frame(
    frame: Option<Frame>,
    parsed: &ParsedRequest,
    mailbox: &Mailbox<Command>,
    caller: &mut Caller,
) -> Option<RelayEnd> {
    let lost = Some(RelayEnd::Ended(Ending::Lost));
    match frame {
        None => lost,
        Some(Frame::Head(payload)) => match frame::decode_payload(&payload) {
            Ok(RunReply::NotRun(reason)) => Some(RelayEnd::Ended(Ending::NotRun(reason))),
            Ok(RunReply::Answer { status, headers }) => {
                let _ = mailbox.send(Command::Event(Event::AnswerStarted(parsed.arrival.id)));
                caller.start_answer(status, &headers);
                None
            }
            Err(_) => lost,
        },
        Some(Frame::KeepAlive) => None,
        Some(Frame::Data(bytes)) => {
            (!caller.send(bytes).await).then_some(RelayEnd::CallerDisconnected)
        }
        Some(Frame::End(payload)) => match frame::decode_payload(&payload) {
            Ok(RunEnd::Whole { output, .. }) => Some(RelayEnd::Ended(Ending::Whole { output })),
            Ok(_) => Some(RelayEnd::Ended(Ending::Failed)),
            Err(_) => lost,
        },
    }
}

struct Frames {
    response: Response<Incoming>,
    buffer: BytesMut,
}

impl Frames {
    /// Returns the next frame, or `None` if the connection broke before the end frame.
    async fn next(&mut self) -> Option<Frame> {
        loop {
            if let Some(frame) = Frame::decode(&mut self.buffer).ok()? {
                return Some(frame);
            }
            let chunk = self.response.body_mut().frame().await?.ok()?;
            self.buffer
                .extend_from_slice(&chunk.into_data().unwrap_or_default());
        }
    }
}
