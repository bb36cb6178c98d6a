//! Sends one body to its agent under an offer, and passes the answer on to the caller.

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

use crate::caller::Caller;
use crate::command::Command;
use crate::intake::Intake;
use crate::links::Links;

/// How a relay ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Relayed {
    /// The agent's word, or its loss.
    Ended(Ending),
    /// The caller went away.
    CallerGone,
}

/// Sends the body and passes on frames until the answer ends or the caller is gone.
pub(crate) async fn run(
    intake: &Intake,
    endpoint: &EndpointName,
    offer: OfferId,
    links: &Links,
    mailbox: &Mailbox<Command>,
    caller: &mut Caller,
) -> Relayed {
    let Some((mut connection, request)) = connect(intake, endpoint, offer, links).await else {
        return Relayed::Ended(Ending::NotSent);
    };
    let sent = tokio::select! {
        sent = timeout(FRAME_TIMEOUT, connection.sender.send_request(request)) => sent,
        () = caller.gone() => return Relayed::CallerGone,
    };
    let Ok(Ok(response)) = sent else {
        return Relayed::Ended(Ending::Lost);
    };
    let mut frames = Frames {
        response,
        buffer: BytesMut::new(),
    };
    loop {
        let frame = tokio::select! {
            frame = timeout(FRAME_TIMEOUT, frames.next()) => frame.ok().flatten(),
            () = caller.gone() => return Relayed::CallerGone,
        };
        match pass(frame, intake, mailbox, caller).await {
            Some(relayed) => return relayed,
            None => continue,
        }
    }
}

async fn connect(
    intake: &Intake,
    endpoint: &EndpointName,
    offer: OfferId,
    links: &Links,
) -> Option<(HttpConnection<Full<Bytes>>, Request<Full<Bytes>>)> {
    let target = links.traffic(endpoint)?;
    let body = Full::new(body(intake, offer)?);
    let mut request = Request::new(body);
    *request.method_mut() = Method::POST;
    *request.uri_mut() = hyper::Uri::from_static("/run");
    request
        .headers_mut()
        .insert(HOST, HeaderValue::from_str(&target.to_string()).ok()?);
    match dial::http(links.source(), target).await {
        Ok(connection) => Some((connection, request)),
        Err(error) => {
            log::warn!(request:% = intake.arrival.id, team:% = intake.team; "{endpoint}: {error}");
            None
        }
    }
}

fn body(intake: &Intake, offer: OfferId) -> Option<Bytes> {
    let head = RunHead {
        request: intake.arrival.id,
        offer,
        team: intake.team.parse().ok()?,
        method: intake.method.clone(),
        target: intake.target.clone(),
        headers: intake.headers.clone(),
    };
    let head = Frame::head(&head).ok()?.encode();
    Some([&head[..], &intake.body[..]].concat().into())
}

/// Handles one frame. Returns how the relay ended, if it did.
async fn pass(
    frame: Option<Frame>,
    intake: &Intake,
    mailbox: &Mailbox<Command>,
    caller: &mut Caller,
) -> Option<Relayed> {
    let lost = Some(Relayed::Ended(Ending::Lost));
    match frame {
        None => lost,
        Some(Frame::Head(payload)) => match frame::decode_payload(&payload) {
            Ok(RunReply::NotRun(reason)) => Some(Relayed::Ended(Ending::NotRun(reason))),
            Ok(RunReply::Answer { status, headers }) => {
                let _ = mailbox.send(Command::Event(Event::AnswerStarted(intake.arrival.id)));
                caller.begin(status, &headers);
                None
            }
            Err(_) => lost,
        },
        Some(Frame::KeepAlive) => None,
        Some(Frame::Data(bytes)) => (!caller.send(bytes).await).then_some(Relayed::CallerGone),
        Some(Frame::End(payload)) => match frame::decode_payload(&payload) {
            Ok(RunEnd::Whole { output, .. }) => Some(Relayed::Ended(Ending::Whole { output })),
            Ok(_) => Some(Relayed::Ended(Ending::Failed)),
            Err(_) => lost,
        },
    }
}

struct Frames {
    response: Response<Incoming>,
    buffer: BytesMut,
}

impl Frames {
    /// The next frame, or `None` if the answer broke off before its end frame.
    async fn next(&mut self) -> Option<Frame> {
        loop {
            if let Some(frame) = Frame::decode(&mut self.buffer).ok()? {
                return Some(frame);
            }
            let piece = self.response.body_mut().frame().await?.ok()?;
            self.buffer
                .extend_from_slice(&piece.into_data().unwrap_or_default());
        }
    }
}
