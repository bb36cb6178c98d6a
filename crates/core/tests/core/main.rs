//! Property and replay tests of the decision core.

mod agent_properties;
mod network;
mod queue_model;
mod support;
mod system;
