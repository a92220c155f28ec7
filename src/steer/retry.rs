//! The retry budget.
