//! Text of an entry's events and decisions, as `comfreyhaven explain` shows them.

use comfreyhaven_core::RequestId;
use comfreyhaven_core::entry::{Action, Event};

/// Returns the request that an event concerns, and the text of the event.
pub(crate) fn event(event: &Event) -> Option<(RequestId, String)> {
    Some(match event {
        Event::Arrived(arrival) => {
            let (route, cost) = (&arrival.route, arrival.cost.total());
            (
                arrival.id,
                format!("arrived on route {route}, {cost} tokens"),
            )
        }
        Event::Offered {
            id,
            endpoint,
            offer,
        } => (id.request, format!("{endpoint} offers slot {offer}")),
        Event::Returned {
            id,
            endpoint,
            reason,
        } => (
            id.request,
            format!("{endpoint} returned the reservation: {reason}"),
        ),
        Event::Unreachable { id, endpoint } => (id.request, format!("{endpoint} is unreachable")),
        Event::AnswerStarted(request) => (*request, "the answer started".to_owned()),
        Event::Ended { request, ending } => (*request, format!("the run ended: {ending:?}")),
        Event::Inquired { request, status } => (*request, format!("the agent reports: {status:?}")),
        Event::CallerDisconnected(request) => (*request, "the caller disconnected".to_owned()),
        _ => return None,
    })
}

/// Returns the text of a decision.
pub(crate) fn action(action: &Action) -> Option<String> {
    Some(match action {
        Action::Reserve {
            endpoint,
            reservation,
        } => {
            let (tier, attempt) = (reservation.tier, reservation.id.attempt);
            let alone = if reservation.alone {
                ", to run alone"
            } else {
                ""
            };
            format!("reserve at {endpoint}, tier {tier}, attempt {attempt}{alone}")
        }
        Action::Withdraw { endpoint, .. } => format!("withdraw the reservation at {endpoint}"),
        Action::Release {
            endpoint, offer, ..
        } => format!("decline slot {offer} at {endpoint}"),
        Action::Dispatch {
            endpoint, offer, ..
        } => format!("send to {endpoint} under offer {offer}"),
        Action::Inquire { endpoint, .. } => format!("ask {endpoint} whether the request ran"),
        Action::Refuse { refusal, .. } => format!("refuse: {refusal}"),
        Action::Close(_) => "close".to_owned(),
        Action::Borrow(_) | Action::Lend(_) | Action::Warn { .. } => return None,
    })
}
