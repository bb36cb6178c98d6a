//! Events and decisions of an entry in words, for `explain`.

use comfreyhaven_core::RequestId;
use comfreyhaven_core::entry::{Action, Event};

/// The request that an event is about, and the event in words.
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
        } => (id.request, format!("{endpoint} has no place: {reason}")),
        Event::Unreachable { id, endpoint } => (id.request, format!("{endpoint} is unreachable")),
        Event::AnswerStarted(request) => (*request, "the answer begins".to_owned()),
        Event::Ended { request, ending } => (*request, format!("the run ended: {ending:?}")),
        Event::Inquired { request, status } => (*request, format!("the agent says: {status:?}")),
        Event::CallerDisconnected(request) => (*request, "the caller is gone".to_owned()),
        _ => return None,
    })
}

/// A decision in words.
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
        Action::Withdraw { endpoint, .. } => format!("withdraw at {endpoint}"),
        Action::Release {
            endpoint, offer, ..
        } => format!("decline slot {offer} of {endpoint}"),
        Action::Dispatch {
            endpoint, offer, ..
        } => format!("send to {endpoint} under {offer}"),
        Action::Inquire { endpoint, .. } => format!("ask {endpoint} whether it ran"),
        Action::Refuse { refusal, .. } => format!("refuse: {refusal}"),
        Action::Close(_) => "close".to_owned(),
        Action::Borrow(_) | Action::Lend(_) | Action::Warn { .. } => return None,
    })
}
