//! Property and replay tests of the decision core.

mod admission;
mod agent_properties;
mod direct;
mod network;
mod overload;
mod placement;
mod quarantine;
mod queue_model;
mod replay;
mod support;
mod system;
