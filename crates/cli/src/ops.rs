//! What the subcommands do.

pub mod ask;
pub mod diff;
pub mod documents;
pub mod key;
pub mod lines;
pub mod starter;
pub mod status;
