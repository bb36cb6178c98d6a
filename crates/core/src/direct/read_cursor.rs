//! Where the next read of a section of the store starts.

use super::store_revision::StoreRevision;

/// Decides whether a section is watched or read as a whole.
///
/// ```
/// use comfreyhaven_core::direct::{ReadCursor, StoreRevision};
///
/// let mut cursor = ReadCursor::default();
/// assert_eq!(cursor.next(StoreRevision::default()), None);
/// cursor.record_answer(StoreRevision::new(0, 40));
/// assert_eq!(cursor.next(StoreRevision::default()), Some(StoreRevision::new(0, 40)));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct ReadCursor {
    after: Option<StoreRevision>,
    /// Revision from which the store has no history.
    gone: Option<StoreRevision>,
}

impl ReadCursor {
    /// Returns the revision from which the section is watched, or `None` if it is read as a whole.
    /// The entry knows the section up to `known`, which may come from a peer.
    pub fn next(&mut self, known: StoreRevision) -> Option<StoreRevision> {
        let known = Some(known).filter(|known| !known.is_unknown());
        self.after = self.after.max(known);
        self.after.filter(|after| Some(*after) > self.gone)
    }

    /// Records an answer that holds the section as of `revision`.
    pub const fn record_answer(&mut self, revision: StoreRevision) {
        self.after = Some(revision);
        self.gone = None;
    }

    /// Records that the store has no history from `after`. The section is read as a whole, unless
    /// a peer's newer revision makes that unnecessary.
    pub fn record_gone(&mut self, after: StoreRevision) {
        self.gone = self.gone.max(Some(after));
    }
}
