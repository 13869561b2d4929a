//! Checked names and request keys.

use core::fmt;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The longest name of a row, team, box or data centre, in bytes.
pub const NAME_LIMIT_BYTES: usize = 64;

/// The longest request key, in bytes.
pub const KEY_LIMIT_BYTES: usize = 96;

/// Why a name or key was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NameError {
    /// The text has no characters.
    Empty,
    /// The text is longer than the limit, both in bytes.
    TooLong {
        /// The length of the text.
        len_bytes: usize,
        /// The greatest length allowed.
        limit_bytes: usize,
    },
    /// The text has a character outside letters, digits and `-_.:`.
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
            /// Checks `text` and makes it a value of this type.
            ///
            /// # Errors
            ///
            /// Returns what is wrong with the text.
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
    /// A name of a row, team, box, rack or data centre.
    Name, NAME_LIMIT_BYTES
}

checked_text! {
    /// A caller's request key: the same key always means the same request.
    Key, KEY_LIMIT_BYTES
}
