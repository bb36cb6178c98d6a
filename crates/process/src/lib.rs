//! Infrastructure shared by the processes of comfreyhaven: start-up, the control thread, HTTP
//! servers, control connections, access to the platform, and the admin port.

pub mod admin;
pub mod answer;
pub mod args;
pub mod clock;
pub mod configuration;
pub mod control;
pub mod decisions;
pub mod dial;
pub mod error;
pub mod hosts;
pub mod logging;
pub mod peer;
pub mod platform;
pub mod query;
pub mod server;
pub mod shutdown;
