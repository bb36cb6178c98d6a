//! Property and replay tests of the decision core.

mod agent_properties;
mod bearing;
mod containment;
mod direct;
mod network;
mod overload;
mod placement;
mod queue_model;
mod replay;
mod support;
mod system;
