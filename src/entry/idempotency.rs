//! Handles requests with an idempotency key: decides which host may run one and how later copies are answered.

use std::sync::Arc;
use std::time::Instant;

use crossbeam_channel::bounded;

use super::body::Body;
use super::call::{to_caller, Call, RequestContext, Requester};
use super::core::Event;
use super::relay;
use super::reply::{self, Reply};
use super::Shared;
use crate::catalog::Repeat;
use crate::steer::attempt::{Outcome, Reason};
use crate::steer::dedupe::{Admission, Answer, Identity, RunOutcome, MAX_STORED_ANSWER_BYTES};
use crate::steer::engine::Refusal;
use crate::steer::ticket::{Generation, TicketOwner};

/// Converts the outcome of a request to the outcome of its key's run.
pub(crate) fn to_run_outcome(outcome: Outcome, reply: Option<&Reply>) -> RunOutcome {
    match (outcome, reply) {
        (Outcome::NotRun(_), _) => RunOutcome::NotRun,
        (Outcome::Answered, Some(reply)) => RunOutcome::Answered(to_stored_answer(reply)),
        _ => RunOutcome::Unknown,
    }
}

/// Returns the answer to store for later copies; none if its body is not buffered or it exceeds [`MAX_STORED_ANSWER_BYTES`].
fn to_stored_answer(reply: &Reply) -> Option<Arc<Answer>> {
    let reply::Body::Whole(body) = &reply.body else {
        return None;
    };
    let answer = Answer {
        status: reply.status,
        headers: reply.headers.clone(),
        body: body.to_vec(),
    };
    (answer.size() <= MAX_STORED_ANSWER_BYTES).then(|| Arc::new(answer))
}

fn to_reply(answer: &Answer) -> Reply {
    Reply {
        status: answer.status,
        headers: answer.headers.clone(),
        body: reply::Body::Whole(answer.body.clone().into()),
    }
}

/// Runs a request. The idempotency key matters only for services whose requests must not be repeated.
pub(crate) fn run(shared: &Arc<Shared>, context: RequestContext, requester: Requester) {
    let repeat = context.catalog.service(context.service).repeat;
    let Some(key) = context.head.key.clone().filter(|_| repeat == Repeat::Never) else {
        return run_call(shared, Call::new(context, requester));
    };
    let Some(ticket) = &context.head.ticket else {
        let text = "a request with an Idempotency-Key needs the Ragwortfold-Ticket of a look-up";
        return reply_refusal(requester, Reply::not_run(428, text, None));
    };
    match shared.issuer.check(Instant::now(), ticket) {
        TicketOwner::ThisProcess(generation) => {
            begin_run(shared, context, requester, key, generation)
        }
        TicketOwner::Expired => {
            reply_outcome(requester, Outcome::Unknown(Reason::StaleTicket), None)
        }
        TicketOwner::OtherHost(host) => {
            let home = context.catalog.host_key(&host);
            let is_relayed = matches!(requester, Requester::Host(_));
            match home.filter(|_| !is_relayed) {
                Some(home) => Call::new(context, requester).run_at_home(shared, home),
                None => reply_outcome(requester, Outcome::Unknown(Reason::HomeUnreachable), None),
            }
        }
    }
}

fn run_call(shared: &Arc<Shared>, call: Call) {
    let call = Arc::new(call);
    call.abandon_on_cancel(shared);
    call.run(shared);
}

/// Starts the run of the key, joins one in progress, or replies with the stored result of an earlier run.
fn begin_run(
    shared: &Arc<Shared>,
    context: RequestContext,
    requester: Requester,
    key: Arc<str>,
    generation: Generation,
) {
    let (reply, decision) = bounded(1);
    let (waiter, end) = bounded(1);
    shared.core.send(Event::BeginKey {
        service: context.service,
        key,
        generation,
        identity: identity(&context),
        reply,
        waiter,
    });
    match decision.recv() {
        Ok(Admission::Run(run)) => {
            run_call(shared, Call::new(context, requester).with_key_run(run))
        }
        Ok(Admission::Join) => {
            let left = context.deadline.saturating_duration_since(Instant::now());
            match end.recv_timeout(left) {
                Ok(RunOutcome::Answered(Some(answer))) => send_stored_answer(requester, &answer),
                Ok(RunOutcome::Answered(None)) => {
                    reply_outcome(requester, Outcome::Unknown(Reason::NotKept), None)
                }
                Ok(RunOutcome::NotRun) => {
                    reply_outcome(requester, Outcome::NotRun(Reason::Refused), None)
                }
                Ok(RunOutcome::Unknown) => {
                    reply_outcome(requester, Outcome::Unknown(Reason::Relayed), None)
                }
                Err(_) => reply_outcome(requester, Outcome::Unknown(Reason::Timeout), None),
            }
        }
        Ok(Admission::Replay(answer)) => send_stored_answer(requester, &answer),
        Ok(Admission::Mismatch) => {
            reply_outcome(requester, Outcome::NotRun(Reason::KeyReused), None)
        }
        Ok(Admission::Full { retry_after }) => {
            let refusal = Refusal {
                reason: Reason::Crowded,
                retry_after,
            };
            reply_outcome(requester, Outcome::NotRun(refusal.reason), Some(refusal));
        }
        Ok(Admission::Unknown) => reply_outcome(requester, Outcome::Unknown(Reason::NotKept), None),
        Err(_) => reply_outcome(requester, Outcome::Unknown(Reason::Leaving), None),
    }
}

fn identity(context: &RequestContext) -> Identity {
    let body = match &context.body {
        Body::Whole(bytes) => Some(&bytes[..]),
        Body::Partial(_) => None,
    };
    let head = &context.head;
    Identity::new(&head.method, &head.path, head.length, body)
}

fn send_stored_answer(requester: Requester, answer: &Answer) {
    send_reply(requester, Outcome::Answered, None, Some(to_reply(answer)));
}

fn reply_outcome(requester: Requester, outcome: Outcome, refusal: Option<Refusal>) {
    send_reply(requester, outcome, refusal, None);
}

fn send_reply(
    requester: Requester,
    outcome: Outcome,
    refusal: Option<Refusal>,
    reply: Option<Reply>,
) {
    let retry_after = refusal.unwrap_or(Refusal::new(Reason::Refused)).retry_after;
    match requester {
        Requester::Caller(request) => to_caller(outcome, retry_after, reply).send(request),
        Requester::Host(incoming) => relay::reply(incoming, outcome, retry_after, reply),
    }
}

fn reply_refusal(requester: Requester, reply: Reply) {
    match requester {
        Requester::Caller(request) => reply.send(request),
        Requester::Host(incoming) => {
            let refusal = Refusal::new(Reason::BadRequest);
            let outcome = Outcome::NotRun(refusal.reason);
            relay::reply(incoming, outcome, refusal.retry_after, None);
        }
    }
}
