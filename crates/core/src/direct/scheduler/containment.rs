//! Which requests are sent although requests like them may crash endpoints.

use super::Scheduler;
use crate::direct::containment::{Contained, Containment, Fingerprint};
use crate::direct::members::ASSUMED_MEMBERS;
use crate::request::PartDigest;
use crate::time::Timestamp;

impl Scheduler {
    /// Returns what is known of requests that crash endpoints.
    #[must_use]
    pub const fn containment(&self) -> &Containment {
        &self.containment
    }

    /// Returns what is known of requests that crash endpoints.
    pub const fn containment_mut(&mut self) -> &mut Containment {
        &mut self.containment
    }

    /// Returns whether a request that has arrived may be sent, see [`Containment::admit`].
    ///
    /// # Errors
    /// Returns [`Contained`] if requests like it crash endpoints.
    pub fn admit(&mut self, request: &Fingerprint, now: Timestamp) -> Result<(), Contained> {
        let members = &self.members;
        let is_discovering = self.is_discovering(now);
        let rank = |part: PartDigest| match is_discovering {
            true => members.estimated_rank(part.0, ASSUMED_MEMBERS),
            false => members.rank_for(part.0),
        };
        self.containment.admit(request, rank, now)
    }
}
