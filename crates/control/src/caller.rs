//! Identifies the customer on whose behalf a call is made.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The customer on whose behalf a call is made. There is none if the queue is open to
/// everybody or the operators configure no customers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller(Option<Arc<str>>);

impl Caller {
    /// Creates a caller that acts for a customer.
    pub const fn new(customer: Arc<str>) -> Self {
        Self(Some(customer))
    }

    /// Creates a caller without a customer.
    pub const fn anonymous() -> Self {
        Self(None)
    }

    /// Returns the customer's name, if there is one.
    pub fn customer(&self) -> Option<&str> {
        self.0.as_deref()
    }
}
