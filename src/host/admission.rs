//! Whether a caller's request may run: whose it is, where it may run, and whether its account has room for it.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use http::Response;
use rand::RngExt;

use super::body::Body;
use super::proof::moment;
use super::{answer, now, Host};
use crate::account::{self, Caller, Denial};
use crate::inventory::Route;
use crate::port::Head;

/// A request that may run.
pub(crate) struct Admitted {
    /// Who sent it.
    pub(crate) caller: Caller,
    /// The only regions that may serve it; any, if empty.
    pub(crate) homes: BTreeSet<Arc<str>>,
}

impl Admitted {
    /// Takes the request off its account again, as it did not run and never will.
    pub(crate) fn give_back(&self, host: &Host) {
        let core = &mut *host.core.borrow_mut();
        if let (Some(ledger), Some(account)) = (&mut core.ledger, self.caller.account()) {
            ledger.refund(account);
        }
    }
}

/// Why a request may not run now.
#[derive(Clone, Debug, thiserror::Error)]
pub(crate) enum Refused {
    /// Its key allows nothing.
    #[error("no account has the key")]
    NoAccount,
    /// The host can't know whether its key may be used.
    #[error("the configuration may be {0:?} old")]
    Unsure(Option<Duration>),
    /// No region may serve both its route and its account.
    #[error("account {0} and the route share no region")]
    NoHome(Arc<str>),
    /// Its account asks more than its quota.
    #[error("account {account} has {left:.1} requests left and gets {rate:.1} a second here")]
    OverQuota {
        /// The account.
        account: Arc<str>,
        /// What it has left in this region.
        left: f64,
        /// Requests a second that come to that.
        rate: f64,
        /// The time after which it may have room.
        pause: Duration,
    },
}

impl Refused {
    /// The reason as logs tell it.
    pub(crate) fn reason(&self) -> &'static str {
        match self {
            Self::NoAccount => "no-account",
            Self::Unsure(_) => "configuration-may-be-old",
            Self::NoHome(_) => "no-home",
            Self::OverQuota { .. } => "over-quota",
        }
    }

    /// What the caller gets.
    pub(crate) fn answer(&self, host: &Host) -> Response<Body> {
        match self {
            Self::NoAccount => answer::denied(),
            Self::Unsure(_) => answer::not_run(host, "the keys in use are not known now\n"),
            Self::NoHome(_) => answer::not_run(host, "no region may serve this\n"),
            Self::OverQuota { pause, .. } => answer::over_quota(host, *pause),
        }
    }
}

/// Decides whether a request on `route` may run. Takes it off its account's quota if so.
pub(crate) fn admit(host: &Host, route: &Route, head: &Head) -> Result<Admitted, Refused> {
    let core = &mut *host.core.borrow_mut();
    let knowledge = core.knowledge(moment());
    let caller = core
        .table
        .identify_caller(route, head.credential, knowledge);
    let caller = caller.map_err(|denial| match denial {
        Denial::NoAccount => Refused::NoAccount,
        Denial::Undecided => Refused::Unsure(core.proof.age(moment())),
    })?;
    let Some(account) = caller.account() else {
        return Ok(Admitted {
            caller,
            homes: route.homes.clone(),
        });
    };
    let homes = account::allowed_regions(&route.homes, &account.homes)
        .map_err(|_| Refused::NoHome(account.name.clone()))?;
    if let Some(ledger) = &mut core.ledger {
        if let Err(refusal) = ledger.admit(now(), account) {
            // Not all at once: they would find room for as many as before.
            let part = core.rng.random_range(1.0..2.0);
            let (left, rate) = ledger.remaining(account).unwrap_or_default();
            return Err(Refused::OverQuota {
                account: account.name.clone(),
                left,
                rate,
                pause: refusal.retry_after.mul_f64(part),
            });
        }
    }
    Ok(Admitted { caller, homes })
}
