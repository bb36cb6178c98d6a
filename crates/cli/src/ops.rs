//! The operations behind the subcommands.

pub mod admin;
pub mod diff;
pub mod documents;
pub mod in_force;
pub mod key;
pub mod logs;
pub mod starter;
pub mod status;
