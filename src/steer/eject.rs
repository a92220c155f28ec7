//! Ejection of outliers, with a floor.
