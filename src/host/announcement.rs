//! Records what targets state about their processes in their answers.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;

use super::attempt::InFlight;
use super::datagram::{self, Datagram};
use super::log::{self, Event};
use super::{now, task, Host};
use crate::inventory::TargetKey;
use crate::port::Answer;
use crate::steer::announcement::{Announcement, RequestedRest};
use crate::steer::departures::Numbered;
use crate::steer::fleet::{Finding, Member, Silence, Testimony};

/// Processes that are named in one datagram, drawn at random: as many as fit.
const PROCESSES_PER_DATAGRAM: usize = 64;
/// Maximum hosts that are asked about one target.
const MAX_WITNESSES: usize = 8;
/// Time for a reply within a region. A host that gets little processor time replies late.
const MAX_REPLY_TIME: Duration = Duration::from_millis(60);

/// The target whose process sent an answer: the one that the answer names, or the one that the
/// request was sent to unless the answer says that another one has its address.
pub(crate) fn source(host: &Host, in_flight: &InFlight, answer: &Answer) -> Option<TargetKey> {
    match &answer.target {
        Some(id) => host.core.borrow().fleet.key(id),
        None => (!answer.misdirected).then_some(in_flight.target),
    }
}

/// Records the statements in an answer of a target, and tells all hosts if it is shutting down.
pub(crate) fn record(host: &Rc<Host>, target: Option<TargetKey>, announcement: &Announcement) {
    let Some(target) = target else {
        return;
    };
    if announcement.is_leaving {
        record_leaving(host, target);
    }
    match &announcement.rest {
        RequestedRest::Absent => {}
        RequestedRest::For(time) => record_rest(host, target, *time),
        RequestedRest::Unreadable(text) => log_unreadable_rest(host, target, text),
    }
}

/// Records that a target is shutting down, and tells all hosts if that is new.
pub(crate) fn record_leaving(host: &Rc<Host>, target: TargetKey) {
    let process = host.core.borrow_mut().fleet.record_leaving(now(), target);
    let Some(process) = process else {
        return;
    };
    let id = target_id(host, target);
    log::target_leaving(&id, "answer");
    host.core.borrow_mut().log_unread(now(), &id);
    tell_all(host, Datagram::Leaving(vec![process]));
}

/// Records the processes that another host knows to shut down.
pub(crate) fn apply_leaving(host: &Host, processes: &[u64]) {
    let core = &mut *host.core.borrow_mut();
    for process in processes {
        if let Some(target) = core.fleet.merge_leaving(now(), *process) {
            log::target_leaving(&target, "host");
            core.log_unread(now(), &target);
        }
    }
}

/// Sends the processes that are shutting down to some hosts, which may not know about them.
pub(crate) async fn send_leaving(host: &Host, peers: &[SocketAddr]) {
    let processes: Vec<u64> = {
        let core = &mut *host.core.borrow_mut();
        let recent = core.fleet.leaving_processes(now());
        recent.sample(&mut core.rng, PROCESSES_PER_DATAGRAM)
    };
    if !processes.is_empty() {
        datagram::send(host, &Datagram::Leaving(processes), peers).await;
    }
}

/// Sends a datagram to all other hosts.
fn tell_all(host: &Rc<Host>, datagram: Datagram) {
    let state = host.clone();
    task::spawn(host, "announcement", async move {
        let peers = datagram::peer_addresses(&state);
        datagram::send(&state, &datagram, &peers).await;
    });
}

/// Records that a target which had left is registered again and runs, and tells all hosts.
pub(crate) fn record_confirmed(host: &Rc<Host>, target: &str, process: Numbered) {
    log::target_confirmed(target, "answer");
    tell_all(host, Datagram::Confirmed(vec![process]));
}

/// Records that a target whose registration has just returned is not ready, and tells all hosts.
pub(crate) fn record_unready(host: &Rc<Host>, target: TargetKey) {
    let process = host.core.borrow_mut().fleet.record_unready(now(), target);
    let Some(process) = process else {
        return;
    };
    log::target_unconfirmed(&target_id(host, target));
    tell_all(host, Datagram::Removed(vec![process]));
}

/// Records the processes that another host knows to have been removed and registered again.
pub(crate) fn apply_removed(host: &Host, processes: &[Numbered]) {
    let fleet = &mut host.core.borrow_mut().fleet;
    for process in processes {
        if let Some(target) = fleet.merge_removal(now(), *process) {
            log::target_unconfirmed(&target);
        }
    }
}

/// Records the processes that another host has seen running after they had been removed.
pub(crate) fn apply_confirmed(host: &Host, processes: &[Numbered]) {
    let fleet = &mut host.core.borrow_mut().fleet;
    for process in processes {
        if let Some(target) = fleet.merge_confirmation(now(), *process) {
            log::target_confirmed(&target, "host");
        }
    }
}

/// Sends the processes that were removed and are registered again, and those that have returned, to
/// some hosts, which may not know about them.
pub(crate) async fn send_returns(host: &Host, peers: &[SocketAddr]) {
    let (removed, confirmed) = {
        let core = &mut *host.core.borrow_mut();
        let (now, rng) = (now(), &mut core.rng);
        let removed = core.fleet.removed_processes(now);
        let removed: Vec<_> = removed.sample(rng, PROCESSES_PER_DATAGRAM);
        let confirmed = core.fleet.confirmed_processes(now);
        let confirmed: Vec<_> = confirmed.sample(rng, PROCESSES_PER_DATAGRAM);
        (removed, confirmed)
    };
    if !removed.is_empty() {
        datagram::send(host, &Datagram::Removed(removed), peers).await;
    }
    if !confirmed.is_empty() {
        datagram::send(host, &Datagram::Confirmed(confirmed), peers).await;
    }
}

/// Tells all hosts of targets that are still silent, or answer again.
pub(crate) fn tell_silences(host: &Rc<Host>) {
    let silences = host.core.borrow_mut().fleet.silences_to_tell(now());
    for chunk in silences.chunks(PROCESSES_PER_DATAGRAM) {
        for silence in chunk {
            log::target_silent(host, *silence, "hosts");
        }
        tell_all(host, Datagram::Silent(chunk.to_vec()));
    }
}

/// Logs whether a target is silent by this host's requests alone, if that has changed.
pub(crate) fn note_silence(host: &Host, target: TargetKey) {
    let change = {
        let fleet = &mut host.core.borrow_mut().fleet;
        fleet.note_silence(now(), target)
    };
    if let Some(silence) = change {
        log::target_silent(host, silence, "requests");
    }
}

/// Tells all hosts at once if a target answers again that they were told is silent.
pub(crate) fn tell_end_of_silence(host: &Rc<Host>, target: TargetKey) {
    note_silence(host, target);
    let is_over = {
        let fleet = &host.core.borrow().fleet;
        fleet.is_silence_over(now(), target)
    };
    if is_over {
        tell_silences(host);
    }
}

/// Asks hosts that send to the same target whether it answers, once it has sent this host no answer
/// for longer than `patience`.
pub(crate) fn ask(host: &Rc<Host>, target: TargetKey, patience: Duration) {
    let asked_at = now();
    let (question, witnesses) = {
        let core = &mut *host.core.borrow_mut();
        let Some(question) = core.fleet.ask(asked_at, target, patience) else {
            return;
        };
        let region = core.fleet.member(target).map(Member::region);
        let witnesses = region.map(|region| core.presence.witnesses(now(), region));
        let witnesses = witnesses.unwrap_or_default().into_iter();
        let witnesses: Vec<_> = witnesses.sample(&mut core.rng, MAX_WITNESSES);
        core.fleet.expect_replies(target, witnesses.len());
        (question, witnesses)
    };
    if witnesses.is_empty() {
        return;
    }
    let state = host.clone();
    task::spawn(host, "announcement", async move {
        let wait = {
            let fleet = &state.core.borrow().fleet;
            MAX_REPLY_TIME + fleet.round_trip_time(target) * 2
        };
        datagram::send(&state, &Datagram::Question(question), &witnesses).await;
        tokio::time::sleep(wait).await;
        let finding = {
            let fleet = &mut state.core.borrow_mut().fleet;
            fleet.end_question(now(), target, asked_at)
        };
        tell_finding(&state, finding);
    });
}

/// Replies to a question about a target.
pub(crate) async fn testify(host: &Host, sender: SocketAddr, question: Silence) {
    let testimony = host.core.borrow_mut().fleet.testify(now(), question);
    if let Some(testimony) = testimony {
        datagram::send(host, &Datagram::Testimony(testimony), &[sender]).await;
    }
}

/// Records the reply to a question.
pub(crate) fn hear(host: &Rc<Host>, from: IpAddr, testimony: Testimony) {
    let finding = {
        let fleet = &mut host.core.borrow_mut().fleet;
        fleet.hear(now(), from, testimony)
    };
    tell_finding(host, finding);
}

fn tell_finding(host: &Rc<Host>, finding: Finding) {
    let (Finding::Silent(silence) | Finding::Answers(silence)) = finding else {
        return;
    };
    log::target_silent(host, silence, "hosts");
    tell_all(host, Datagram::Silent(vec![silence]));
}

/// Records what another host has found out about silent targets, and tells it of those that have
/// answered this host since.
pub(crate) async fn apply_silences(host: &Host, sender: SocketAddr, silences: &[Silence]) {
    for silence in silences {
        let (is_new, objection) = {
            let fleet = &mut host.core.borrow_mut().fleet;
            let is_new = fleet.merge_silence(now(), *silence);
            (is_new, fleet.objection(now(), *silence))
        };
        if is_new {
            log::target_silent(host, *silence, "host");
        }
        if let Some(objection) = objection {
            datagram::send(host, &Datagram::Testimony(objection), &[sender]).await;
        }
    }
}

fn record_rest(host: &Host, target: TargetKey, rest: Duration) {
    let is_new = host
        .core
        .borrow_mut()
        .fleet
        .record_rest(now(), target, rest);
    if is_new {
        let id = target_id(host, target);
        let rest_ms = u64::try_from(rest.as_millis()).unwrap_or(u64::MAX);
        spdlog::info!("a target asks for a rest", kv: {
            event = Event::Resting.as_str(),
            target = &*id,
            rest_ms
        });
    }
}

/// Logs that a rest can't be parsed; it has no effect.
fn log_unreadable_rest(host: &Host, target: TargetKey, value: &str) {
    let event = Event::UnreadableRest;
    let Some(left_out) = host.log_limits.borrow_mut().take(now(), event) else {
        return;
    };
    let id = target_id(host, target);
    spdlog::warn!("cannot parse the rest that a target asks for", kv: {
        event = event.as_str(),
        target = &*id,
        value,
        left_out
    });
}

fn target_id(host: &Host, target: TargetKey) -> Arc<str> {
    let core = host.core.borrow();
    let member = core.fleet.member(target);
    member.map_or_else(|| "gone".into(), |member| member.id().clone())
}
