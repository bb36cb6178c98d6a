//! Bytes of each message, encoded as the processes encode it, with its length prefix.

use std::time::Duration;

use comfreyhaven_core::agent::RunStatus;
use comfreyhaven_core::config_sync::Version;
use comfreyhaven_core::entry::{Loan, LoanId, Return};
use comfreyhaven_core::refusal::ReturnReason;
use comfreyhaven_core::request::PrefixDigest;
use comfreyhaven_core::{BootNonce, Generation, OfferId, RequestId};
use comfreyhaven_wire::frame::{Frame, RunHead};
use comfreyhaven_wire::service::{
    AgentControlRequest, AgentControlResponse, BorrowReply, BorrowRequest, Digest,
    PeerControlRequest, PeerControlResponse, ReserveReply,
};
use serde::Serialize;
use tarpc::{ClientMessage, Request, Response, context, trace};

use super::agent::reservation;
use crate::error::CapacityError;
use crate::fit::Point;
use crate::series::{Cost, Findings};

/// Bytes of the length before each control message.
const LENGTH_BYTES: usize = 4;

/// A call's number late in the life of a connection.
const CALL: u64 = 1 << 33;

pub fn run(findings: &mut Findings) -> Result<(), CapacityError> {
    let mut points = Vec::new();
    for prefixes in [0_u32, 2, 4, 8] {
        let mut reservation = reservation(u128::MAX);
        let digest = |block: u32| PrefixDigest(u64::MAX - u64::from(block));
        reservation.prefixes = (0..prefixes).map(digest).collect();
        points.push(Point {
            size: f64::from(prefixes),
            cost: asked(AgentControlRequest::Reserve { reservation })?,
        });
    }
    findings.add(Cost::ReservationBytes, "prefix digest", points);
    let mut points = Vec::new();
    for count in [4, 8, 12, 18] {
        let names = comfreyhaven_config::document_names().take(count);
        let version = Version {
            generation: Generation(u64::MAX),
            digest: u64::MAX,
        };
        let digest = Digest {
            from: ([10, 0, 0, 1], 7_000).into(),
            versions: names.map(|name| (name, version)).collect(),
        };
        let reply = PeerControlResponse::Exchange(digest.clone());
        points.push(Point {
            size: count as f64,
            cost: asked(PeerControlRequest::Exchange { digest })? + answered(reply)?,
        });
    }
    findings.add(Cost::ExchangeBytes, "document", points);
    figures(findings)
}

fn figures(findings: &mut Findings) -> Result<(), CapacityError> {
    let offer = OfferId {
        boot: BootNonce::new(u64::MAX),
        sequence: CALL,
    };
    let request = RequestId::new(u128::MAX);
    let offered = ReserveReply::Offered {
        offer,
        lifetime: Duration::from_millis(500),
    };
    let returned = ReserveReply::Returned(ReturnReason::EndpointDown);
    let cancel = ClientMessage::<AgentControlRequest>::Cancel {
        trace_context: trace::Context::default(),
        request_id: CALL,
    };
    let id = reservation(u128::MAX).id;
    let withdraw = asked(AgentControlRequest::Withdraw { id })?
        + answered(AgentControlResponse::Withdraw(()))?;
    let inquiry = asked(AgentControlRequest::Inquire { request, offer })?
        + answered(AgentControlResponse::Inquire(RunStatus::NeverRuns))?;
    let wish = BorrowRequest {
        borrower: "entry-000".parse()?,
        team: Some("team-0000".parse()?),
        need: 100_000,
        limit: 100_000,
        settled: vec![LoanId(u64::MAX)],
        returned: vec![Return {
            loan: LoanId(u64::MAX),
            number: CALL,
            tokens: 100_000,
        }],
    };
    let grant = BorrowReply {
        loan: Some(Loan {
            id: LoanId(u64::MAX),
            tokens: 100_000,
            left: 100_000,
            holders: u64::MAX,
            settling: Some(Duration::ZERO),
        }),
    };
    let borrow = asked(PeerControlRequest::Borrow { request: wish })?
        + answered(PeerControlResponse::Borrow(grant))?;
    findings.set(
        Cost::OfferBytes,
        answered(AgentControlResponse::Reserve(offered))?,
    );
    findings.set(
        Cost::ReturnBytes,
        answered(AgentControlResponse::Reserve(returned))?,
    );
    findings.set(Cost::CancelBytes, encoded(&cancel)?);
    findings.set(Cost::WithdrawBytes, withdraw);
    findings.set(Cost::InquiryBytes, inquiry);
    findings.set(Cost::BorrowBytes, borrow);
    findings.set(Cost::HeadBytes, head(request, offer)?);
    let empty = Frame::Data(Vec::new().into());
    findings.set(Cost::FrameBytes, empty.encode().len() as f64);
    Ok(())
}

fn head(request: RequestId, offer: OfferId) -> Result<f64, CapacityError> {
    let head = RunHead {
        request,
        offer,
        team: "team-0000".parse()?,
        method: "POST".to_owned(),
        target: "/v1/chat/completions".to_owned(),
        headers: vec![("content-type".to_owned(), "application/json".to_owned())],
    };
    Ok(rmp_serde::to_vec(&head)?.len() as f64 + 5.0)
}

fn asked<T: Serialize>(message: T) -> Result<f64, CapacityError> {
    encoded(&ClientMessage::Request(Request {
        context: context::current(),
        id: CALL,
        message,
    }))
}

fn answered<T: Serialize>(message: T) -> Result<f64, CapacityError> {
    encoded(&Response {
        request_id: CALL,
        message: Ok(message),
    })
}

fn encoded(message: &impl Serialize) -> Result<f64, CapacityError> {
    Ok((rmp_serde::to_vec(message)?.len() + LENGTH_BYTES) as f64)
}
