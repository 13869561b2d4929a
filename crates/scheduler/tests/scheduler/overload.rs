//! Which jobs are chosen to be in time where not all can be.
