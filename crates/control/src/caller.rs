//! On whose behalf a call is made.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// On whose behalf a call is made: a customer's, or nobody's where its queue is open to
/// everybody or the operators name no customers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller(Option<Arc<str>>);

impl Caller {
    /// Creates the caller of a customer.
    pub const fn new(customer: Arc<str>) -> Self {
        Self(Some(customer))
    }

    /// Creates a caller that is nobody's.
    pub const fn anonymous() -> Self {
        Self(None)
    }

    /// Returns the customer's name.
    pub fn customer(&self) -> Option<&str> {
        self.0.as_deref()
    }
}
