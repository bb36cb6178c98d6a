//! Reserves a slot at an endpoint before a request is sent, if the placement asks for it.
//!
//! An endpoint without a free slot says so at once, and the request looks for another one. Without
//! the reservation it would wait in the endpoint's own queue, which knows no urgency.

use comfreyhaven_core::direct::Placement;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, StatusCode, Uri};

use super::Dispatch;
use crate::clock;
use crate::endpoint_call::CallKind;
use crate::upstream::SendError;

/// Why no slot was reserved.
pub(super) enum NotReserved {
    /// The endpoint has no free slot.
    Full,
    /// Another endpoint answers at the address.
    Misdirected,
    /// The endpoint could not be reached.
    Failed(SendError),
}

impl Dispatch {
    /// Reserves a slot. Returns the reservation's id, or `None` if the request is to be sent
    /// without one.
    pub(super) async fn reserve(
        &self,
        placement: &Placement,
    ) -> Result<Option<String>, NotReserved> {
        if placement.reservation.is_zero() {
            return Ok(None);
        }
        let call = self.reservation_call(placement);
        let id = self.incoming.head.id_text();
        let calling = self
            .context
            .call(&placement.record, call, CallKind::Reservation, id);
        let limit = self.context.reservations.get().limit();
        let began = clock::now();
        let answered = tokio::time::timeout(limit, calling).await;
        let mut reservations = self.context.reservations.get();
        match &answered {
            Ok(Ok(_)) => reservations.record_reaction(clock::now().since(began)),
            Ok(Err(_)) => {}
            Err(_) => reservations.record_silence(),
        }
        self.context.reservations.set(reservations);
        let answered = answered.unwrap_or(Err(SendError::ConnectTimeout(limit)));
        let (status, body) = answered.map_err(NotReserved::Failed)?;
        match status {
            StatusCode::OK => Ok((self.context.dialect.reservation.decode)(&body)),
            StatusCode::SERVICE_UNAVAILABLE => Err(NotReserved::Full),
            StatusCode::MISDIRECTED_REQUEST => Err(NotReserved::Misdirected),
            // The endpoint does not know the call.
            _ => Ok(None),
        }
    }

    fn reservation_call(&self, placement: &Placement) -> Request<Full<bytes::Bytes>> {
        let call = &self.context.dialect.reservation;
        let head = &self.incoming.head;
        let prompt = head.cost.map_or(0, |cost| u64::from(cost.prompt));
        let tokens = (prompt + head.length).max(placement.run.held);
        let valid_ms = clock::millis(placement.reservation);
        let body = (call.encode)(tokens, valid_ms);
        let mut request = Request::new(Full::new(body.into()));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static(call.path);
        let headers = request.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        self.context.set_recipient(headers, &placement.record);
        request
    }
}
