//! How fast a split may move: one budget for planned moves, failover and spill-over.
