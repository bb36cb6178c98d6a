//! Names that operators give to the parts of a fleet.
//!
//! Each name is an immutable shared string, so that a clone costs one reference count. Each kind of
//! name has its own type, so that a team cannot be passed where an endpoint is expected.

use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Maximum length of a name, in bytes.
pub const NAME_LIMIT_BYTES: usize = 64;

/// Reason why a string is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum NameError {
    /// The name has no characters.
    #[display("a name must have at least one character")]
    Empty,
    /// The name is longer than [`NAME_LIMIT_BYTES`].
    #[display("a name has at most {NAME_LIMIT_BYTES} bytes")]
    TooLong,
    /// The name contains a character that is not allowed.
    #[display("{_0:?} is not allowed in a name; use letters, digits, '-', '_' and '.'")]
    Character(#[error(not(source))] char),
}

fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > NAME_LIMIT_BYTES {
        return Err(NameError::TooLong);
    }
    match text
        .chars()
        .find(|c| !(c.is_ascii_alphanumeric() || "-_.".contains(*c)))
    {
        Some(c) => Err(NameError::Character(c)),
        None => Ok(()),
    }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name after checking its characters and length.
            ///
            /// # Errors
            /// Returns a [`NameError`] if the text is empty, too long or contains a character that
            /// is not allowed.
            pub fn new(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok(Self(text.into()))
            }

            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::str::FromStr for $name {
            type Err = NameError;
            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;
            fn try_from(text: String) -> Result<Self, NameError> {
                Self::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }
    )*};
}

names! {
    /// A team: the owner of keys, a rate and a burst.
    TeamName;
    /// A data centre.
    DataCentreName;
    /// An entry host.
    HostName;
    /// An endpoint: a model engine or a plain service, with its agent.
    EndpointName;
    /// A route that callers can use.
    RouteName;
    /// A model that engines serve.
    ModelName;
    /// A priority tier.
    TierName;
}
