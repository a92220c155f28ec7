//! The plan: splits and quota bonuses, worked out from summaries.
