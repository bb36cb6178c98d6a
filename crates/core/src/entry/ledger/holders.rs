//! Selection of the hosts that hold a share of a team.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use crate::fleet::Fleet;
use crate::name::{HostName, TeamName};

/// Maximum number of hosts that hold a share of one team. More would split a small burst into parts
/// too small to be useful.
pub const HOLDER_LIMIT: usize = 3;

/// The part of a team's rate and burst that one host holds. The default is no part.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Part {
    /// Number of hosts that hold a part.
    pub(super) divisor: u64,
    /// Position of this host among them. The tokens that cannot be split evenly go to the first
    /// ones.
    pub(super) index: u64,
}

impl Part {
    pub(super) fn is_none(self) -> bool {
        self.divisor == 0
    }

    /// Returns whether this part may hold more than `other`.
    pub(super) fn exceeds(self, other: Self) -> bool {
        let order = |part: Self| (part.is_none(), part.divisor, part.index);
        order(self) < order(other)
    }

    /// This part of `tokens`, rounded to whole tokens.
    pub(super) fn of(self, tokens: u64) -> u64 {
        match self.divisor {
            0 => 0,
            divisor => tokens / divisor + u64::from(self.index < tokens % divisor),
        }
    }
}

/// The declared entry hosts. A host whose address changes counts as a different host.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HolderSet {
    hosts: Vec<(HostName, SocketAddr)>,
}

impl HolderSet {
    /// Collects the hosts of a configuration.
    #[must_use]
    pub fn new(fleet: &Fleet) -> Self {
        let hosts = fleet.hosts.values();
        Self {
            hosts: hosts
                .map(|host| (host.name.clone(), host.control))
                .collect(),
        }
    }

    /// Returns whether no host is declared.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Returns whether a host is declared.
    #[must_use]
    pub fn contains(&self, name: &HostName) -> bool {
        self.hosts.iter().any(|(host, _)| host == name)
    }

    /// Returns whether every host of this set is in `later`, at the same address.
    #[must_use]
    pub fn is_subset(&self, later: &Self) -> bool {
        self.hosts.iter().all(|host| later.hosts.contains(host))
    }

    /// Returns the hash by which processes of the same version compare their sets.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        hash(&self.hosts)
    }

    /// Returns every declared host except `name`.
    #[must_use]
    pub fn others(&self, name: &HostName) -> BTreeSet<HostName> {
        let names = self.hosts.iter().map(|(host, _)| host);
        names.filter(|host| *host != name).cloned().collect()
    }

    /// Returns the part of a team that `name` holds.
    pub(super) fn part(&self, name: &HostName, team: &TeamName) -> Part {
        let holders = self.holders(team);
        let index = holders.iter().position(|host| *host == name);
        index.map_or(Part::default(), |index| Part {
            divisor: holders.len() as u64,
            index: index as u64,
        })
    }

    /// Returns the number of hosts that hold a share of a team.
    #[must_use]
    pub fn count(&self, team: &TeamName) -> u64 {
        self.holders(team).len() as u64
    }

    /// Returns the other holders of a team in the order in which `name` sends them loan requests.
    /// The order differs between borrowers to spread the load.
    #[must_use]
    pub fn peers(&self, name: &HostName, team: &TeamName) -> Vec<HostName> {
        let mut peers = self.holders(team);
        peers.retain(|host| *host != name);
        peers.sort_by_key(|host| hash(&(name, host, team)));
        peers.into_iter().cloned().collect()
    }

    fn holders(&self, team: &TeamName) -> Vec<&HostName> {
        let mut hosts: Vec<_> = self.hosts.iter().map(|(host, _)| host).collect();
        if hosts.len() > HOLDER_LIMIT {
            hosts.sort_by_key(|host| hash(&(host, team)));
            hosts.truncate(HOLDER_LIMIT);
        }
        hosts
    }
}

/// All processes of one version compute the same value, since the hasher has fixed keys.
fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
