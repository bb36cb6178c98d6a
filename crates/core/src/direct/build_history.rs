//! The builds of each service that were listed in the recent past.
//!
//! The origin of a stream may be unknown. The stream then goes on only if no other build can have
//! begun it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Timestamp;

/// How far back the builds are considered; streams that began earlier have ended.
const HISTORY_TIME: Duration = Duration::from_secs(30);

/// What an entry has seen of a service's builds within [`HISTORY_TIME`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum SeenBuilds {
    /// No build.
    #[default]
    None,
    /// One build only, but the entry has not observed the service for long enough to exclude
    /// others.
    OneLately(Arc<str>),
    /// One build only.
    One(Arc<str>),
    /// Several builds.
    Several,
}

impl SeenBuilds {
    /// Returns the build, if only one was seen.
    #[must_use]
    pub const fn only(&self) -> Option<&Arc<str>> {
        match self {
            Self::One(build) | Self::OneLately(build) => Some(build),
            Self::None | Self::Several => None,
        }
    }
}

/// When each build of each service was last listed.
#[derive(Debug, Default)]
pub struct BuildHistory {
    services: HashMap<Arc<str>, HashMap<Arc<str>, Timestamp>>,
    /// When this entry first learned of an endpoint.
    since: Option<Timestamp>,
}

impl BuildHistory {
    /// Records that an endpoint of a build is listed, or was until now.
    pub fn record(&mut self, service: &Arc<str>, build: &Arc<str>, now: Timestamp) {
        self.since.get_or_insert(now);
        let builds = self.services.entry(Arc::clone(service)).or_default();
        builds.retain(|_, seen| now < *seen + HISTORY_TIME);
        builds.insert(Arc::clone(build), now);
    }

    /// Returns the builds of a service that were seen, with `listed`, those listed now.
    pub fn seen<'a>(
        &'a self,
        service: &str,
        listed: impl Iterator<Item = &'a Arc<str>>,
        now: Timestamp,
    ) -> SeenBuilds {
        let recorded = self.services.get(service).into_iter().flatten();
        let recent = recorded.filter(|(_, seen)| now < **seen + HISTORY_TIME);
        let mut all = recent.map(|(build, _)| build).chain(listed);
        let Some(first) = all.next() else {
            return SeenBuilds::None;
        };
        if all.any(|build| build != first) {
            return SeenBuilds::Several;
        }
        match self.since {
            Some(since) if since + HISTORY_TIME <= now => SeenBuilds::One(Arc::clone(first)),
            _ => SeenBuilds::OneLately(Arc::clone(first)),
        }
    }
}
