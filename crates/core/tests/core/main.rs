//! Property and replay tests of the decision core.

mod agent_properties;
mod containment;
mod network;
mod overload;
mod placement;
mod queue_model;
mod support;
mod system;
