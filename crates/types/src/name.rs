//! Validated names and request keys.

use core::fmt;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The maximum length of a name, in bytes.
pub const NAME_LIMIT_BYTES: usize = 64;

/// The maximum length of a request key, in bytes.
pub const KEY_LIMIT_BYTES: usize = 96;

/// Why a text is not a valid name or key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NameError {
    /// The text is empty.
    Empty,
    /// The text is longer than the limit.
    TooLong {
        /// The length of the text, in bytes.
        len_bytes: usize,
        /// The maximum length, in bytes.
        limit_bytes: usize,
    },
    /// The text contains this character, which is not an ASCII letter, a digit or one
    /// of `-_.:`.
    Character(char),
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "is empty"),
            Self::TooLong {
                len_bytes,
                limit_bytes,
            } => {
                write!(f, "has {len_bytes} bytes, at most {limit_bytes} allowed")
            }
            Self::Character(c) => {
                write!(
                    f,
                    "has the character {c:?}, letters, digits and -_.: allowed"
                )
            }
        }
    }
}

impl std::error::Error for NameError {}

fn check(text: &str, limit_bytes: usize) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > limit_bytes {
        return Err(NameError::TooLong {
            len_bytes: text.len(),
            limit_bytes,
        });
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    match text.chars().find(|&c| !allowed(c)) {
        Some(c) => Err(NameError::Character(c)),
        None => Ok(()),
    }
}

macro_rules! checked_text {
    ($(#[$doc:meta])* $name:ident, $limit:expr) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Validates `text` and creates a value from it.
            ///
            /// # Errors
            ///
            /// Returns an error if the text is empty, too long or contains a character
            /// that is not allowed.
            pub fn new(text: &str) -> Result<Self, NameError> {
                check(text, $limit)?;
                Ok(Self(Arc::from(text)))
            }

            /// Returns the text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.to_string()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &*self.0)
            }
        }
    };
}

checked_text! {
    /// The name of a row, team, box, rack or data centre.
    Name, NAME_LIMIT_BYTES
}

checked_text! {
    /// A caller's request key; calls with the same key are the same request.
    Key, KEY_LIMIT_BYTES
}
