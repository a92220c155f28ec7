//! The choice of a target under lagging load reports.
