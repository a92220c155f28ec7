//! What a target states about its own process in any of its answers: that it is shutting down, or
//! that it wants no requests from this host for some time.
//!
//! Such a statement concerns the process that made it, not the request that it is attached to nor
//! the registration of the target. A process that shuts down does not come back, whatever its
//! registration says: another process of the same target is another target.

use std::sync::Arc;
use std::time::Duration;

use http::header::RETRY_AFTER;
use http::{HeaderMap, StatusCode};

use super::throttle::decimal;

use crate::duration;

/// What an answer states about the target's process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Announcement {
    /// It is shutting down and wants no further requests.
    pub is_leaving: bool,
    /// It wants no requests from this host for some time.
    pub rest: RequestedRest,
}

/// The rest that an answer asks for.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum RequestedRest {
    /// The answer asks for none.
    #[default]
    Absent,
    /// No requests for this time.
    For(Duration),
    /// The value is no decimal number of seconds.
    Unreadable(Arc<str>),
}

impl RequestedRest {
    /// Reads the rest that an answer asks for, in seconds. Only a 503 asks for one; the longest of
    /// several counts.
    pub fn new(status: StatusCode, headers: &HeaderMap) -> Self {
        let mut rest = Self::Absent;
        if status != StatusCode::SERVICE_UNAVAILABLE {
            return rest;
        }
        for value in headers.get_all(RETRY_AFTER) {
            let text = value.to_str().unwrap_or("(not text)");
            let Some(seconds) = decimal(text.trim()) else {
                return Self::Unreadable(text.into());
            };
            let time = duration::from_seconds(seconds);
            rest = match rest {
                Self::For(longest) => Self::For(longest.max(time)),
                _ => Self::For(time),
            };
        }
        rest
    }
}
