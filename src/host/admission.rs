//! Decides whether a caller's request may run: finds its account, the regions that may serve it,
//! and whether the account's quota allows it.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use http::Response;
use rand::RngExt;

use super::body::Body;
use super::proof::moment;
use super::relay::Disposition;
use super::{answer, now, Host};
use crate::account::{self, Caller, Denial};
use crate::inventory::Route;
use crate::port::Head;
use crate::steer::allowance::AccountId;

/// A request that may run.
pub(crate) struct Admitted {
    /// Who sent it.
    pub(crate) caller: Caller,
    /// The only regions that may serve it; any, if empty.
    pub(crate) homes: BTreeSet<Arc<str>>,
    charge: Charge,
}

/// Whether a request counts towards its account's quota at this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Charge {
    /// It does.
    Here,
    /// The host that relays it has counted it.
    Relaying,
}

impl Admitted {
    /// The account that was charged for the request.
    pub(crate) fn charged_account(&self) -> Option<AccountId> {
        let account = self.caller.account();
        account.map(|account| AccountId::new(&account.name))
    }

    /// Returns the request to its account's quota, since it did not run and will not.
    pub(crate) fn refund(&self, host: &Host) {
        if self.charge == Charge::Relaying {
            return;
        }
        let core = &mut *host.core.borrow_mut();
        if let (Some(ledger), Some(account)) = (&mut core.ledger, self.caller.account()) {
            ledger.refund(account);
        }
    }
}

/// Why a request may not run now.
#[derive(Clone, Debug, thiserror::Error)]
pub(crate) enum AdmissionError {
    /// No account has the request's key.
    #[error("no account has the key")]
    NoAccount,
    /// The configuration is too old to decide whether the key may be used. The age is `None` if it
    /// is unknown.
    #[error("the configuration may be {0:?} old")]
    UnprovedConfiguration(Option<Duration>),
    /// The route and the account have no region in common. The account is `None` if it is not proved
    /// to have the key.
    #[error("the account and the route share no region: {0:?}")]
    NoHome(Option<Arc<str>>),
    /// The account exceeds its quota.
    #[error("account {account} has {left:.1} requests left and gets {rate:.1} a second here")]
    OverQuota {
        /// The account.
        account: Arc<str>,
        /// Requests that the account has left in this region.
        left: f64,
        /// Requests a second that are added to these.
        rate: f64,
        /// The time after which the account may have requests left.
        retry_after: Duration,
    },
}

impl AdmissionError {
    /// The value of the log field `reason`.
    pub(crate) fn reason(&self) -> &'static str {
        match self {
            Self::NoAccount => "no-account",
            Self::UnprovedConfiguration(_) => "configuration-may-be-old",
            Self::NoHome(_) => "no-home",
            Self::OverQuota { .. } => "over-quota",
        }
    }

    /// The account whose quota is used up, otherwise empty.
    pub(crate) fn account_over_quota(&self) -> &str {
        match self {
            Self::OverQuota { account, .. } => account,
            _ => "",
        }
    }

    /// What a host that relays the request is to make of it, unless another host may admit it.
    pub(crate) fn disposition(&self) -> Option<Disposition> {
        match self {
            Self::NoAccount | Self::OverQuota { .. } => Some(Disposition::Answered),
            Self::NoHome(_) => Some(Disposition::NotRun(answer::DEFAULT_RETRY_AFTER)),
            Self::UnprovedConfiguration(_) => None,
        }
    }

    /// The response for the caller.
    pub(crate) fn response(&self, host: &Host) -> Response<Body> {
        match self {
            Self::NoAccount => answer::unauthorized(),
            Self::UnprovedConfiguration(_) => {
                answer::not_run(host, "the keys in use are not known now\n")
            }
            Self::NoHome(_) => answer::not_run(host, "no region may serve this\n"),
            Self::OverQuota { retry_after, .. } => answer::over_quota(host, *retry_after),
        }
    }
}

/// Decides whether a request on `route` may run. If so, charges it to its account's quota, unless
/// the host that relays it has charged that account.
pub(crate) fn admit(
    host: &Host,
    route: &Route,
    head: &Head,
    charged_by_relay: Option<AccountId>,
) -> Result<Admitted, AdmissionError> {
    let core = &mut *host.core.borrow_mut();
    let freshness = core.config_freshness(moment());
    let caller = core
        .table
        .identify_caller(route, head.credential, freshness);
    let caller = caller.map_err(|denial| match denial {
        Denial::NoAccount => AdmissionError::NoAccount,
        Denial::Undecided => AdmissionError::UnprovedConfiguration(core.proof.age(moment())),
    })?;
    let homes = account::allowed_regions(&route.homes, caller.homes()).map_err(|_| {
        AdmissionError::NoHome(caller.account().map(|account| account.name.clone()))
    })?;
    let Some(account) = caller.account() else {
        return Ok(Admitted {
            caller,
            homes,
            charge: Charge::Here,
        });
    };
    let charge = match charged_by_relay {
        Some(charged) if charged == AccountId::new(&account.name) => Charge::Relaying,
        _ => Charge::Here,
    };
    if let Some(ledger) = core.ledger.as_mut().filter(|_| charge == Charge::Here) {
        if let Err(refusal) = ledger.admit(now(), account) {
            // Randomized, so that rejected callers don't all return at once and exceed the quota
            // again.
            let jitter = core.rng.random_range(1.0..2.0);
            let (left, rate) = ledger.remaining(account).unwrap_or_default();
            return Err(AdmissionError::OverQuota {
                account: account.name.clone(),
                left,
                rate,
                retry_after: refusal.retry_after.mul_f64(jitter),
            });
        }
    }
    Ok(Admitted {
        caller,
        homes,
        charge,
    })
}
