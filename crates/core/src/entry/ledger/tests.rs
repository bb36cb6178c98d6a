//! Unit tests of the ledger, and a property test that compares several ledgers with one exact
//! bucket while messages are lost, duplicated and delayed and processes are suspended, restarted,
//! partitioned and reconfigured.

mod network;
mod step;

use std::time::Duration;

use proptest::prelude::*;

use network::{BURST, Network, RATE, Spend, fleet, team};

use super::{HANDOVER_TIME, LOAN_LIFETIME, Ledger, LoanId, LoanRequest, Shortfall};
use crate::name::HostName;
use crate::time::Timestamp;

fn host(index: usize) -> HostName {
    network::host(index)
}

/// Returns a ledger in a fleet of `hosts` after all its peers have confirmed the set.
fn opened_ledger(index: usize, hosts: &[usize], now: Timestamp) -> Ledger {
    let mut ledger = Ledger::new(host(index), 1_000 * index as u64);
    ledger.configure(&fleet(hosts, 1), now);
    for mut request in ledger.confirmation_requests(now) {
        let mut peer = Ledger::new(request.peer.clone(), 0);
        peer.configure(&fleet(hosts, 1), now);
        let name = request.peer.clone();
        request.peer = host(index);
        let loan = peer.lend(&request, None, now);
        request.peer = name;
        ledger.apply_answer(&request, Some(loan), now);
    }
    ledger
}

fn seconds(count: u64) -> Timestamp {
    Timestamp::from_millis(count * 1_000)
}

#[test]
fn share_starts_empty_and_fills_at_its_part_of_the_rate() {
    let mut ledger = opened_ledger(0, &[0, 1], Timestamp::ZERO);
    assert_eq!(
        ledger.take(&team(), RATE, Timestamp::ZERO),
        Err(Shortfall::Short {
            refill: Duration::from_secs(1)
        })
    );
    assert!(ledger.take(&team(), RATE / 2, seconds(1)).is_ok());
    assert!(ledger.take(&team(), 1, seconds(1)).is_err());
}

/// Guards against tokens that a lost answer would create if the loan were debited only afterwards.
#[test]
fn lender_debits_before_it_answers() {
    let now = seconds(100);
    let mut ledger = opened_ledger(0, &[0, 1], Timestamp::ZERO);
    let request = LoanRequest {
        team: Some(team()),
        need: BURST,
        limit: BURST,
        ..LoanRequest::empty(host(1))
    };
    assert_eq!(ledger.lend(&request, None, now).tokens, BURST / 2);
    assert_eq!(ledger.lend(&request, None, now).tokens, 0);
}

#[test]
fn rejects_late_and_duplicate_loans() {
    let now = seconds(100);
    for (delay, credited) in [(Duration::ZERO, true), (LOAN_LIFETIME, false)] {
        let mut ledger = opened_ledger(0, &[0, 1], now);
        let request = ledger.loan_requests(&team(), RATE, RATE, now).remove(0);
        let mut lender = opened_ledger(1, &[0, 1], Timestamp::ZERO);
        let loan = lender.lend(
            &LoanRequest {
                peer: host(0),
                ..request.clone()
            },
            None,
            now,
        );
        ledger.apply_answer(&request, Some(loan), now + delay);
        ledger.apply_answer(&request, Some(loan), now + delay);
        assert_eq!(ledger.take(&team(), RATE, now).is_ok(), credited);
        assert!(ledger.take(&team(), RATE, now).is_err(), "credited twice");
    }
}

#[test]
fn borrows_up_to_the_whole_burst() {
    let hosts: Vec<usize> = (0..5).collect();
    let mut network = Network::new(&hosts, 7).with_loss(0.0);
    network.advance(Duration::from_secs(60));
    assert!(network.spend(0, BURST, BURST));
    assert!(!network.spend(1, BURST / 2, BURST / 2));
    network.check();
}

/// Guards against two holders that both lack tokens and refuse each other's requests.
#[test]
fn one_of_two_short_holders_lends() {
    let now = seconds(1);
    let waiting = BURST / 2;
    let mut ledgers = [0, 1].map(|index| opened_ledger(index, &[0, 1], Timestamp::ZERO));
    let mut granted = 0;
    for index in 0..2 {
        let request = ledgers[index]
            .loan_requests(&team(), waiting, waiting, now)
            .remove(0);
        let request = LoanRequest {
            peer: host(index),
            ..request
        };
        granted += u64::from(ledgers[1 - index].lend(&request, Some(waiting), now).tokens > 0);
    }
    assert_eq!(granted, 1);
}

/// Guards against a team that floods its holders with loan requests once it has reached its limit.
#[test]
fn team_at_its_limit_sends_few_loan_requests() {
    let hosts: Vec<usize> = (0..4).collect();
    let mut network = Network::new(&hosts, 11).with_loss(0.0);
    network.advance(Duration::from_secs(60));
    let earlier = network.requests;
    for _ in 0..10_000 {
        network.spend_or_borrow(0, 40);
        network.advance(Duration::from_millis(1));
    }
    let (sent, calls) = (network.requests - earlier, 10_000);
    assert!(
        sent * 10 < calls,
        "{sent} loan requests for {calls} requests"
    );
    network.check();
}

/// Guards against a burst that is spent twice: once from the refilled bucket, once from the refund.
#[test]
fn late_refund_does_not_exceed_the_burst() {
    let mut ledger = opened_ledger(0, &[0], Timestamp::ZERO);
    let charge = ledger.take(&team(), BURST, seconds(100)).unwrap();
    let now = seconds(200);
    ledger.take(&team(), BURST, now).unwrap();
    ledger.refund(&team(), &charge, BURST, now);
    assert!(ledger.take(&team(), 1, now).is_err());
}

#[test]
fn early_refund_is_complete() {
    let mut ledger = opened_ledger(0, &[0], Timestamp::ZERO);
    let now = seconds(100);
    let charge = ledger.take(&team(), BURST, now).unwrap();
    ledger.refund(&team(), &charge, BURST - 1, now);
    assert!(ledger.take(&team(), BURST - 1, now).is_ok());
}

/// Guards against a new host that spends while the host it replaces may still spend.
#[test]
fn replacement_host_waits_for_the_handover() {
    let now = seconds(100);
    let mut kept = opened_ledger(0, &[0, 1], Timestamp::ZERO);
    kept.configure(&fleet(&[0, 2], 2), now);
    let mut added = Ledger::new(host(2), 9);
    added.configure(&fleet(&[0, 2], 2), now);
    let mut request = added.confirmation_requests(now).remove(0);
    request.peer = host(2);
    let loan = kept.lend(&request, None, now);
    request.peer = host(0);
    added.apply_answer(&request, Some(loan), now);
    let early = now + HANDOVER_TIME;
    assert!(added.take(&team(), 1, early).is_err());
    assert!(
        added
            .take(&team(), RATE / 2, early + Duration::from_secs(1))
            .is_ok()
    );
}

#[test]
fn added_host_starts_once_all_peers_confirm() {
    let now = seconds(100);
    let mut kept = opened_ledger(0, &[0, 1], Timestamp::ZERO);
    let mut other = opened_ledger(1, &[0, 1], Timestamp::ZERO);
    let mut added = Ledger::new(host(2), 9);
    added.configure(&fleet(&[0, 1, 2], 2), now);
    other.configure(&fleet(&[0, 1, 2], 2), now);
    for (informed, started, later) in [(false, false, seconds(101)), (true, true, seconds(102))] {
        if informed {
            kept.configure(&fleet(&[0, 1, 2], 2), now);
        }
        for (index, peer) in [&mut kept, &mut other].into_iter().enumerate() {
            let loan = peer.lend(&LoanRequest::empty(host(2)), None, now);
            added.apply_answer(&LoanRequest::empty(host(index)), Some(loan), now);
        }
        assert_eq!(added.take(&team(), RATE / 3, later).is_ok(), started);
    }
}

#[test]
fn loan_request_settles_earlier_loans() {
    let now = seconds(100);
    let mut ledger = opened_ledger(0, &[0, 1], Timestamp::ZERO);
    let request = |need, settled| LoanRequest {
        team: Some(team()),
        need,
        limit: need,
        settled,
        ..LoanRequest::empty(host(1))
    };
    let first = ledger.lend(&request(BURST / 2, Vec::new()), None, now);
    let later = now + LOAN_LIFETIME / 2;
    assert_eq!(
        ledger
            .lend(&request(1, vec![LoanId(1)]), None, later)
            .tokens,
        0
    );
    assert_eq!(
        ledger.lend(&request(1, vec![first.id]), None, later).tokens,
        0
    );
    let filled = later + LOAN_LIFETIME / 4;
    assert_eq!(ledger.lend(&request(1, Vec::new()), None, filled).tokens, 1);
}

/// A holder whose part shrank may have lent more than it now holds. If a new holder started at
/// once, its part would add to that loan and the team could exceed its burst.
#[test]
fn new_holder_waits_for_loans_of_a_larger_part() {
    let now = seconds(100);
    let mut ledger = opened_ledger(0, &[0], Timestamp::ZERO);
    let request = LoanRequest {
        team: Some(team()),
        need: BURST,
        limit: BURST,
        ..LoanRequest::empty(host(1))
    };
    assert_eq!(ledger.lend(&request, None, now).tokens, BURST);
    ledger.configure(&fleet(&[0, 4], 2), now);
    let query = LoanRequest::empty(host(4));
    let settling = ledger.lend(&query, None, now).settling;
    assert!(settling.is_some_and(|settling| settling >= LOAN_LIFETIME));
    let later = now + LOAN_LIFETIME * 2;
    assert_eq!(
        ledger.lend(&query, None, later).settling,
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
        network.advance(HANDOVER_TIME * 2);
        for step in steps {
            network.perform(step);
        }
        network.check();
    }
}

/// Guards against a check that accepts every sequence of spends.
#[test]
#[should_panic(expected = "over rate and burst")]
fn check_detects_an_excess() {
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
