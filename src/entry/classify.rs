//! What a target's answer, or the lack of one, means for the try and for the target.

use super::stage::Stage as Wire;
use super::target::{self, Answer};
use crate::steer::attempt::{FailurePoint, Stage};
use crate::steer::{group, limit};

pub(crate) fn to_load((in_flight, slots): (u32, u32)) -> limit::Load {
    limit::Load { in_flight, slots }
}

pub(crate) fn to_state(text: &str) -> Option<group::State> {
    match text.trim() {
        "serving" => Some(group::State::Serving),
        "cold" => Some(group::State::Cold),
        "draining" => Some(group::State::Draining),
        _ => None,
    }
}

/// What an answer's status says of the try, if it is not simply an answer.
pub(crate) fn refused(answer: &Answer) -> Option<FailurePoint> {
    match answer.status {
        503 if answer.refused => Some(FailurePoint::Refused),
        503 => Some(FailurePoint::Unavailable),
        500..=599 => Some(FailurePoint::ServerError),
        _ => None,
    }
}

/// What a call that got no answer's head means.
pub(crate) fn broken(error: &target::Error) -> FailurePoint {
    let stage = stage_of(&error.stage);
    if error.is_timeout() {
        return FailurePoint::Timeout(stage);
    }
    if error.is_garbage() && error.stage.read {
        return FailurePoint::NotHttp;
    }
    if stage == Stage::Connecting {
        return FailurePoint::ConnectRefused;
    }
    if error.stage.dialled {
        FailurePoint::ConnectionClosed(stage)
    } else {
        FailurePoint::ReusedConnectionClosed(stage)
    }
}

fn stage_of(wire: &Wire) -> Stage {
    if wire.read {
        return Stage::AnswerHead;
    }
    if wire.written > 0 {
        // How much of it left is not known; "sent" claims the most.
        return Stage::Sent;
    }
    if wire.dialled && !wire.connected {
        return Stage::Connecting;
    }
    Stage::Connected
}

pub(crate) fn end_of(cause: FailurePoint) -> group::End {
    match cause {
        FailurePoint::ConnectRefused => group::End::ConnectFailed,
        FailurePoint::Timeout(Stage::Connecting) => group::End::ConnectFailed,
        FailurePoint::Timeout(_) => group::End::TimedOut,
        FailurePoint::Refused | FailurePoint::Unavailable => group::End::Refused,
        FailurePoint::ServerError => group::End::Answered,
        FailurePoint::Cancelled(_) | FailurePoint::CallerGone(_) => group::End::Cancelled,
        _ => group::End::Broken,
    }
}
