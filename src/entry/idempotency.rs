//! Requests with an idempotency key: who may run them, and what later copies get.

use std::sync::Arc;
use std::time::Instant;

use crossbeam_channel::bounded;

use super::body::Body;
use super::call::{to_caller, Call, Sender, Start};
use super::core::Event;
use super::relay;
use super::reply::{self, Reply};
use super::Shared;
use crate::catalog::Repeat;
use crate::steer::attempt::{Outcome, Reason};
use crate::steer::dedupe::{Answer, Begin, End, Identity, MAX_ANSWER};
use crate::steer::engine::Refusal;
use crate::steer::ticket::{Generation, Home};

/// What the end of a key's run means for it.
pub(crate) fn end(outcome: Outcome, reply: Option<&Reply>) -> End {
    match (outcome, reply) {
        (Outcome::NotRun(_), _) => End::NotRun,
        (Outcome::Answered, Some(reply)) => End::Answered(to_kept(reply)),
        _ => End::Unknown,
    }
}

fn to_kept(reply: &Reply) -> Option<Arc<Answer>> {
    let reply::Body::Whole(body) = &reply.body else {
        return None;
    };
    let answer = Answer {
        status: reply.status,
        headers: reply.headers.clone(),
        body: body.to_vec(),
    };
    (answer.size() <= MAX_ANSWER).then(|| Arc::new(answer))
}

fn to_reply(answer: &Answer) -> Reply {
    Reply {
        status: answer.status,
        headers: answer.headers.clone(),
        body: reply::Body::Whole(answer.body.clone().into()),
    }
}

/// Carries a request, with regard to its key if it has one that matters.
pub(crate) fn run(shared: &Arc<Shared>, start: Start, sender: Sender) {
    let repeat = start.catalog.service(start.service).repeat;
    let Some(key) = start.head.key.clone().filter(|_| repeat == Repeat::Never) else {
        return carry(shared, Call::new(start, sender));
    };
    let Some(ticket) = &start.head.ticket else {
        let text = "a request with an Idempotency-Key needs the Ragwortfold-Ticket of a look-up";
        return refuse(sender, Reply::not_run(428, text, None));
    };
    match shared.issuer.check(Instant::now(), ticket) {
        Home::Here(generation) => begin(shared, start, sender, key, generation),
        Home::Gone => tell(sender, Outcome::Unknown(Reason::StaleTicket), None),
        Home::Elsewhere(host) => {
            let home = start.catalog.host_key(&host);
            let is_relayed = matches!(sender, Sender::Host(_));
            match home.filter(|_| !is_relayed) {
                Some(home) => Call::new(start, sender).run_at_home(shared, home),
                None => tell(sender, Outcome::Unknown(Reason::HomeUnreachable), None),
            }
        }
    }
}

fn carry(shared: &Arc<Shared>, call: Call) {
    let call = Arc::new(call);
    call.watch(shared);
    call.run(shared);
}

fn begin(
    shared: &Arc<Shared>,
    start: Start,
    sender: Sender,
    key: Arc<str>,
    generation: Generation,
) {
    let (begun, answer) = bounded(1);
    let (waiter, told) = bounded(1);
    shared.core.send(Event::Begin {
        service: start.service,
        key,
        generation,
        identity: identity(&start),
        reply: begun,
        waiter,
    });
    match answer.recv() {
        Ok(Begin::Run(run)) => carry(shared, Call::new(start, sender).with_key(run)),
        Ok(Begin::Join) => {
            let left = start.deadline.saturating_duration_since(Instant::now());
            match told.recv_timeout(left) {
                Ok(End::Answered(Some(answer))) => replay(sender, &answer),
                Ok(End::Answered(None)) => tell(sender, Outcome::Unknown(Reason::NotKept), None),
                Ok(End::NotRun) => tell(sender, Outcome::NotRun(Reason::Refused), None),
                Ok(End::Unknown) => tell(sender, Outcome::Unknown(Reason::Relayed), None),
                Err(_) => tell(sender, Outcome::Unknown(Reason::Timeout), None),
            }
        }
        Ok(Begin::Replay(answer)) => replay(sender, &answer),
        Ok(Begin::Mismatch) => tell(sender, Outcome::NotRun(Reason::KeyReused), None),
        Ok(Begin::Full { retry_after }) => {
            let refusal = Refusal {
                reason: Reason::Crowded,
                retry_after,
            };
            tell(sender, Outcome::NotRun(refusal.reason), Some(refusal));
        }
        Ok(Begin::Unknown) => tell(sender, Outcome::Unknown(Reason::NotKept), None),
        Err(_) => tell(sender, Outcome::Unknown(Reason::Leaving), None),
    }
}

fn identity(start: &Start) -> Identity {
    let body = match &start.body {
        Body::Whole(bytes) => Some(&bytes[..]),
        Body::Part(_) => None,
    };
    let head = &start.head;
    Identity::new(&head.method, &head.path, head.length, body)
}

fn replay(sender: Sender, answer: &Answer) {
    give(sender, Outcome::Answered, None, Some(to_reply(answer)));
}

fn tell(sender: Sender, outcome: Outcome, refusal: Option<Refusal>) {
    give(sender, outcome, refusal, None);
}

fn give(sender: Sender, outcome: Outcome, refusal: Option<Refusal>, reply: Option<Reply>) {
    let retry_after = refusal.unwrap_or(Refusal::new(Reason::Refused)).retry_after;
    match sender {
        Sender::Caller(request) => to_caller(outcome, retry_after, reply).send(request),
        Sender::Host(incoming) => relay::reply(incoming, outcome, retry_after, reply),
    }
}

fn refuse(sender: Sender, reply: Reply) {
    match sender {
        Sender::Caller(request) => reply.send(request),
        Sender::Host(incoming) => {
            let refusal = Refusal::new(Reason::BadRequest);
            let outcome = Outcome::NotRun(refusal.reason);
            relay::reply(incoming, outcome, refusal.retry_after, None);
        }
    }
}
