use super::{HostList, HostStatus, ListedHost};

fn item(name: &str, status: HostStatus) -> ListedHost {
    ListedHost {
        name: name.to_owned(),
        status,
    }
}

#[test]
fn only_an_explicit_status_changes_anything() {
    let mut hosts = HostList::default();
    assert!(!hosts.observe(&[item("engine-1", HostStatus::Live)]));
    assert!(!hosts.is_leaving("engine-1"));
    assert!(hosts.observe(&[item("engine-1", HostStatus::Leaving)]));
    assert!(!hosts.observe(&[item("engine-2", HostStatus::Live)]));
    assert!(hosts.is_leaving("engine-1"));
    assert!(hosts.observe(&[item("engine-1", HostStatus::Live)]));
    assert!(!hosts.is_leaving("engine-1"));
}
