//! Events and decisions of an agent in words, for `explain`.

use comfreyhaven_core::RequestId;
use comfreyhaven_core::agent::{Action, Event};

/// The request that an event is about, and the event in words.
pub(crate) fn event(event: &Event) -> Option<(RequestId, String)> {
    Some(match event {
        Event::Reserve(reservation) => {
            let (id, entry, tier) = (reservation.id, &reservation.entry, reservation.tier);
            let alone = if reservation.alone {
                ", to run alone"
            } else {
                ""
            };
            let what = format!(
                "{entry} reserves, tier {tier}, attempt {}{alone}",
                id.attempt
            );
            (id.request, what)
        }
        Event::Withdraw(id) => (id.request, "withdrawn".to_owned()),
        Event::Claim { offer, request } => (*request, format!("the body came under {offer}")),
        Event::Inquire { request, .. } => (*request, "the entry asks whether it ran".to_owned()),
        Event::FirstToken(request) => (*request, "first token".to_owned()),
        Event::Finished { request, end } => (*request, format!("the run ended: {end:?}")),
        _ => return None,
    })
}

/// A decision in words, and the request if the decision names it.
pub(crate) fn action(action: &Action) -> (Option<RequestId>, String) {
    match action {
        Action::Offer { id, offer, .. } => (Some(id.request), format!("offer slot {offer}")),
        Action::Return { id, reason } => (Some(id.request), format!("give back: {reason}")),
        Action::Run(_) => (None, "run".to_owned()),
        Action::Reject { reason, .. } => (None, format!("do not run: {reason}")),
        Action::Close(_) => (None, "close without an answer".to_owned()),
        Action::Report { request, status } => (Some(*request), format!("report: {status:?}")),
    }
}
