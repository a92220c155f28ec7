//! Keeps a proof that the configuration is the newest one, where the deployment asks for that.
//!
//! Hosts that watch the store ask it themselves; those that follow them are told how old that is. A host whose proof has become
//! old though others reach the store asks for itself.

use std::rc::Rc;
use std::time::Duration;

use nix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};

use super::store::{Client, Error};
use super::{inquiry, now, Host};
use crate::control::proof::{Moment, RENEWAL_FRACTION};
use crate::port::Kind;

/// Time between two questions of a follower.
pub(super) const FOLLOWER: Duration = Duration::from_secs(1);
/// How often a host looks whether its own proof has become old.
const LOOK: Duration = Duration::from_millis(250);
/// How long its question may take then, and time until the next one.
const PATIENCE: Duration = Duration::from_millis(800);

/// What a host tells its followers.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct Told {
    /// The age of its proof in milliseconds, rounded up.
    #[serde(rename = "a")]
    age_ms: u64,
    /// The version of its configuration.
    #[serde(rename = "v")]
    version: u64,
}

/// The runtime's clock, and the one that goes on while the machine sleeps.
pub(super) fn moment() -> Moment {
    let awake = match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Duration::from(time),
        Err(error) => {
            spdlog::error!("proof: the clock that counts sleep can't be read: {error}");
            Duration::ZERO
        }
    };
    Moment::new(now(), awake)
}

/// The store showed at `asked` or later that the host's configuration is the newest one.
pub(super) fn shown(host: &Host, asked: Moment) {
    host.core
        .borrow_mut()
        .proof
        .record(moment(), asked, Duration::ZERO);
}

/// What followers are told now.
pub(super) fn tell(host: &Host) -> Option<Told> {
    let core = host.core.borrow();
    let age = core.proof.age(moment())?;
    Some(Told {
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX) + 1,
        version: core.table.version()?,
    })
}

/// Takes in what the host that this one follows told, asked at `asked`.
pub(super) fn hear(host: &Host, asked: Moment, told: Told) {
    let core = &mut *host.core.borrow_mut();
    // An update may be on its way behind this.
    if core.table.version() >= Some(told.version) {
        let age = Duration::from_millis(told.age_ms);
        core.proof.record(moment(), asked, age);
    }
}

/// Asks whenever the own proof has become old although some host reaches the store. If none does, that is left to those that look
/// for the store's return.
pub(super) async fn assure(host: Rc<Host>) {
    let Some(term) = host.settings.bounds.withdrawal else {
        return;
    };
    let mut client = Client::new(&host);
    let caution = term.mul_f64(RENEWAL_FRACTION);
    loop {
        tokio::time::sleep(LOOK).await;
        let needed = {
            let core = host.core.borrow();
            let is_old = !core.proof.is_younger_than(moment(), caution);
            is_old && host.joined.get() && core.presence.is_store_seen(now())
        };
        if needed {
            let question = inquiry::catch_up(&host, &mut client, Kind::Config);
            let result = tokio::time::timeout(PATIENCE, question).await;
            if let Err(error) = result.unwrap_or(Err(Error::Timeout)) {
                spdlog::debug!("proof: the store does not tell whether there is news: {error}");
            }
            tokio::time::sleep(PATIENCE).await;
        }
    }
}
