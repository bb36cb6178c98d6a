//! Counts of what became of the requests.

/// Outcomes of the requests of one kind.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    pub submitted: u32,
    pub timely: u32,
    pub late: u32,
    pub refused: u32,
    /// Answers that were not complete at their deadline.
    pub overdue: u32,
    /// Requests whose callers returned after a refusal.
    pub returned: u32,
    /// Those of them that were served.
    pub readmitted: u32,
    /// Refused requests whose callers were told a time that they honour, and return then.
    pub placed: u32,
    /// Those of them that were served.
    pub kept: u32,
}

impl Tally {
    pub fn timely_part(&self) -> f64 {
        f64::from(self.timely) / f64::from(self.submitted.max(1))
    }

    pub fn served_part(&self) -> f64 {
        f64::from(self.timely + self.late) / f64::from(self.submitted.max(1))
    }
}
