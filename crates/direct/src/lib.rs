//! An entry that reaches its endpoints itself.
//!
//! It serves deployments in which nothing of comfreyhaven stands between an entry and its endpoints,
//! no list names the entries, and the configuration is read from a store of the platform. The
//! decisions are those of [`comfreyhaven_core::direct`]; this crate carries bytes, follows the store
//! through the [`store::Store`] port, and speaks a platform's words through a [`dialect::Dialect`].

mod accept;
mod answer;
pub mod clock;
pub mod context;
pub mod dialect;
mod drive;
pub mod events;
mod follow;
mod front;
mod gossip;
mod intake;
pub mod metrics;
mod paced;
mod peer;
pub mod process;
pub mod settings;
mod side;
pub mod store;
pub mod upstream;

pub use process::run;
