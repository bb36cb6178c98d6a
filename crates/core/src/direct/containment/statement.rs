//! What entries tell each other of crashes and of what is held for them.

use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

use super::Fingerprint;
use crate::request::{BodyDigest, PartDigest};

/// What became of an endpoint's incarnation after its connections broke. Later variants prevail.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum Fate {
    /// Not known.
    #[default]
    Unknown,
    /// It answers or accepts connections.
    Lives,
    /// Nothing listens at its address.
    Ended,
}

/// A request that an incarnation ran when it broke off.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BrokenRequest {
    /// Digest of the team, the path and the body.
    pub body: BodyDigest,
    /// Digests of parts of the prompt; of a long prompt, some in each report.
    pub parts: Vec<PartDigest>,
    /// Whether its answer had begun.
    pub begun: bool,
}

impl BrokenRequest {
    /// Creates the record of a broken request.
    #[must_use]
    pub fn new(request: &Fingerprint, begun: bool) -> Self {
        Self {
            body: request.body,
            parts: request.parts.to_vec(),
            begun,
        }
    }
}

/// What the reporter knows of a break.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashStatement {
    /// Digest of the endpoint's incarnation.
    pub incarnation: u64,
    /// Milliseconds since its connections broke.
    pub age: u32,
    /// What became of it.
    pub fate: Fate,
    /// What it ran.
    pub requests: Vec<BrokenRequest>,
}

/// A run of a suspected request or part that went on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoundStatement {
    /// Digest of the request's body or of the part.
    pub digest: u64,
    /// Milliseconds since the run began.
    pub age: u32,
}

/// Parts of prompts that are held together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldStatement {
    /// A request that holds all of these is held.
    pub parts: Vec<PartDigest>,
    /// Number of test requests so far.
    pub tests: u32,
    /// Milliseconds since the hold or the last test began.
    pub age: u32,
    /// Milliseconds from then to the next test.
    pub span: u32,
    /// Milliseconds since the newest crash.
    pub evidence: u32,
}

/// What the reporter knows of crashes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContainmentReport {
    /// Breaks of the last seconds.
    pub crashes: Vec<CrashStatement>,
    /// Runs that went on.
    pub sound: Vec<SoundStatement>,
    /// What is held.
    pub holds: Vec<HoldStatement>,
}
