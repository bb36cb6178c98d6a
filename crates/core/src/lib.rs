//! Scheduling decisions of comfreyhaven.
//!
//! Nothing here performs I/O, reads a clock or draws from global randomness. Each role's decisions
//! are one state machine that is given an event and the current [`Timestamp`] and returns actions.
//! The processes carry the actions out; tests replay recorded events and compare the machines with
//! naive versions.

pub mod agent;
pub mod direct;
pub mod entry;
pub mod fleet;
pub mod id;
pub mod idempotency;
pub mod listing;
pub mod name;
pub mod pause;
pub mod refusal;
pub mod request;
pub mod spread;
pub mod time;

pub use id::{BootNonce, Generation, KeyDigest, OfferId, RequestId, ReservationId};
pub use name::{DataCentreName, EndpointName, HostName, ModelName, RouteName, TeamName, TierName};
pub use request::{Cost, Reservation, Tier};
pub use time::Timestamp;
