//! Scheduling decisions of comfreyhaven.
//!
//! Nothing here performs I/O, reads a clock or uses global randomness. Each role has a state
//! machine that takes an event and the current [`Timestamp`] and returns actions. The processes
//! carry out the actions. Tests replay recorded events and compare the state machines with simple
//! reference implementations.

pub mod agent;
pub mod config_sync;
pub mod direct;
pub mod entry;
pub mod fleet;
pub mod host_list;
pub mod id;
pub mod idempotency;
pub mod name;
pub mod refusal;
pub mod request;
pub mod suspension;
pub mod time;

pub use id::{BootNonce, Generation, KeyDigest, OfferId, RequestId, ReservationId};
pub use name::{DataCentreName, EndpointName, HostName, ModelName, RouteName, TeamName, TierName};
pub use request::{Cost, Reservation, Tier};
pub use time::Timestamp;
