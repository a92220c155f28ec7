//! Asking targets whether they are cold, while the store can't tell.
//!
//! A cold target that gets its usual requests crashes. It says that it is cold in the store, and in
//! its health answers; so while some host has lost the store, two hosts ask each target and tell
//! the others: one of them may end.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderValue, Request, Uri};
use http_body_util::BodyExt;

use super::{beat, body, client, exchange, log, now, throttle, Host};
use crate::inventory::TargetKey;
use crate::steer::throttle::Assignment;

/// Time between two questions of one host to a target, of which several hosts ask each: what it gets meanwhile
/// and what is on its way has to stay below what a cold target bears in a second, also when one of the hosts has ended.
const INTERVAL: Duration = Duration::from_millis(400);
/// How long a target may take to answer.
const PATIENCE: Duration = Duration::from_millis(600);

/// A target to ask.
struct Question {
    target: TargetKey,
    id: Arc<str>,
    address: SocketAddr,
    path: Arc<str>,
}

/// Asks targets from now on, when there is need.
pub(crate) async fn run(host: Rc<Host>) {
    let mut interval = tokio::time::interval(INTERVAL);
    loop {
        interval.tick().await;
        for question in questions(&host) {
            tokio::task::spawn_local(ask(host.clone(), question));
        }
    }
}

fn questions(host: &Host) -> Vec<Question> {
    let core = &mut *host.core.borrow_mut();
    if !core.presence.is_store_doubtful(now()) {
        return Vec::new();
    }
    let targets = core.fleet.next_checks();
    let questions = targets.into_iter().filter_map(|target| {
        let member = core.fleet.member(target)?;
        let service = core.table.service(member.service())?;
        Some(Question {
            target,
            id: member.id().clone(),
            address: member.address(),
            path: service.health_path.clone(),
        })
    });
    questions.collect()
}

async fn ask(host: Rc<Host>, question: Question) {
    // A question is one more request.
    if !throttle::permit(&host, question.target, Assignment::Primary).await {
        return;
    }
    let answer = tokio::time::timeout(PATIENCE, question_target(&host, &question)).await;
    let cold = match answer {
        Ok(Ok(cold)) => cold,
        Ok(Err(error)) => {
            spdlog::debug!("probe: {}: {error}", question.id);
            return;
        }
        Err(_) => {
            spdlog::debug!("probe: {}: no answer in time", question.id);
            return;
        }
    };
    let Some(left) = cold.filter(|left| !left.is_zero()) else {
        return;
    };
    if host
        .core
        .borrow_mut()
        .fleet
        .mark_cold(now(), &question.id, left)
    {
        log::cold(&question.id, left);
    }
    beat::tell_cold(&host, &question.id, left).await;
}

/// Asks a target; gives how much longer it is cold.
async fn question_target(
    host: &Host,
    question: &Question,
) -> Result<Option<Duration>, client::Error> {
    let mut connection = exchange::open(host, question.target, question.address, PATIENCE).await?;
    let mut request = Request::new(body::whole(Bytes::new()));
    if let Ok(path) = question.path.parse::<Uri>() {
        *request.uri_mut() = path;
    }
    if let Ok(name) = HeaderValue::from_str(&question.address.to_string()) {
        request.headers_mut().insert(HOST, name);
    }
    let Ok(response) = connection.send(request).await else {
        return Err(client::Error::Unanswered);
    };
    let (parts, incoming) = response.into_parts();
    let health = (host.platform.wire.health)(&parts);
    connection.read(incoming.collect()).await?;
    exchange::keep(host, question.target, connection, &parts).await;
    let same = health.target.is_none_or(|target| target == question.id);
    Ok(health.cold_left.filter(|_| same))
}
