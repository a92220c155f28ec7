//! Which hosts ask a target whether it is cold, and how often.
//!
//! Hosts agree on that without a word as long as they know the same hosts. While the store is away and hosts are replaced they
//! do not: one that hears nobody takes itself to be in charge of all targets. So what a host asks is bounded by its part of
//! the fleet as it was last told of it, and nobody asks who was never told: with 300 hosts that each hear only a part of the
//! others, or nobody, all together ask at most [`SPARE`] times as often as is needed, however the parts are cut.

use super::member::Member;
use super::Fleet;
use crate::inventory::TargetKey;

/// Hosts that look after one target. With one alone nobody did from its end until the others knew of that, 2.5 s
/// later, and a cold target got its usual requests.
pub const CARETAKERS: usize = 2;
/// How many times its part of all questions a host may ask: as many as are needed when three of four hosts are lost.
pub const SPARE: usize = 4;
/// Questions at once that a host may ask however many hosts there are: small fleets have few of each.
pub const LEAST: usize = 8;

impl Fleet {
    /// Sets how many hosts there are, alive or not, as the store or another host told; nothing while nobody did.
    pub fn set_told(&mut self, hosts: Option<usize>) {
        self.told = hosts;
    }

    /// The targets that this host looks after: those for which it is among the first [`CARETAKERS`] hosts that are alive.
    pub fn charges(&self) -> impl Iterator<Item = (TargetKey, &Member)> {
        self.members.iter().filter_map(|(key, member)| {
            let cares = self.is_among(CARETAKERS, member);
            cares.then_some((*key, member))
        })
    }

    /// The targets that this host asks now, in turn if there are more of them than it may ask at once.
    pub fn questions(&mut self) -> Vec<TargetKey> {
        let Some(told) = self.told else {
            return Vec::new();
        };
        let part = (self.members.len() * CARETAKERS).div_ceil(told.max(1));
        let most = (part * SPARE).max(LEAST);
        let charges: Vec<TargetKey> = self.charges().map(|(key, _)| key).collect();
        let next = charges.partition_point(|key| Some(*key) <= self.questioned);
        let (before, after) = charges.split_at(next);
        let asked: Vec<_> = after.iter().chain(before).take(most).copied().collect();
        self.questioned = asked.last().copied();
        asked
    }
}
