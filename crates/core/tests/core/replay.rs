//! Replays recorded events of an agent and compares its actions with snapshots.
//!
//! A line of a trace has a time in milliseconds, an event and its fields. The snapshot of a trace
//! lists the actions after each line.

use std::collections::HashMap;
use std::fmt::Write;
use std::time::Duration;

use comfreyhaven_core::agent::{Action, Agent, Event, RunEnd};
use comfreyhaven_core::fleet::DataCentreState;
use comfreyhaven_core::{BootNonce, Cost, OfferId, RequestId, Timestamp};

use crate::support::{endpoint_name, fleet, reservation, reservation_id};

struct Line<'a> {
    time: Timestamp,
    event: &'a str,
    words: Vec<&'a str>,
    fields: HashMap<&'a str, u64>,
}

fn parse(text: &str) -> Line<'_> {
    let mut words = text.split_whitespace();
    let millis = words.next().unwrap().parse().unwrap();
    let event = words.next().unwrap();
    let words: Vec<_> = words.collect();
    let fields = words.iter().filter_map(|word| word.split_once('='));
    let fields = fields.map(|(name, value)| (name, value.parse().unwrap()));
    let fields = fields.collect();
    Line {
        time: Timestamp::from_millis(millis),
        event,
        words,
        fields,
    }
}

fn event(line: &Line<'_>, offers: &HashMap<RequestId, OfferId>) -> Event {
    let field = |name| line.fields.get(name).copied().unwrap_or_default();
    let request = RequestId::new(u128::from(field("request")));
    let id = reservation_id(u128::from(field("request")), field("attempt") as u32);
    match line.event {
        "configure" if line.words == ["out"] => Event::Configured(fleet(1, DataCentreState::Out)),
        "configure" => Event::Configured(fleet(1, DataCentreState::In)),
        "up" => Event::EndpointUp {
            boot: field("boot"),
            running: field("running") as u32,
        },
        "down" => Event::EndpointDown,
        "reserve" => {
            let cost = Cost {
                prompt: field("tokens") as u32,
                output: 0,
            };
            let mut wanted = reservation(id, field("tier") as u8, field("team") as usize, cost);
            wanted.remaining = Duration::from_millis(field("remaining"));
            Event::Reserve(wanted)
        }
        "withdraw" => Event::Withdraw(id),
        "claim" => Event::Claim {
            offer: offers[&request],
            request,
        },
        "inquire" => Event::Inquire {
            offer: offers[&request],
            request,
        },
        "first" => Event::FirstToken(request),
        "finish" if line.words.contains(&"broken") => Event::Finished {
            request,
            end: RunEnd::Broken,
        },
        "finish" => {
            let end = RunEnd::Whole {
                output: 10,
                prefill: 10,
            };
            Event::Finished { request, end }
        }
        other => panic!("unknown event {other}"),
    }
}

/// Lists the actions after each line of a trace and after the ticks between lines.
fn replay(trace: &str) -> String {
    let mut agent = Agent::new(endpoint_name(0), BootNonce::new(1));
    let (mut offers, mut text) = (HashMap::new(), String::new());
    let lines = trace.lines().filter(|line| !line.starts_with('#'));
    for line in lines {
        let parsed = parse(line);
        while agent.wake() <= parsed.time {
            let time = agent.wake();
            let actions = agent.handle(Event::Tick, time);
            write_actions(&mut text, &format!("{time} tick"), actions, &mut offers);
        }
        let event = event(&parsed, &offers);
        let actions = agent.handle(event, parsed.time);
        write_actions(&mut text, line, actions, &mut offers);
    }
    text
}

fn write_actions(
    text: &mut String,
    line: &str,
    actions: Vec<Action>,
    offers: &mut HashMap<RequestId, OfferId>,
) {
    writeln!(text, "{line}").unwrap();
    for action in actions {
        let shown = match action {
            Action::Offer { id, offer, .. } => {
                offers.insert(id.request, offer);
                format!("offer {} to {id}", offer.sequence)
            }
            Action::Return { id, reason } => format!("return {id}: {reason}"),
            Action::Run(offer) => format!("run under {}", offer.sequence),
            Action::Reject { offer, reason } => format!("reject {}: {reason}", offer.sequence),
            Action::Close(offer) => format!("close {}", offer.sequence),
            Action::Report { request, status } => format!("report {request}: {status:?}"),
        };
        writeln!(text, "    {shown}").unwrap();
    }
}

#[test]
fn overload_is_served_by_tier_and_team() {
    insta::assert_snapshot!(replay(include_str!("traces/overload.trace")));
}

#[test]
fn a_lost_body_never_runs_after_an_inquiry() {
    insta::assert_snapshot!(replay(include_str!("traces/lost_body.trace")));
}

#[test]
fn a_closed_data_centre_gets_no_requests_and_returns_cold() {
    insta::assert_snapshot!(replay(include_str!("traces/centre_out.trace")));
}
