//! Classifies answers and failed calls of targets for the attempt and for the target's statistics.

use super::stage::Stage as CallStage;
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

/// Returns the failure that an answer's status stands for, if any.
pub(crate) fn failure_of_status(answer: &Answer) -> Option<FailurePoint> {
    match answer.status {
        503 if answer.refused => Some(FailurePoint::Refused),
        503 => Some(FailurePoint::Unavailable),
        500..=599 => Some(FailurePoint::ServerError),
        _ => None,
    }
}

/// Returns the failure of a call that got no head of an answer.
pub(crate) fn failure_of_error(error: &target::Error) -> FailurePoint {
    let stage = stage_of(&error.stage);
    if error.is_timeout() {
        return FailurePoint::Timeout(stage);
    }
    if error.is_invalid_answer() && error.stage.has_read {
        return FailurePoint::NotHttp;
    }
    if stage == Stage::Connecting {
        return FailurePoint::ConnectRefused;
    }
    if error.stage.is_dialled {
        FailurePoint::ConnectionClosed(stage)
    } else {
        FailurePoint::ReusedConnectionClosed(stage)
    }
}

fn stage_of(stage: &CallStage) -> Stage {
    if stage.has_read {
        return Stage::AnswerHead;
    }
    if stage.written > 0 {
        // It is unknown how much reached the target; assume that the whole request was sent.
        return Stage::Sent;
    }
    if stage.is_dialled && !stage.is_connected {
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
