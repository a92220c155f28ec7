//! One host's part in control: membership, summaries, the lease and the plan, put together.
//!
//! Pure: messages and outcomes go in with the time, [`Output`]s come out and are to be carried out
//! by whoever embeds it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;

use super::delegate;
use super::detector::INTERVAL;
use super::digest::{self, Digest, Levels};
use super::lease::{self, Candidacy, Lease};
use super::membership::{Beat, Change, Listing, Membership, Sight, Status};
use super::plan::{Gate, Plan, Record, Stamp};
use super::planner::{self, Planner, View};
use super::publish::{self, Outcome, Publish};
use super::summary::{self, Load, Message, Sample, Sender, Table, Taken};
use super::wire::{Ask, Frame};
use crate::catalog::{Catalog, HostKey, RegionKey, ServiceKey, ZoneKey};
use crate::steer::quarantine::Notice;
use crate::steer::throttle::RateUpdate;

/// Time between looks at who fell silent.
const LOOK: Duration = Duration::from_millis(100);
/// Hosts of a zone up to which they report their loads every [`summary::INTERVAL`].
const FREQUENT: usize = 24;
/// Time between the reports of a host in a larger zone.
const SLOW: Duration = Duration::from_secs(5);
/// Time after a suspicion at which it is asked again: a live host has sent the next heartbeat then.
const AGAIN: Duration = Duration::from_millis(600);
/// Time between looks at which hosts to be linked with when nothing changes.
const RELINK: Duration = Duration::from_secs(5);

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to hosts.
    Send(Vec<HostKey>, Frame),
    /// Keep links with these hosts and no others.
    Links(BTreeSet<HostKey>),
    /// Ask the store about the lease; the outcome goes to [`Agent::leased`].
    Lease(lease::Command),
    /// Ask the store about the plan; the outcome goes to [`Agent::published`].
    Plan(publish::Command, Box<Record>),
    /// A host can be spoken with that could not before.
    Joined(HostKey),
    /// A host has a newer configuration.
    Newer(HostKey, u64),
    /// Who is alive, or what is known of zones, is not what it was.
    Changed,
    /// Another plan is in force.
    Planned,
    /// A host told of requests that crash targets.
    Notes(HostKey, Vec<Notice>),
    /// A host told of targets that name the rate that they take.
    Rates(HostKey, Vec<RateUpdate>),
}

/// When regular work is due next.
#[derive(Clone, Copy, Debug)]
struct Due {
    look: Instant,
    beat: Instant,
    far: Instant,
    load: Instant,
    summary: Instant,
    digest: Instant,
    relink: Instant,
    plan: Instant,
}

impl Due {
    fn new(now: Instant, phase: Duration) -> Self {
        Self {
            look: now,
            beat: now + phase / 4,
            far: now,
            load: now + phase,
            summary: now + phase,
            digest: now + phase,
            relink: now,
            plan: now + phase,
        }
    }
}

/// When work that is due every `interval` is due next; what was missed is not made up for.
fn next(due: Instant, interval: Duration, now: Instant) -> Instant {
    let next = due + interval;
    if next > now {
        next
    } else {
        now + interval
    }
}

/// Planning, while the lease is held.
#[derive(Debug)]
struct Reign {
    planner: Planner,
    publish: Publish,
    plan: Plan,
    /// What was written last, with its stamp.
    written: Record,
}

/// One host's part in control.
#[derive(Debug)]
pub struct Agent {
    own: HostKey,
    name: Arc<str>,
    zone: ZoneKey,
    catalog: Arc<Catalog>,
    membership: Membership,
    near: BTreeSet<HostKey>,
    far: BTreeSet<HostKey>,
    /// First delegates of all zones.
    heads: BTreeMap<ZoneKey, HostKey>,
    /// Hosts configured in the own zone.
    size: usize,
    reports: Sender,
    summary: Sender,
    digest: digest::Sender,
    /// What the host measured of its own targets, and when.
    loads: BTreeMap<ServiceKey, Load>,
    measured: Instant,
    moving: BTreeSet<ServiceKey>,
    needs: BTreeMap<(HostKey, RegionKey), f32>,
    /// Reports of the hosts of the own zone.
    table: Table,
    /// Summaries of all zones, at a first delegate.
    summaries: Table,
    /// How full the sites of other zones are, at other hosts.
    levels: Levels,
    record: Record,
    gate: Gate,
    lease: Lease,
    reign: Option<Reign>,
    /// The epoch for which the store was asked about the plan, until it answers.
    asked: Option<u64>,
    /// Digest of the roster that other zones were told last.
    roster: u64,
    /// When those who are linked are asked again for a suspect.
    again: Option<Instant>,
    due: Due,
    outputs: Vec<Output>,
}

impl Agent {
    /// The part of the host `own`, which starts now.
    pub fn new(now: Instant, own: HostKey, incarnation: u64, catalog: Arc<Catalog>) -> Self {
        let host = catalog.host(own);
        let phase = phase(&host.name, incarnation);
        let size = size(host.zone, &catalog);
        Self {
            own,
            name: host.name.clone(),
            zone: host.zone,
            membership: Membership::new(now, own, incarnation, &catalog),
            near: BTreeSet::new(),
            far: BTreeSet::new(),
            heads: BTreeMap::new(),
            size,
            reports: Sender::new(own, incarnation).with_hosts(size),
            summary: Sender::new(own, incarnation),
            digest: digest::Sender::new(own, incarnation),
            loads: BTreeMap::new(),
            measured: now,
            moving: BTreeSet::new(),
            needs: BTreeMap::new(),
            table: Table::new(),
            summaries: Table::new(),
            levels: Levels::new(),
            record: Record::default(),
            gate: Gate::default(),
            lease: Lease::new(now, format!("{}.{incarnation}", host.name).into()),
            reign: None,
            asked: None,
            roster: 0,
            again: None,
            due: Due::new(now, phase),
            outputs: Vec::new(),
            catalog,
        }
    }

    /// Takes in a configuration.
    pub fn configure(&mut self, now: Instant, catalog: Arc<Catalog>) {
        self.membership.configured(&catalog);
        self.size = size(self.zone, &catalog);
        self.catalog = catalog;
        self.due.relink = now;
        self.outputs.push(Output::Changed);
    }

    /// This host takes no new work from now on, and says so at once.
    pub fn leave(&mut self, now: Instant) {
        self.membership.leave();
        self.call();
        self.lease.stand(now, Candidacy::Abstains);
        self.outputs.push(Output::Changed);
    }

    /// What the host measured of its own targets, and the services whose splits here have yet to
    /// reach the plan.
    pub fn measure(
        &mut self,
        now: Instant,
        loads: BTreeMap<ServiceKey, Load>,
        moving: BTreeSet<ServiceKey>,
    ) {
        self.loads = loads;
        self.measured = now;
        self.moving = moving;
    }

    /// What the host wants to send to other regions above its static parts, by region and in the
    /// unit of the quota.
    pub fn need(&mut self, needs: BTreeMap<RegionKey, f32>) {
        let own = self.own;
        self.needs = needs
            .into_iter()
            .map(|(region, wanted)| ((own, region), wanted))
            .collect();
    }

    /// A link to a host is open.
    pub fn link_up(&mut self, now: Instant, host: HostKey) {
        self.membership.link_up(now, host);
        self.outputs.push(Output::Joined(host));
        self.hail(host);
        if self.catalog.host(host).zone != self.zone {
            self.summary.refill();
            return;
        }
        self.reports.refill();
        self.digest.refill();
        if self.is_head() {
            self.send_plan(host);
        }
    }

    /// Sends a sign of life to one host, out of turn.
    fn hail(&mut self, host: HostKey) {
        let interval = match self.far.contains(&host) {
            true => delegate::interval(self.far.len()),
            false => INTERVAL,
        };
        let beat = Frame::Beat(
            nameless(self.membership.beat(interval)),
            self.catalog.revision,
        );
        self.outputs.push(Output::Send(vec![host], beat));
    }

    /// Sends a sign of life to all that are linked with this host, out of turn.
    fn call(&mut self) {
        let slow = delegate::interval(self.far.len());
        for (hosts, interval) in [(&self.near, INTERVAL), (&self.far, slow)] {
            let beat = Frame::Beat(
                nameless(self.membership.beat(interval)),
                self.catalog.revision,
            );
            let hosts = hosts.iter().copied().collect();
            self.outputs.push(Output::Send(hosts, beat));
        }
    }

    fn send_plan(&mut self, host: HostKey) {
        if self.record.stamp > Stamp::default() {
            let plan = Frame::Plan(self.record.clone(), None);
            self.outputs.push(Output::Send(vec![host], plan));
        }
    }

    fn ask(&mut self, host: HostKey, ask: Ask) {
        self.outputs.push(Output::Send(vec![host], Frame::Ask(ask)));
    }

    /// The link to a host broke.
    pub fn link_down(&mut self, now: Instant, host: HostKey) {
        if self.is_linked(host) {
            self.membership.link_down(now, host);
        } else {
            // It was the other side that wanted the link, and does not any more.
            self.membership.unlinked(host);
        }
    }

    /// What the platform lists of a host.
    pub fn listed(&mut self, now: Instant, host: HostKey, listing: Listing) {
        self.membership.listed(now, host, listing);
    }

    /// A message came over the link from `from`, `own_revision` being the configuration here.
    pub fn receive(&mut self, now: Instant, from: HostKey, frame: Frame, own_revision: u64) {
        match frame {
            Frame::Beat(mut beat, revision) => {
                beat.host = self.catalog.host(from).name.clone();
                if let Some(answer) = self.membership.receive(now, &beat) {
                    let answer = Frame::Beat(nameless(answer), own_revision);
                    self.outputs.push(Output::Send(vec![from], answer));
                }
                if revision > own_revision {
                    self.outputs.push(Output::Newer(from, revision));
                }
            }
            Frame::Load(message) => {
                let taken = self
                    .table
                    .take(now, &message, Duration::ZERO, &self.catalog);
                if taken == Taken::Gap {
                    self.ask(from, Ask::Load);
                }
            }
            Frame::Summary(message, stamp) => {
                self.hear_summary(now, from, &message);
                self.compare(from, stamp);
            }
            Frame::Digest(digest, stamp) => {
                self.hear_digest(now, &digest);
                self.compare(from, stamp);
                let root = digest.host.clone();
                self.spread(&root, Frame::Digest(digest, stamp));
            }
            Frame::Roster(roster, root) => {
                self.membership.enroll(now, roster.clone(), Duration::ZERO);
                self.outputs.push(Output::Changed);
                self.pass_on(root, |root| Frame::Roster(roster, root));
            }
            Frame::Plan(record, root) => self.hear_plan(from, record, root),
            Frame::Ask(ask) => self.answer(now, from, &ask),
            Frame::Notes(notes) => self.outputs.push(Output::Notes(from, notes)),
            Frame::Rates(news) => self.outputs.push(Output::Rates(from, news)),
        }
    }

    /// Tells all that are linked with this host, but the one that told it, of requests that crash targets or of rates.
    pub fn tell(&mut self, frame: Frame, teller: Option<HostKey>) {
        let linked = self.near.union(&self.far).copied();
        let hosts: Vec<HostKey> = linked.filter(|host| Some(*host) != teller).collect();
        if !hosts.is_empty() {
            self.outputs.push(Output::Send(hosts, frame));
        }
    }

    fn hear_summary(&mut self, now: Instant, from: HostKey, message: &Message) {
        let taken = self
            .summaries
            .take(now, message, Duration::ZERO, &self.catalog);
        if taken == Taken::Gap {
            self.ask(from, Ask::Summary);
        }
        if taken == Taken::Ignored {
            return;
        }
        // The loads have an age; the hosts were as they are when it was sent.
        let age = Duration::ZERO;
        self.vouch(now, from, &message.zone, message.roster, age);
        self.outputs.push(Output::Changed);
    }

    fn hear_digest(&mut self, now: Instant, digest: &Digest) {
        let Some(teller) = self.catalog.host_key(&digest.host) else {
            return;
        };
        match self.levels.take(now, digest, Duration::ZERO, &self.catalog) {
            Taken::Ignored => return,
            Taken::Gap => self.ask(teller, Ask::Digest),
            Taken::Newer => {}
        }
        let reports: Vec<_> = digest
            .zones
            .iter()
            .map(|zone| zone.report.clone())
            .collect();
        self.membership.report(now, &reports, Duration::ZERO);
        for zone in digest.zones.iter().filter(|zone| zone.roster != 0) {
            let age = Duration::from_millis(zone.report.age_ms.into());
            self.vouch(now, teller, &zone.report.zone, zone.roster, age);
        }
        self.outputs.push(Output::Changed);
    }

    /// Takes in that the hosts of a zone are as they were, or asks who they are.
    fn vouch(&mut self, now: Instant, from: HostKey, zone: &Arc<str>, roster: u64, age: Duration) {
        let Some(key) = self.catalog.zone_key(zone) else {
            return;
        };
        if key != self.zone && !self.membership.vouch(now, key, roster, age) {
            self.ask(from, Ask::Roster(zone.clone()));
        }
    }

    /// Asks for the plan of a host if it is newer.
    fn compare(&mut self, from: HostKey, stamp: Stamp) {
        if stamp > self.record.stamp {
            self.ask(from, Ask::Plan);
        }
    }

    fn answer(&mut self, now: Instant, from: HostKey, ask: &Ask) {
        match ask {
            Ask::Load => self.reports.refill(),
            Ask::Summary => self.summary.refill(),
            Ask::Digest => self.digest.refill(),
            Ask::Plan => self.send_plan(from),
            Ask::Roster(zone) => {
                let roster = match self.catalog.zone_key(zone) {
                    Some(zone) if zone == self.zone => Some(self.membership.roster(now)),
                    Some(zone) => self.membership.kept(now, zone),
                    None => None,
                };
                if let Some(roster) = roster {
                    let frame = Frame::Roster(roster, None);
                    self.outputs.push(Output::Send(vec![from], frame));
                }
            }
        }
    }

    fn hear_plan(&mut self, from: HostKey, record: Record, root: Option<Arc<str>>) {
        if record.stamp <= self.gate.newest() {
            return;
        }
        let Some(whole) = record.onto(&self.record) else {
            self.ask(from, Ask::Plan);
            return;
        };
        if !self.gate.accept(whole.stamp) {
            return;
        }
        self.lease.learn(whole.stamp.epoch);
        self.record = whole;
        self.outputs.push(Output::Planned);
        self.pass_on(root, |root| Frame::Plan(record, root));
    }

    /// Passes a message on: along the tree of its root, or as the root of one if it came from another
    /// zone and this is the first delegate here.
    fn pass_on(&mut self, root: Option<Arc<str>>, frame: impl FnOnce(Option<Arc<str>>) -> Frame) {
        match root {
            Some(root) => {
                let frame = frame(Some(root.clone()));
                self.spread(&root, frame);
            }
            None if self.is_head() => {
                let name = self.name.clone();
                let frame = frame(Some(name.clone()));
                self.spread(&name, frame);
            }
            None => {}
        }
    }

    fn spread(&mut self, root: &str, frame: Frame) {
        let Some(root) = self.catalog.host_key(root) else {
            return;
        };
        let live = self.membership.zone_hosts(self.zone);
        let branches = delegate::branches(root, self.own, &live, &self.catalog);
        if !branches.is_empty() {
            self.outputs.push(Output::Send(branches, frame));
        }
    }

    fn is_linked(&self, host: HostKey) -> bool {
        self.near.contains(&host) || self.far.contains(&host)
    }

    fn is_head(&self) -> bool {
        self.heads.get(&self.zone) == Some(&self.own)
    }

    /// The outcome of a command on the lease.
    pub fn leased(&mut self, now: Instant, event: lease::Event, rng: &mut impl Rng) {
        self.lease.event(now, event, rng);
        self.rule(now);
    }

    /// The outcome of a command on the plan.
    pub fn published(&mut self, now: Instant, event: publish::Event, rng: &mut impl Rng) {
        let asked = self.asked.take();
        let Some(reign) = &mut self.reign else {
            return;
        };
        if asked != Some(reign.publish.epoch()) {
            return;
        }
        match reign.publish.event(now, event, rng) {
            Some(Outcome::Published(stamp)) if stamp == reign.written.stamp => {
                reign.plan.stamp = stamp;
                let record = reign.written.clone();
                self.take_own(record);
            }
            Some(Outcome::Published(_)) | None => {}
            Some(Outcome::Fenced(epoch)) => {
                self.lease.learn(epoch);
                self.reign = None;
            }
        }
    }

    /// The plan that was found in the store. It counts if it is newer than what is known here, and a
    /// planner goes on from it.
    pub fn stored(&mut self, now: Instant, record: Record) {
        let stamp = record.stamp;
        if record.base.is_some() || !self.gate.accept(stamp) {
            return;
        }
        self.lease.learn(stamp.epoch);
        self.record = record;
        self.outputs.push(Output::Planned);
        let heads = self.other_heads();
        let frame = Frame::Plan(self.record.clone(), None);
        self.outputs.push(Output::Send(heads, frame));
        let name = self.name.clone();
        let frame = Frame::Plan(self.record.clone(), Some(name.clone()));
        self.spread(&name, frame);
        let previous = self.record.plan(&self.catalog);
        let others = |reign: &&mut Reign| reign.written.stamp != stamp;
        if let Some(reign) = self.reign.as_mut().filter(others) {
            reign.planner = Planner::new(now, Some(&previous), &self.catalog);
            reign.plan = previous;
        }
    }

    /// Puts a plan in force that this host published, and tells the other zones.
    fn take_own(&mut self, record: Record) {
        if !self.gate.accept(record.stamp) {
            return;
        }
        let difference = record.since(&self.record);
        self.record = record;
        self.outputs.push(Output::Planned);
        let heads = self.other_heads();
        self.outputs
            .push(Output::Send(heads, Frame::Plan(difference.clone(), None)));
        let name = self.name.clone();
        self.spread(&name, Frame::Plan(difference, Some(name.clone())));
    }

    fn other_heads(&self) -> Vec<HostKey> {
        self.heads
            .values()
            .copied()
            .filter(|&head| head != self.own)
            .collect()
    }

    /// Begins to plan when the lease was gained, and ends when it was lost.
    fn rule(&mut self, now: Instant) {
        match (self.lease.held(now), &self.reign) {
            (Some(epoch), None) => {
                let previous = self.record.plan(&self.catalog);
                self.reign = Some(Reign {
                    planner: Planner::new(now, Some(&previous), &self.catalog),
                    publish: Publish::new(now, epoch),
                    plan: previous,
                    written: Record::default(),
                });
                self.due.plan = now;
            }
            (None, Some(_)) => self.reign = None,
            _ => {}
        }
    }

    /// Does what is due, and gives all that is to be done. `revision` is the configuration in force.
    pub fn tick(&mut self, now: Instant, revision: u64, rng: &mut impl Rng) -> Vec<Output> {
        if now >= self.due.look {
            self.due.look = now + LOOK;
            self.look(now);
        }
        if now >= self.due.relink {
            self.due.relink = now + RELINK;
            self.relink(now);
        }
        self.beat(now, revision);
        if now >= self.due.load {
            self.due.load = next(self.due.load, self.interval(), now);
            self.report(now);
        }
        if now >= self.due.summary {
            self.due.summary = next(self.due.summary, summary::INTERVAL, now);
            self.summarize(now);
        }
        if now >= self.due.digest {
            self.due.digest = next(self.due.digest, digest::INTERVAL, now);
            self.tell_zones(now);
        }
        self.govern(now, rng);
        std::mem::take(&mut self.outputs)
    }

    /// Time between the reports of the hosts of the own zone. The first delegate of a large one
    /// would receive too much otherwise.
    fn interval(&self) -> Duration {
        if self.size <= FREQUENT {
            summary::INTERVAL
        } else {
            SLOW
        }
    }

    fn look(&mut self, now: Instant) {
        if self.again.take_if(|at| now >= *at).is_some() {
            self.call();
        }
        let changes = self.membership.tick(now);
        if changes.is_empty() {
            return;
        }
        self.outputs.push(Output::Changed);
        // Those who are linked can hear a suspect only if it is linked, too.
        let asked = |c: &Change| matches!(c, Change::Suspected(host) if self.is_linked(*host));
        if changes.iter().any(asked) {
            self.call();
            self.again = Some(now + AGAIN);
        }
        if changes.iter().any(|c| matches!(c, Change::Zone(..))) {
            self.due.digest = now;
        }
        self.relink(now);
        if self.is_head() {
            self.tell_roster(now);
        }
    }

    fn relink(&mut self, now: Instant) {
        let catalog = &self.catalog;
        let links = delegate::links(self.own, &self.membership, catalog);
        let before: BTreeSet<HostKey> = self.near.union(&self.far).copied().collect();
        for &gone in before.difference(&links) {
            self.membership.unlinked(gone);
        }
        for &new in links.difference(&before) {
            self.membership.linking(now, new);
        }
        let zone = self.zone;
        let near = |other: &HostKey| catalog.host(*other).zone == zone;
        (self.near, self.far) = links.iter().copied().partition(near);
        self.heads = catalog
            .zones()
            .filter_map(|(zone, _)| {
                let delegates = delegate::of(zone, &self.membership, catalog);
                Some((zone, *delegates.first()?))
            })
            .collect();
        // Only first delegates have the summaries of all zones.
        let candidacy = if self.is_head() {
            Candidacy::Stands
        } else {
            Candidacy::Abstains
        };
        self.lease.stand(now, candidacy);
        if links != before {
            self.outputs.push(Output::Links(links));
        }
    }

    fn beat(&mut self, now: Instant, revision: u64) {
        if now < self.due.beat {
            return;
        }
        self.due.beat = next(self.due.beat, INTERVAL, now);
        self.membership.advance();
        let near = Frame::Beat(nameless(self.membership.beat(INTERVAL)), revision);
        self.outputs
            .push(Output::Send(self.near.iter().copied().collect(), near));
        let slow = delegate::interval(self.far.len());
        if now < self.due.far {
            return;
        }
        self.due.far = now + slow.saturating_sub(INTERVAL / 2);
        let far = Frame::Beat(nameless(self.membership.beat(slow)), revision);
        self.outputs
            .push(Output::Send(self.far.iter().copied().collect(), far));
    }

    fn report(&mut self, now: Instant) {
        let sample = Sample {
            age: now.saturating_duration_since(self.measured),
            hosts: (1, 1),
            applied: self.record.stamp,
            moving: self.moving.clone(),
            loads: self.loads.clone(),
            needs: self.needs.clone(),
            ..Sample::default()
        };
        let message = self.reports.message(now, &sample, &self.catalog);
        self.table
            .take(now, &message, Duration::ZERO, &self.catalog);
        let Some(&head) = self.heads.get(&self.zone) else {
            return;
        };
        if head != self.own {
            let load = Frame::Load(message);
            self.outputs.push(Output::Send(vec![head], load));
        }
    }

    /// What the first delegate of a zone tells those of the others.
    fn summarize(&mut self, now: Instant) {
        if !self.is_head() {
            return;
        }
        self.tell_roster(now);
        let hosts = self.membership.zone_hosts(self.zone);
        let fresh = self.interval() + summary::FRESH.saturating_sub(summary::INTERVAL);
        let Some(mut sample) = self.table.merge_within(now, fresh, hosts) else {
            return;
        };
        sample.roster = self.roster;
        let message = self.summary.message(now, &sample, &self.catalog);
        self.summaries
            .take(now, &message, Duration::ZERO, &self.catalog);
        let heads = self.other_heads();
        let summary = Frame::Summary(message, self.record.stamp);
        self.outputs.push(Output::Send(heads, summary));
    }

    /// Tells the other zones who is here, if that is not what they were told last.
    fn tell_roster(&mut self, now: Instant) {
        let roster = self.membership.roster(now);
        let digest = roster.digest();
        if self.roster != digest {
            self.roster = digest;
            let heads = self.other_heads();
            self.outputs
                .push(Output::Send(heads, Frame::Roster(roster, None)));
        }
    }

    /// What the first delegate of a zone tells its hosts of the other zones.
    fn tell_zones(&mut self, now: Instant) {
        if !self.is_head() {
            return;
        }
        let digest = self
            .digest
            .digest(now, &self.summaries, &self.membership, &self.catalog);
        let name = self.name.clone();
        let stamp = self.record.stamp;
        self.spread(&name, Frame::Digest(digest, stamp));
    }

    /// Seeks the lease, and plans while it is held.
    fn govern(&mut self, now: Instant, rng: &mut impl Rng) {
        if let Some(command) = self.lease.tick(now, rng) {
            self.outputs.push(Output::Lease(command));
        }
        self.rule(now);
        let held = self.lease.held(now);
        let Some(reign) = &mut self.reign else {
            return;
        };
        // The first act of an epoch writes the plan as it was, if there was one. After that a plan is
        // made only when the one before it is in the store.
        let free = reign.publish.is_idle() || reign.plan.splits.is_empty();
        if now >= self.due.plan && free {
            self.due.plan = now + planner::INTERVAL;
            let sights = sights(&self.catalog, &self.membership);
            let view = View {
                catalog: &self.catalog,
                summaries: &self.summaries,
                sights: &sights,
            };
            let (plan, changed) = reign.planner.make(now, reign.publish.next(), &view);
            if changed {
                reign.plan = plan;
                reign.publish.want();
            }
        }
        if self.asked.is_some() {
            return;
        }
        if let Some(command) = reign.publish.tick(now, held) {
            self.asked = Some(reign.publish.epoch());
            if let publish::Command::Write { stamp, .. } = &command {
                reign.plan.stamp = *stamp;
                reign.written = reign.plan.record(&self.catalog);
            }
            let record = Box::new(reign.written.clone());
            self.outputs.push(Output::Plan(command, record));
        }
    }

    /// The hosts to which new work may be sent.
    pub fn live(&self) -> BTreeSet<HostKey> {
        self.membership.live_hosts()
    }

    /// Whether any host of a zone is heard, without suspicion. Always so for the own zone.
    pub fn is_heard(&self, zone: ZoneKey) -> bool {
        let hosts = self.membership.zone_hosts(zone);
        zone == self.zone
            || hosts
                .iter()
                .any(|&host| self.membership.status(host) == Status::Alive)
    }

    /// What is believed of each zone.
    pub fn sights(&self) -> BTreeMap<ZoneKey, Sight> {
        sights(&self.catalog, &self.membership)
    }

    /// What is known of a service in a zone, with its age.
    ///
    /// First delegates know the summaries of all zones. To other hosts the figures of another zone
    /// are its configured slots and the requests that run or wait on them, in steps of a twentieth
    /// of the slots and up to five times these; no slot is live if none is there. Rates and the
    /// part that is cold are not known to them. Of the own zone they know the live slots, and of the
    /// requests only their own.
    pub fn load(
        &self,
        now: Instant,
        service: ServiceKey,
        zone: ZoneKey,
    ) -> Option<(Load, Duration)> {
        if self.is_head() {
            let source = self.summaries.zone(now, zone, &self.catalog)?;
            let entry = source.load(service)?;
            return Some((entry.load, now.saturating_duration_since(entry.sampled)));
        }
        if zone == self.zone {
            let load = *self.loads.get(&service)?;
            return Some((load, now.saturating_duration_since(self.measured)));
        }
        let level = self.levels.level(service, zone)?;
        let slots = self.catalog.site(service, zone)?.slots as f32;
        let load = match level.filled.is_finite() {
            true => Load {
                live: slots,
                in_flight: slots * level.filled as f32,
                ..Load::default()
            },
            false => Load::default(),
        };
        Some((load, now.saturating_duration_since(level.sampled)))
    }

    /// The splits of the plan in force.
    pub fn splits(&self) -> BTreeMap<(ServiceKey, RegionKey), super::plan::Shares> {
        self.record.plan(&self.catalog).splits
    }

    /// The plan in force.
    pub fn stamp(&self) -> Stamp {
        self.record.stamp
    }

    /// The epoch of the lease, if this host holds it.
    pub fn held(&self, now: Instant) -> Option<u64> {
        self.lease.held(now)
    }

    /// Whether this host is a delegate of its zone.
    pub fn is_delegate(&self) -> bool {
        delegate::is_delegate(self.own, &self.membership, &self.catalog)
    }

    /// The hosts this one is to be linked with.
    pub fn linked(&self) -> BTreeSet<HostKey> {
        self.near.union(&self.far).copied().collect()
    }

    /// Who is believed to be alive, with incarnations.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }
}

fn sights(catalog: &Catalog, membership: &Membership) -> BTreeMap<ZoneKey, Sight> {
    catalog
        .zones()
        .map(|(zone, _)| (zone, membership.zone(zone)))
        .collect()
}

/// Hosts configured in a zone.
fn size(zone: ZoneKey, catalog: &Catalog) -> usize {
    catalog
        .hosts()
        .filter(|(_, host)| host.zone == zone)
        .count()
}

/// Delay of the first reports of a host, so that they do not all come at once.
fn phase(name: &str, incarnation: u64) -> Duration {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), incarnation);
    summary::INTERVAL.mul_f64((hash % 64) as f64 / 64.0)
}

/// A heartbeat without the name of its sender, whom the receiver knows by the link.
fn nameless(beat: Beat) -> Beat {
    Beat {
        host: Arc::default(),
        ..beat
    }
}
