//! Stand-ins for what surrounds ragwortfold: a platform, targets, a faulty link, callers.
