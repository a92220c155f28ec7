//! Identification of callers by their keys, and validation of accounts.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::sync::Arc;

use ragwortfold::account::{
    allowed_regions, validate, Account, AccountError, Accounts, Caller, ConfigFreshness,
    Credential, Denial, KeyDigest, Quota,
};

fn account(name: &str, keys: &[&str]) -> Arc<Account> {
    Arc::new(Account {
        name: name.into(),
        keys: keys
            .iter()
            .map(|key| KeyDigest::new(key.as_bytes()))
            .collect(),
        quota: None,
        priority: None,
        homes: BTreeSet::new(),
    })
}

fn key(text: &str) -> Credential {
    Credential::Key(KeyDigest::new(text.as_bytes()))
}

/// The account that a credential identifies, for accounts `one` with the keys k1 and k2 and `other`
/// with k3.
macro_rules! callers {
    ($($name:ident: $credential:expr, open $open:expr, $freshness:ident => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let accounts = Accounts::new(&[account("one", &["k1", "k2"]), account("other", &["k3"])]);
            let caller = accounts.identify($credential, $open, ConfigFreshness::$freshness);
            let name = caller.as_ref().map(|caller| caller.account().map(|account| &*account.name));
            let expected: Result<Option<&str>, Denial> = $expected;
            assert_eq!(name, expected.as_ref().copied());
        }
    )*};
}

callers! {
    a_known_key: key("k2"), open false, Current => Ok(Some("one"));
    another_account_s_key: key("k3"), open false, Current => Ok(Some("other"));
    an_unknown_key: key("k4"), open false, Current => Err(Denial::NoAccount);
    no_key: Credential::Missing, open false, Current => Err(Denial::NoAccount);
    no_readable_key: Credential::Unreadable, open false, Current => Err(Denial::NoAccount);
    a_known_key_with_stale_config: key("k1"), open false, Stale => Ok(Some("one"));
    an_unknown_key_with_stale_config: key("k4"), open false, Stale => Err(Denial::Undecided);
    no_key_with_stale_config: Credential::Missing, open false, Stale => Err(Denial::Undecided);
    a_known_key_with_expired_config: key("k1"), open false, Expired => Err(Denial::Undecided);
    an_unknown_key_with_expired_config: key("k4"), open false, Expired => Err(Denial::Undecided);
    no_key_on_an_open_route: Credential::Missing, open true, Current => Ok(None);
    no_key_on_an_open_route_with_expired_config: Credential::Missing, open true, Expired => Ok(None);
    an_unknown_key_on_an_open_route: key("k4"), open true, Current => Ok(None);
    a_known_key_on_an_open_route: key("k1"), open true, Current => Ok(Some("one"));
    a_known_key_on_an_open_route_with_stale_config: key("k1"), open true, Stale => Ok(Some("one"));
    // Guards against requests that run in the name of an account whose key may be withdrawn.
    a_known_key_on_an_open_route_with_expired_config: key("k1"), open true, Expired => Ok(None);
    an_unknown_key_on_an_open_route_with_expired_config: key("k4"), open true, Expired => Ok(None);
}

#[test]
fn no_account_is_named_on_an_open_route_without_a_key() {
    let accounts = Accounts::new(&[account("one", &["k1"])]);
    let caller = accounts.identify(Credential::Missing, true, ConfigFreshness::Current);
    assert_eq!(caller, Ok(Caller::Public));
}

/// Guards against requests that leave the regions of an account which may still have the key.
#[test]
fn the_regions_of_an_account_apply_while_its_key_may_be_withdrawn() {
    let home = Account {
        homes: regions(&["n"]),
        ..(*account("one", &["k1"])).clone()
    };
    let accounts = Accounts::new(&[Arc::new(home)]);
    let caller = accounts.identify(key("k1"), true, ConfigFreshness::Expired);
    assert_eq!(caller.unwrap().homes(), &regions(&["n"]));
}

#[test]
fn a_key_of_two_accounts_is_an_error() {
    let accounts = [account("one", &["k1", "k2"]), account("other", &["k2"])];
    let error = AccountError::SharedKey {
        one: "one".into(),
        other: "other".into(),
    };
    assert_eq!(validate(&accounts), Err(error));
    assert_eq!(validate(&accounts[..1]), Ok(()));
}

#[test]
fn an_invalid_quota_is_an_error() {
    for (rate, burst) in [
        (f64::NAN, 1.0),
        (-1.0, 1.0),
        (1.0, -1.0),
        (0.0, 1.0),
        (1.0, f64::INFINITY),
    ] {
        let limited = Account {
            quota: Some(Quota { rate, burst }),
            ..(*account("one", &[])).clone()
        };
        assert!(validate(&[Arc::new(limited)]).is_err(), "{rate} {burst}");
    }
}

#[test]
fn keys_are_not_revealed() {
    let accounts = [account("one", &["secret-k1"])];
    let output = format!(
        "{accounts:?} {:?} {:?}",
        Accounts::new(&accounts),
        key("secret-k1")
    );
    assert!(!output.contains("secret"), "{output}");
    let mut bytes = Vec::new();
    ciborium::into_writer(&accounts[0], &mut bytes).unwrap();
    assert!(!bytes.windows(6).any(|part| part == b"secret"));
    let read: Account = ciborium::from_reader(&bytes[..]).unwrap();
    assert_eq!(read, *accounts[0]);
}

fn regions(names: &[&str]) -> BTreeSet<Arc<str>> {
    names.iter().map(|name| Arc::from(*name)).collect()
}

/// The regions that may serve a request by those of its route and its account; `None` if they have
/// none in common.
macro_rules! allowed {
    ($($name:ident: $route:expr, $account:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let (route, account) = (regions(&$route), regions(&$account));
            let common = allowed_regions(&route, &account).ok();
            let expected: Option<&[&str]> = $expected;
            assert_eq!(common, expected.map(regions));
        }
    )*};
}

allowed! {
    any_region: [], [] => Some(&[]);
    the_route_s: ["n", "s"], [] => Some(&["n", "s"]);
    the_account_s: [], ["n"] => Some(&["n"]);
    those_of_both: ["n", "s"], ["s", "w"] => Some(&["s"]);
    no_region: ["n"], ["s"] => None;
}
