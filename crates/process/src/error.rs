//! Why a process ends.

use std::net::SocketAddr;

use comfreyhaven_config::settings::SettingsError;
use derive_more::{Display, Error, From};

/// A failure that ends a process.
#[derive(Debug, Display, Error, From)]
pub enum ProcessError {
    /// The settings cannot be used.
    Settings(SettingsError),
    /// An address cannot be listened on.
    #[display("cannot listen on {address}: {source}; check the address in the settings")]
    #[from(ignore)]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// A thread or a signal handler cannot be set up.
    #[display("cannot start: {_0}")]
    Start(std::io::Error),
    /// The control thread ended by a panic.
    #[display("the control thread failed; see the log")]
    #[from(ignore)]
    Control,
}
