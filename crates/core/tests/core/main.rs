//! Property and replay tests of the decision core.

mod admission;
mod agent_properties;
mod containment;
mod direct;
mod network;
mod overload;
mod placement;
mod queue_model;
mod replay;
mod support;
mod system;
