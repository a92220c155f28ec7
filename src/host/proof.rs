//! Maintains a proof of how recent the configuration is, where the deployment requires one.
//!
//! Hosts that watch the store query it themselves; their followers ask them for the age of their
//! proof. A host whose proof has become old although other hosts reach the store queries it
//! directly.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use nix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};

use super::store::{Client, Error};
use super::{now, refresh, task, Host};
use crate::control::proof::{Moment, RENEWAL_FRACTION};
use crate::port::Kind;

/// Interval at which a follower asks for the proof's age.
pub(super) const FOLLOWER_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which a host checks whether its proof has become old.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of the query that is then made, and pause before the next one.
const QUERY_TIMEOUT: Duration = Duration::from_millis(800);

/// The age of a host's proof, as sent to its followers.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct ProofReport {
    /// The age of the proof in milliseconds, rounded up.
    #[serde(rename = "a")]
    age_ms: u64,
    /// The version of the configuration.
    #[serde(rename = "v")]
    version: u64,
}

/// Reads the runtime's clock, and a clock that keeps running while the machine sleeps.
pub(super) fn moment() -> Moment {
    let boot_time = match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Duration::from(time),
        Err(error) => {
            spdlog::error!("proof: cannot read CLOCK_BOOTTIME: {error}");
            Duration::ZERO
        }
    };
    Moment::new(now(), boot_time)
}

/// Records that the store, queried at `asked_at`, showed that the host's configuration is the
/// newest one.
pub(super) fn record_query(host: &Host, asked_at: Moment) {
    let core = &mut *host.core.borrow_mut();
    if core.is_config_in_store() {
        core.proof.record(moment(), asked_at, Duration::ZERO);
    }
}

/// The report for followers; `None` without a proof.
pub(super) fn report(host: &Host) -> Option<ProofReport> {
    let core = host.core.borrow();
    let age = core.proof.age(moment())?;
    Some(ProofReport {
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX) + 1,
        version: core.table.version()?,
    })
}

/// Applies a report from the followed host, requested at `asked_at`.
pub(super) fn apply_report(host: &Host, asked_at: Moment, report: ProofReport) {
    let core = &mut *host.core.borrow_mut();
    // A newer configuration may still be in transit.
    if core.table.version() >= Some(report.version) {
        let age = Duration::from_millis(report.age_ms);
        core.proof.record(moment(), asked_at, age);
    }
}

/// Queries the store whenever the host's proof has become old although some host reaches the store.
/// If none does, the hosts that probe for the store's return have to find it first.
pub(super) fn start(host: &Rc<Host>) {
    if let Some(max_age) = host.settings.bounds.withdrawal {
        task::start(host, "proof", move |host| run_renewal(host, max_age));
    }
}

async fn run_renewal(host: Rc<Host>, max_age: Duration) -> Infallible {
    let mut client = Client::new(&host);
    let renewal_age = max_age.mul_f64(RENEWAL_FRACTION);
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let is_due = {
            let core = host.core.borrow();
            let is_old = !core.proof.is_younger_than(moment(), renewal_age);
            is_old && host.has_joined.get() && core.presence.is_store_seen(now())
        };
        if is_due {
            let query = refresh::catch_up(&host, &mut client, Kind::Config);
            let result = tokio::time::timeout(QUERY_TIMEOUT, query).await;
            if let Err(error) = result.unwrap_or(Err(Error::Timeout)) {
                spdlog::debug!("proof: cannot query the store for a newer configuration: {error}");
            }
            tokio::time::sleep(QUERY_TIMEOUT).await;
        }
    }
}
