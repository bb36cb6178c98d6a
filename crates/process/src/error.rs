//! Errors that end a process.

use std::net::SocketAddr;

use comfreyhaven_config::settings::SettingsError;
use derive_more::{Display, Error, From};

/// An error that ends a process.
#[derive(Debug, Display, Error, From)]
pub enum ProcessError {
    /// The settings file is missing or invalid.
    Settings(SettingsError),
    /// Binding a listener failed.
    #[display("cannot listen on {address}: {source}; check the address in the settings")]
    #[from(ignore)]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A thread or a signal handler could not be created.
    #[display("cannot start: {_0}")]
    Start(std::io::Error),
    /// The control thread panicked.
    #[display("the control thread panicked; see the log")]
    #[from(ignore)]
    Control,
}
