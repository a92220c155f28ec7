//! What a target's answer, or the lack of one, means for the try and for the target.

use super::stage::Stage as Wire;
use super::target::{self, Answer};
use crate::steer::attempt::{Break, Stage};
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
pub(crate) fn refused(answer: &Answer) -> Option<Break> {
    match answer.status {
        503 if answer.refused => Some(Break::Refused),
        503 => Some(Break::Unavailable),
        500..=599 => Some(Break::ServerError),
        _ => None,
    }
}

/// What a call that got no answer's head means.
pub(crate) fn broken(error: &target::Error) -> Break {
    let stage = stage_of(&error.stage);
    if error.is_timeout() {
        return Break::Timeout(stage);
    }
    if error.is_garbage() && error.stage.read {
        return Break::Garbage;
    }
    if stage == Stage::Connecting {
        return Break::ConnectRefused;
    }
    if error.stage.dialled {
        Break::Cut(stage)
    } else {
        Break::Stale(stage)
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

pub(crate) fn end_of(cause: Break) -> group::End {
    match cause {
        Break::ConnectRefused => group::End::ConnectFailed,
        Break::Timeout(Stage::Connecting) => group::End::ConnectFailed,
        Break::Timeout(_) => group::End::TimedOut,
        Break::Refused | Break::Unavailable => group::End::Refused,
        Break::ServerError => group::End::Answered,
        Break::Cancelled(_) | Break::CallerGone(_) => group::End::Cancelled,
        _ => group::End::Broken,
    }
}
