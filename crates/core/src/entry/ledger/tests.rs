//! Several ledgers under loss, duplication, delay, pause, restart, partition and reconfiguration,
//! against one exact bucket.

mod network;
mod step;

use std::time::Duration;

use proptest::prelude::*;

use network::{BURST, Network, RATE, Spend, fleet, team};

use super::{Ask, HANDOVER, LOAN_LIFETIME, Ledger, LoanId, Shortfall};
use crate::name::HostName;
use crate::time::Timestamp;

fn host(index: usize) -> HostName {
    network::host(index)
}

/// A ledger of a fleet of `hosts`, whose peers have all confirmed the set.
fn opened(index: usize, hosts: &[usize], now: Timestamp) -> Ledger {
    let mut ledger = Ledger::new(host(index), 1_000 * index as u64);
    ledger.configure(&fleet(hosts, 1), now);
    for mut ask in ledger.confirmations(now) {
        let mut peer = Ledger::new(ask.peer.clone(), 0);
        peer.configure(&fleet(hosts, 1), now);
        let name = ask.peer.clone();
        ask.peer = host(index);
        let loan = peer.lend(&ask, None, now);
        ask.peer = name;
        ledger.lent(&ask, Some(loan), now);
    }
    ledger
}

fn seconds(count: u64) -> Timestamp {
    Timestamp::from_millis(count * 1_000)
}

#[test]
fn a_share_starts_empty_and_fills_at_its_part_of_the_rate() {
    let mut ledger = opened(0, &[0, 1], Timestamp::ZERO);
    assert_eq!(
        ledger.take(&team(), RATE, Timestamp::ZERO),
        Err(Shortfall::Short {
            refill: Duration::from_secs(1)
        })
    );
    assert!(ledger.take(&team(), RATE / 2, seconds(1)).is_ok());
    assert!(ledger.take(&team(), 1, seconds(1)).is_err());
}

#[test]
fn a_lender_debits_before_it_answers_so_that_a_lost_answer_makes_nothing() {
    let now = seconds(100);
    let mut ledger = opened(0, &[0, 1], Timestamp::ZERO);
    let ask = Ask {
        team: Some(team()),
        need: BURST,
        most: BURST,
        ..Ask::question(host(1))
    };
    assert_eq!(ledger.lend(&ask, None, now).tokens, BURST / 2);
    assert_eq!(ledger.lend(&ask, None, now).tokens, 0);
}

#[test]
fn a_loan_that_arrives_too_late_is_void() {
    let now = seconds(100);
    for (delay, credited) in [(Duration::ZERO, true), (LOAN_LIFETIME, false)] {
        let mut ledger = opened(0, &[0, 1], now);
        let ask = ledger.asks(&team(), RATE, RATE, now).remove(0);
        let mut lender = opened(1, &[0, 1], Timestamp::ZERO);
        let loan = lender.lend(
            &Ask {
                peer: host(0),
                ..ask.clone()
            },
            None,
            now,
        );
        ledger.lent(&ask, Some(loan), now + delay);
        ledger.lent(&ask, Some(loan), now + delay);
        assert_eq!(ledger.take(&team(), RATE, now).is_ok(), credited);
        assert!(ledger.take(&team(), RATE, now).is_err(), "credited twice");
    }
}

#[test]
fn a_request_larger_than_a_share_borrows_up_to_the_whole_burst() {
    let hosts: Vec<usize> = (0..5).collect();
    let mut network = Network::new(&hosts, 7).with_loss(0.0);
    network.advance(Duration::from_secs(60));
    assert!(network.spend(0, BURST, BURST));
    assert!(!network.spend(1, BURST / 2, BURST / 2));
    network.check();
}

#[test]
fn two_short_holders_do_not_refuse_each_other() {
    let now = seconds(1);
    let waiting = BURST / 2;
    let mut ledgers = [0, 1].map(|index| opened(index, &[0, 1], Timestamp::ZERO));
    let mut granted = 0;
    for index in 0..2 {
        let ask = ledgers[index]
            .asks(&team(), waiting, waiting, now)
            .remove(0);
        let ask = Ask {
            peer: host(index),
            ..ask
        };
        granted += u64::from(ledgers[1 - index].lend(&ask, Some(waiting), now).tokens > 0);
    }
    assert_eq!(granted, 1);
}

#[test]
fn a_team_at_its_limit_does_not_flood_its_holders() {
    let hosts: Vec<usize> = (0..4).collect();
    let mut network = Network::new(&hosts, 11).with_loss(0.0);
    network.advance(Duration::from_secs(60));
    let earlier = network.asks;
    for _ in 0..10_000 {
        network.spend_or_ask(0, 40);
        network.advance(Duration::from_millis(1));
    }
    let (asks, calls) = (network.asks - earlier, 10_000);
    assert!(asks * 10 < calls, "{asks} asks for {calls} requests");
    network.check();
}

#[test]
fn a_late_refund_does_not_let_a_burst_be_spent_twice() {
    let mut ledger = opened(0, &[0], Timestamp::ZERO);
    let charge = ledger.take(&team(), BURST, seconds(100)).unwrap();
    let now = seconds(200);
    ledger.take(&team(), BURST, now).unwrap();
    ledger.refund(&team(), &charge, BURST, now);
    assert!(ledger.take(&team(), 1, now).is_err());
}

#[test]
fn an_early_refund_is_whole() {
    let mut ledger = opened(0, &[0], Timestamp::ZERO);
    let now = seconds(100);
    let charge = ledger.take(&team(), BURST, now).unwrap();
    ledger.refund(&team(), &charge, BURST - 1, now);
    assert!(ledger.take(&team(), BURST - 1, now).is_ok());
}

#[test]
fn a_host_that_replaces_another_waits_for_it() {
    let now = seconds(100);
    let mut kept = opened(0, &[0, 1], Timestamp::ZERO);
    kept.configure(&fleet(&[0, 2], 2), now);
    let mut added = Ledger::new(host(2), 9);
    added.configure(&fleet(&[0, 2], 2), now);
    let mut ask = added.confirmations(now).remove(0);
    ask.peer = host(2);
    let loan = kept.lend(&ask, None, now);
    ask.peer = host(0);
    added.lent(&ask, Some(loan), now);
    let early = now + HANDOVER;
    assert!(added.take(&team(), 1, early).is_err());
    assert!(
        added
            .take(&team(), RATE / 2, early + Duration::from_secs(1))
            .is_ok()
    );
}

#[test]
fn an_added_host_begins_once_the_others_know_it() {
    let now = seconds(100);
    let mut kept = opened(0, &[0, 1], Timestamp::ZERO);
    let mut other = opened(1, &[0, 1], Timestamp::ZERO);
    let mut added = Ledger::new(host(2), 9);
    added.configure(&fleet(&[0, 1, 2], 2), now);
    other.configure(&fleet(&[0, 1, 2], 2), now);
    for (known, begun, later) in [(false, false, seconds(101)), (true, true, seconds(102))] {
        if known {
            kept.configure(&fleet(&[0, 1, 2], 2), now);
        }
        for (index, peer) in [&mut kept, &mut other].into_iter().enumerate() {
            let loan = peer.lend(&Ask::question(host(2)), None, now);
            added.lent(&Ask::question(host(index)), Some(loan), now);
        }
        assert_eq!(added.take(&team(), RATE / 3, later).is_ok(), begun);
    }
}

#[test]
fn an_ask_settles_earlier_loans() {
    let now = seconds(100);
    let mut ledger = opened(0, &[0, 1], Timestamp::ZERO);
    let ask = |need, settled| Ask {
        team: Some(team()),
        need,
        most: need,
        settled,
        ..Ask::question(host(1))
    };
    let first = ledger.lend(&ask(BURST / 2, Vec::new()), None, now);
    let later = now + LOAN_LIFETIME / 2;
    assert_eq!(ledger.lend(&ask(1, vec![LoanId(1)]), None, later).tokens, 0);
    assert_eq!(ledger.lend(&ask(1, vec![first.id]), None, later).tokens, 0);
    let filled = later + LOAN_LIFETIME / 4;
    assert_eq!(ledger.lend(&ask(1, Vec::new()), None, filled).tokens, 1);
}

/// A holder whose part shrank may have lent more than it now holds. A new holder that began at once
/// would add its own part to that loan.
#[test]
fn a_new_holder_waits_for_loans_of_a_larger_part() {
    let now = seconds(100);
    let mut ledger = opened(0, &[0], Timestamp::ZERO);
    let ask = Ask {
        team: Some(team()),
        need: BURST,
        most: BURST,
        ..Ask::question(host(1))
    };
    assert_eq!(ledger.lend(&ask, None, now).tokens, BURST);
    ledger.configure(&fleet(&[0, 4], 2), now);
    let question = Ask::question(host(4));
    let settling = ledger.lend(&question, None, now).settling;
    assert!(settling.is_some_and(|settling| settling >= LOAN_LIFETIME));
    let later = now + LOAN_LIFETIME * 2;
    assert_eq!(
        ledger.lend(&question, None, later).settling,
        Some(Duration::ZERO)
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn no_window_exceeds_rate_and_burst(
        seed: u64,
        count in 1..5_usize,
        loss in 0.0..0.5_f64,
        steps in prop::collection::vec(step::step(), 1..300),
    ) {
        let hosts: Vec<usize> = (0..count).collect();
        let mut network = Network::new(&hosts, seed).with_loss(loss);
        network.advance(HANDOVER * 2);
        for step in steps {
            network.perform(step);
        }
        network.check();
    }
}

/// The check itself must find an excess.
#[test]
#[should_panic(expected = "over rate and burst")]
fn the_check_finds_an_excess() {
    let mut network = Network::new(&[0], 1);
    network.spends.push(Spend {
        time: seconds(5),
        tokens: BURST,
    });
    network.spends.push(Spend {
        time: seconds(5),
        tokens: 1,
    });
    network.check();
}
