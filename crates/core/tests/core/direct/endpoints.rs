//! Endpoints that are listed, leave, lapse, come back and are born again.

use std::time::Duration;

use comfreyhaven_core::direct::{Ending, Listing, Outcome, Placement, Reason, Scheduler, Ticket};

use super::{ask, at, listing, placed, scheduler};

fn place(scheduler: &mut Scheduler, ticket: u64, millis: u64) -> Option<Box<Placement>> {
    match scheduler.ask(ask(ticket, 0, at(millis)), at(millis)) {
        Some(Outcome::Placed(placement)) => Some(placement),
        Some(Outcome::Turned(_)) | None => None,
    }
}

#[test]
fn nothing_goes_to_an_endpoint_that_leaves_or_is_gone() {
    let mut scheduler = scheduler(1, &[]);
    scheduler.list(listing("x", 4), at(0));
    assert!(place(&mut scheduler, 1, 0).is_some());
    let leaving = Listing {
        leaving: true,
        sequence: 2,
        ..listing("x", 4)
    };
    scheduler.list(leaving, at(10));
    let outcome = scheduler.ask(ask(2, 0, at(20)), at(20));
    assert!(
        matches!(outcome, Some(Outcome::Turned(turned)) if turned.reason == Reason::NoEndpoint)
    );
    scheduler.list(listing("y", 4), at(30));
    scheduler.lapse("y", at(30));
    assert!(place(&mut scheduler, 3, 40).is_none());
}

/// Listings may be read in any order from pages and watches.
#[test]
fn an_older_listing_does_not_bring_an_endpoint_back() {
    let mut scheduler = scheduler(1, &[]);
    let leaving = Listing {
        leaving: true,
        sequence: 5,
        ..listing("x", 4)
    };
    scheduler.list(leaving, at(0));
    scheduler.list(listing("x", 4), at(10));
    assert!(place(&mut scheduler, 1, 20).is_none());
}

#[test]
fn an_endpoint_that_lapsed_is_used_until_the_list_can_be_trusted() {
    let mut scheduler = scheduler(1, &[]);
    scheduler.list(listing("x", 4), at(0));
    scheduler.list(listing("y", 4), at(0));
    scheduler.lapse("x", at(1_500));
    scheduler.lapse("y", at(1_500));
    assert!(place(&mut scheduler, 1, 100).is_some());
    let back = Listing {
        sequence: 2,
        ..listing("x", 4)
    };
    scheduler.list(back, at(200));
    assert!(scheduler.drop_lapsed(at(1_400)).is_empty());
    let dropped = scheduler.drop_lapsed(at(1_500));
    assert_eq!(dropped.iter().map(|id| &**id).collect::<Vec<_>>(), ["y"]);
    assert_eq!(
        placed(scheduler.ask(ask(2, 0, at(1_600)), at(1_600))).as_deref(),
        Some("x")
    );
}

#[test]
fn an_endpoint_born_again_under_its_name_has_nothing_of_before() {
    let mut scheduler = scheduler(1, &[]);
    scheduler.list(listing("x", 1), at(0));
    let before = place(&mut scheduler, 1, 0).expect("a place");
    assert!(
        place(&mut scheduler, 2, 10).is_none(),
        "its only place is taken"
    );
    // Whoever still waits would go first.
    scheduler.withdraw(super::SERVICE, Ticket(2));
    let again = Listing {
        born: 2,
        sequence: 1,
        cold: Duration::from_secs(3),
        ..listing("x", 1)
    };
    scheduler.list(again, at(20));
    let known = scheduler.book().get("x").expect("listed");
    assert_eq!(known.load().running, 0);
    assert!(known.is_cold(at(30)));
    assert!(place(&mut scheduler, 3, 30).is_some());
    // The run before it ends late and takes nothing from the new one.
    scheduler.end(&before.run, Ending::Broken, at(40));
    assert_eq!(
        scheduler.book().get("x").expect("listed").failures(at(50)),
        0.0
    );
    assert_eq!(scheduler.book().get("x").expect("listed").load().running, 1);
}

#[test]
fn a_closed_data_centre_gets_nothing_and_comes_back_cold() {
    let mut scheduler = scheduler(1, &[]);
    scheduler.list(listing("x", 4), at(0));
    scheduler.close(&"a".into(), true, at(0));
    assert!(place(&mut scheduler, 1, 10).is_none());
    scheduler.close(&"a".into(), false, at(1_000));
    assert!(
        scheduler
            .book()
            .get("x")
            .expect("listed")
            .is_cold(at(1_100))
    );
    assert!(place(&mut scheduler, 2, 1_100).is_some());
}

#[test]
fn an_endpoint_that_breaks_off_is_kept_away_from_and_tried_again() {
    let mut scheduler = scheduler(1, &[]);
    scheduler.list(listing("x", 9), at(0));
    scheduler.list(listing("y", 9), at(0));
    let broken = place(&mut scheduler, 1, 0).expect("a place");
    let bad = broken.listing.id.to_string();
    scheduler.end(&broken.run, Ending::Broken, at(10));
    for ticket in 2..8 {
        let outcome = scheduler.ask(ask(ticket, 0, at(20)), at(20));
        assert_ne!(placed(outcome).as_deref(), Some(&*bad));
    }
    assert!(
        !scheduler
            .book()
            .get(&bad)
            .expect("listed")
            .is_suspect(at(3_000))
    );
}

/// The time to a first byte is learnt, so that an endpoint four times as slow gets the rest.
#[test]
fn a_slow_endpoint_is_learnt_from_what_it_does() {
    let mut scheduler = scheduler(1, &[]);
    scheduler.list(listing("fast", 40), at(0));
    scheduler.list(listing("slow", 40), at(0));
    for ticket in 0..60 {
        let begun = ticket * 1_000;
        let mut run = place(&mut scheduler, ticket, begun).expect("a place").run;
        let first = if &*run.endpoint == "fast" { 30 } else { 120 };
        scheduler.begin(&mut run, at(begun + first));
        scheduler.end(&run, Ending::Whole, at(begun + 500));
    }
    let time = |id: &str| scheduler.book().get(id).expect("listed").idle_byte(1_000);
    assert!(
        time("slow") > 1.5 * time("fast"),
        "{} {}",
        time("slow"),
        time("fast")
    );
    assert_eq!(
        placed(scheduler.ask(ask(99, 0, at(90_000)), at(90_000))).as_deref(),
        Some("fast")
    );
}
