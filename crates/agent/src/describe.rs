//! Text of an agent's events and decisions, as `comfreyhaven explain` shows them.

use comfreyhaven_core::RequestId;
use comfreyhaven_core::agent::{Action, Event};

/// Returns the request that an event concerns, and the text of the event.
pub(crate) fn event(event: &Event) -> Option<(RequestId, String)> {
    Some(match event {
        Event::Reserve(reservation) => {
            let (id, entry, tier) = (reservation.id, &reservation.entry, reservation.tier);
            let alone = if reservation.alone {
                ", to run alone"
            } else {
                ""
            };
            let text = format!(
                "{entry} places a reservation, tier {tier}, attempt {}{alone}",
                id.attempt
            );
            (id.request, text)
        }
        Event::Withdraw(id) => (id.request, "withdrawn".to_owned()),
        Event::Claim { offer, request } => {
            (*request, format!("the body arrived under offer {offer}"))
        }
        Event::Inquire { request, .. } => (
            *request,
            "the entry asks whether the request ran".to_owned(),
        ),
        Event::FirstToken(request) => (*request, "first token".to_owned()),
        Event::Finished { request, end } => (*request, format!("the run ended: {end:?}")),
        _ => return None,
    })
}

/// Returns the request that a decision names, if any, and the text of the decision.
pub(crate) fn action(action: &Action) -> (Option<RequestId>, String) {
    match action {
        Action::Offer { id, offer, .. } => (Some(id.request), format!("offer slot {offer}")),
        Action::Return { id, reason } => (
            Some(id.request),
            format!("return the reservation: {reason}"),
        ),
        Action::Run(_) => (None, "run the body".to_owned()),
        Action::Reject { reason, .. } => (None, format!("reject the body: {reason}")),
        Action::Close(_) => (
            None,
            "close the body's connection without an answer".to_owned(),
        ),
        Action::Report { request, status } => {
            (Some(*request), format!("report the status: {status:?}"))
        }
    }
}
