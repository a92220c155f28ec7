//! Assignment of hosts to targets that they ask whether they are cold, and the rate of these
//! checks.
//!
//! Hosts that have the same list of live hosts agree on the assignment without messages. While the
//! store is unavailable and hosts are replaced the lists differ: a host that receives no messages
//! assigns all targets to itself. So the checks of each host are limited to its share of the fleet
//! by the host count that it received last, and a host that never received one sends none. With 300
//! hosts that each reach only some of the others, or none, all together send at most
//! [`MAX_CHECK_FACTOR`] times as many checks as needed, however the network is partitioned.

use super::member::Member;
use super::Fleet;
use crate::inventory::TargetKey;

/// Number of hosts that check one target. With a single one, nobody checked its targets from its
/// termination until the others had detected that, 2.5 s later, and a cold target received its
/// usual load.
pub const CHECKERS_PER_TARGET: usize = 2;
/// Maximum checks of a host in multiples of its share of all checks: enough when three of four
/// hosts are lost.
pub const MAX_CHECK_FACTOR: usize = 4;
/// Checks at once that a host may send however many hosts there are: small fleets have few targets
/// and few hosts.
pub const MIN_CHECKS: usize = 8;

impl Fleet {
    /// Sets how many hosts there are, live or not, as received from the store or another host;
    /// `None` while it is not known.
    pub fn set_host_count(&mut self, host_count: Option<usize>) {
        self.reported_host_count = host_count;
    }

    /// Returns the targets that this host checks: those for which it is among the first
    /// [`CHECKERS_PER_TARGET`] live hosts.
    pub fn assigned_targets(&self) -> impl Iterator<Item = (TargetKey, &Member)> {
        self.members.iter().filter_map(|(key, member)| {
            let is_checker = self.is_among_first(CHECKERS_PER_TARGET, member);
            is_checker.then_some((*key, member))
        })
    }

    /// Returns the targets to check now. They take turns if there are more of them than the limit.
    pub fn next_checks(&mut self) -> Vec<TargetKey> {
        let Some(host_count) = self.reported_host_count else {
            return Vec::new();
        };
        let own_share = (self.members.len() * CHECKERS_PER_TARGET).div_ceil(host_count.max(1));
        let max_checks = (own_share * MAX_CHECK_FACTOR).max(MIN_CHECKS);
        let assigned_targets: Vec<TargetKey> =
            self.assigned_targets().map(|(key, _)| key).collect();
        let start = assigned_targets.partition_point(|key| Some(*key) <= self.last_checked);
        let (previous, following) = assigned_targets.split_at(start);
        let checks: Vec<_> = following
            .iter()
            .chain(previous)
            .take(max_checks)
            .copied()
            .collect();
        self.last_checked = checks.last().copied();
        checks
    }
}
