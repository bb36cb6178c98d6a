use super::{HostStatus, ListedHost, Listing};

fn line(name: &str, status: HostStatus) -> ListedHost {
    ListedHost {
        name: name.to_owned(),
        status,
    }
}

#[test]
fn only_an_explicit_word_changes_anything() {
    let mut listing = Listing::default();
    assert!(!listing.observe(&[line("engine-1", HostStatus::Live)]));
    assert!(!listing.is_leaving("engine-1"));
    assert!(listing.observe(&[line("engine-1", HostStatus::Leaving)]));
    assert!(!listing.observe(&[line("engine-2", HostStatus::Live)]));
    assert!(listing.is_leaving("engine-1"));
    assert!(listing.observe(&[line("engine-1", HostStatus::Live)]));
    assert!(!listing.is_leaving("engine-1"));
}
