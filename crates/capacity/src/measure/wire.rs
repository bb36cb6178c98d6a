//! Size of each message in the encoding that the processes use, including its length prefix.

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
use crate::findings::{Cost, Findings};
use crate::fit::Point;

/// Size of the length prefix of a control message in bytes.
const LENGTH_BYTES: usize = 4;

/// Identifier of a call late in the life of a connection, which takes more bytes than an early one.
const CALL_ID: u64 = 1 << 33;

pub fn run(findings: &mut Findings) -> Result<(), CapacityError> {
    let mut points = Vec::new();
    for prefixes in [0_u32, 2, 4, 8] {
        let mut reservation = reservation(u128::MAX);
        let digest = |block: u32| PrefixDigest(u64::MAX - u64::from(block));
        reservation.prefixes = (0..prefixes).map(digest).collect();
        points.push(Point {
            size: f64::from(prefixes),
            cost: request_bytes(AgentControlRequest::Reserve { reservation })?,
        });
    }
    findings.add_slope(Cost::ReservationBytes, "prefix digest", points);
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
            cost: request_bytes(PeerControlRequest::Exchange { digest })? + reply_bytes(reply)?,
        });
    }
    findings.add_slope(Cost::ExchangeBytes, "document", points);
    figures(findings)
}

fn figures(findings: &mut Findings) -> Result<(), CapacityError> {
    let offer = OfferId {
        boot: BootNonce::new(u64::MAX),
        sequence: CALL_ID,
    };
    let request = RequestId::new(u128::MAX);
    let offered = ReserveReply::Offered {
        offer,
        lifetime: Duration::from_millis(500),
    };
    let returned = ReserveReply::Returned(ReturnReason::EndpointDown);
    let cancel = ClientMessage::<AgentControlRequest>::Cancel {
        trace_context: trace::Context::default(),
        request_id: CALL_ID,
    };
    let id = reservation(u128::MAX).id;
    let withdraw = request_bytes(AgentControlRequest::Withdraw { id })?
        + reply_bytes(AgentControlResponse::Withdraw(()))?;
    let inquiry = request_bytes(AgentControlRequest::Inquire { request, offer })?
        + reply_bytes(AgentControlResponse::Inquire(RunStatus::NeverRuns))?;
    let loan_request = BorrowRequest {
        borrower: "entry-000".parse()?,
        team: Some("team-0000".parse()?),
        need: 100_000,
        limit: 100_000,
        settled: vec![LoanId(u64::MAX)],
        returned: vec![Return {
            loan: LoanId(u64::MAX),
            number: CALL_ID,
            tokens: 100_000,
        }],
    };
    let loan_reply = BorrowReply {
        loan: Some(Loan {
            id: LoanId(u64::MAX),
            tokens: 100_000,
            left: 100_000,
            holders: u64::MAX,
            settling: Some(Duration::ZERO),
        }),
    };
    let loan_bytes = request_bytes(PeerControlRequest::Borrow {
        request: loan_request,
    })? + reply_bytes(PeerControlResponse::Borrow(loan_reply))?;
    findings.add_figure(
        Cost::OfferBytes,
        reply_bytes(AgentControlResponse::Reserve(offered))?,
    );
    findings.add_figure(
        Cost::ReturnBytes,
        reply_bytes(AgentControlResponse::Reserve(returned))?,
    );
    findings.add_figure(Cost::CancelBytes, encoded_bytes(&cancel)?);
    findings.add_figure(Cost::WithdrawBytes, withdraw);
    findings.add_figure(Cost::InquiryBytes, inquiry);
    findings.add_figure(Cost::BorrowBytes, loan_bytes);
    findings.add_figure(Cost::HeadBytes, head_bytes(request, offer)?);
    let empty = Frame::Data(Vec::new().into());
    findings.add_figure(Cost::FrameBytes, empty.encode().len() as f64);
    Ok(())
}

fn head_bytes(request: RequestId, offer: OfferId) -> Result<f64, CapacityError> {
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

fn request_bytes<T: Serialize>(message: T) -> Result<f64, CapacityError> {
    encoded_bytes(&ClientMessage::Request(Request {
        context: context::current(),
        id: CALL_ID,
        message,
    }))
}

fn reply_bytes<T: Serialize>(message: T) -> Result<f64, CapacityError> {
    encoded_bytes(&Response {
        request_id: CALL_ID,
        message: Ok(message),
    })
}

fn encoded_bytes(message: &impl Serialize) -> Result<f64, CapacityError> {
    Ok((rmp_serde::to_vec(message)?.len() + LENGTH_BYTES) as f64)
}
