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
use super::lease::{self, Candidacy, Lease};
use super::membership::{Change, Listing, Membership, Report, Sight};
use super::plan::{Gate, Plan, Record, Stamp};
use super::planner::{self, Planner, View};
use super::publish::{self, Outcome, Publish};
use super::summary::{self, Load, Message, Sample, Sender, Table, Taken};
use super::wire::Frame;
use crate::catalog::{Catalog, HostKey, RegionKey, ServiceKey, ZoneKey};

/// Time between looks at who fell silent.
const LOOK: Duration = Duration::from_millis(100);
/// Time between reports on other zones when nothing changes.
const REPORTS: Duration = Duration::from_secs(5);
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
}

/// When regular work is due next.
#[derive(Clone, Copy, Debug)]
struct Due {
    look: Instant,
    beat: Instant,
    far: Instant,
    load: Instant,
    reports: Instant,
    relink: Instant,
    plan: Instant,
}

impl Due {
    fn new(now: Instant, phase: Duration) -> Self {
        Self {
            look: now,
            beat: now,
            far: now,
            load: now + phase,
            reports: now + phase,
            relink: now,
            plan: now + phase,
        }
    }
}

/// Planning, while the lease is held.
#[derive(Debug)]
struct Reign {
    planner: Planner,
    publish: Publish,
    plan: Plan,
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
    reports: Sender,
    summary: Sender,
    loads: BTreeMap<ServiceKey, Load>,
    table: Table,
    summaries: Table,
    record: Record,
    gate: Gate,
    lease: Lease,
    reign: Option<Reign>,
    digest: u64,
    due: Due,
    outputs: Vec<Output>,
}

impl Agent {
    /// The part of the host `own`, which starts now.
    pub fn new(now: Instant, own: HostKey, incarnation: u64, catalog: Arc<Catalog>) -> Self {
        let host = catalog.host(own);
        let phase = INTERVAL.mul_f64((incarnation % 16) as f64 / 16.0);
        let hosts = catalog
            .hosts()
            .filter(|(_, other)| other.zone == host.zone)
            .count();
        Self {
            own,
            name: host.name.clone(),
            zone: host.zone,
            membership: Membership::new(now, own, incarnation, &catalog),
            near: BTreeSet::new(),
            far: BTreeSet::new(),
            heads: BTreeMap::new(),
            reports: Sender::new(own, incarnation).with_hosts(hosts),
            summary: Sender::new(own, incarnation),
            loads: BTreeMap::new(),
            table: Table::new(),
            summaries: Table::new(),
            record: Record::default(),
            gate: Gate::default(),
            lease: Lease::new(now, format!("{}.{incarnation}", host.name).into()),
            reign: None,
            digest: 0,
            due: Due::new(now, phase),
            outputs: Vec::new(),
            catalog,
        }
    }

    /// Takes in a configuration.
    pub fn configure(&mut self, now: Instant, catalog: Arc<Catalog>) {
        self.membership.configured(&catalog);
        self.catalog = catalog;
        self.due.relink = now;
        self.outputs.push(Output::Changed);
    }

    /// This host takes no new work from now on, and says so at once.
    pub fn leave(&mut self, now: Instant) {
        self.membership.leave();
        self.due.beat = now;
        self.due.far = now;
        self.lease.stand(now, Candidacy::Abstains);
        self.outputs.push(Output::Changed);
    }

    /// What the host measured of its own targets.
    pub fn measure(&mut self, loads: BTreeMap<ServiceKey, Load>) {
        self.loads = loads;
    }

    /// A link to a host is open.
    pub fn link_up(&mut self, now: Instant, host: HostKey) {
        self.membership.link_up(now, host);
        self.reports.refill();
        self.summary.refill();
        self.due.beat = now;
        self.due.far = now;
        self.outputs.push(Output::Joined(host));
        if self.record.stamp > Stamp::default() {
            let plan = Frame::Plan(self.record.clone(), None);
            self.outputs.push(Output::Send(vec![host], plan));
        }
    }

    /// The link to a host broke.
    pub fn link_down(&mut self, now: Instant, host: HostKey) {
        self.membership.link_down(now, host);
    }

    /// What the platform lists of a host.
    pub fn listed(&mut self, now: Instant, host: HostKey, listing: Listing) {
        self.membership.listed(now, host, listing);
    }

    /// A message came over the link from `from`, `own_revision` being the configuration here.
    pub fn receive(&mut self, now: Instant, from: HostKey, frame: Frame, own_revision: u64) {
        match frame {
            Frame::Beat(beat, revision) => {
                if let Some(answer) = self.membership.receive(now, &beat) {
                    let answer = Frame::Beat(answer, own_revision);
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
                    // The sender fills its next message up once it hears of a new listener.
                    self.outputs.push(Output::Joined(from));
                }
            }
            Frame::Summary(message, root) => self.hear_summary(now, message, root),
            Frame::Reports(reports, root) => {
                self.membership.report(now, &reports, Duration::ZERO);
                self.spread(&root, Frame::Reports(reports, root.clone()));
            }
            Frame::Roster(roster, root) => {
                self.membership.enroll(now, roster.clone(), Duration::ZERO);
                self.pass_on(root, |root| Frame::Roster(roster, root));
            }
            Frame::Plan(record, root) => self.hear_plan(record, root),
        }
    }

    fn hear_summary(&mut self, now: Instant, message: Message, root: Option<Arc<str>>) {
        self.summaries
            .take(now, &message, Duration::ZERO, &self.catalog);
        let Some(zone) = self.catalog.zone_key(&message.zone) else {
            return;
        };
        let age = Duration::from_millis(message.head.age_ms.into());
        self.membership.vouch(now, zone, message.roster, age);
        self.outputs.push(Output::Changed);
        self.pass_on(root, |root| Frame::Summary(message, root));
    }

    fn hear_plan(&mut self, record: Record, root: Option<Arc<str>>) {
        let Some(whole) = record.onto(&self.record) else {
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
        let Some(reign) = &mut self.reign else {
            return;
        };
        match reign.publish.event(now, event, rng) {
            Some(Outcome::Published(stamp)) => {
                reign.plan.stamp = stamp;
                let record = reign.plan.record(&self.catalog);
                self.take_own(record);
            }
            Some(Outcome::Fenced(epoch)) => {
                self.lease.learn(epoch);
                self.reign = None;
            }
            None => {}
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
            self.due.load = now + summary::INTERVAL;
            self.report(now);
            self.summarize(now);
        }
        if now >= self.due.reports {
            self.due.reports = now + REPORTS;
            self.tell_zones(now);
        }
        self.govern(now, rng);
        std::mem::take(&mut self.outputs)
    }

    fn look(&mut self, now: Instant) {
        let changes = self.membership.tick(now);
        for change in &changes {
            if matches!(change, Change::Suspected(_)) {
                // Asks the others at once whether they hear it.
                self.due.beat = now;
            }
            self.due.relink = now;
        }
        if changes.iter().any(|c| matches!(c, Change::Zone(..))) {
            self.due.reports = now;
        }
        if !changes.is_empty() {
            self.outputs.push(Output::Changed);
        }
    }

    fn relink(&mut self, now: Instant) {
        let catalog = &self.catalog;
        let links = delegate::links(self.own, &self.membership, catalog);
        let before: BTreeSet<HostKey> = self.near.union(&self.far).copied().collect();
        for &gone in before.difference(&links) {
            self.membership.unlinked(gone);
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
        let candidacy = if delegate::is_delegate(self.own, &self.membership, catalog) {
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
        self.due.beat = now + INTERVAL;
        self.membership.advance();
        let near = Frame::Beat(self.membership.beat(INTERVAL), revision);
        self.outputs
            .push(Output::Send(self.near.iter().copied().collect(), near));
        let slow = delegate::interval(self.far.len());
        if now < self.due.far {
            return;
        }
        self.due.far = now + slow.saturating_sub(INTERVAL / 2);
        let far = Frame::Beat(self.membership.beat(slow), revision);
        self.outputs
            .push(Output::Send(self.far.iter().copied().collect(), far));
    }

    fn report(&mut self, now: Instant) {
        let sample = Sample {
            hosts: (1, 1),
            applied: self.record.stamp,
            loads: self.loads.clone(),
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

    /// What the first delegate of a zone tells the others and its own zone.
    fn summarize(&mut self, now: Instant) {
        if !self.is_head() {
            return;
        }
        let hosts = self.membership.zone_hosts(self.zone);
        let Some(mut sample) = self.table.merge(now, hosts) else {
            return;
        };
        let roster = self.membership.roster(now);
        sample.roster = roster.digest();
        let message = self.summary.message(now, &sample, &self.catalog);
        self.summaries
            .take(now, &message, Duration::ZERO, &self.catalog);
        let heads = self.other_heads();
        if self.digest != sample.roster || message.head.full {
            self.digest = sample.roster;
            self.outputs
                .push(Output::Send(heads.clone(), Frame::Roster(roster, None)));
        }
        self.outputs
            .push(Output::Send(heads, Frame::Summary(message.clone(), None)));
        self.pass_on(None, |root| Frame::Summary(message, root));
    }

    fn tell_zones(&mut self, now: Instant) {
        if self.is_head() {
            let reports: Vec<Report> = self.membership.reports(now);
            let name = self.name.clone();
            self.spread(&name, Frame::Reports(reports, name.clone()));
        }
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
        if now >= self.due.plan {
            self.due.plan = now + planner::INTERVAL;
            let sights = sights(&self.catalog, &self.membership);
            let view = View {
                catalog: &self.catalog,
                summaries: &self.summaries,
                sights: &sights,
            };
            let (plan, changed) = reign.planner.make(now, reign.plan.stamp, &view);
            if changed {
                reign.plan = plan;
                reign.publish.want();
            }
        }
        if let Some(command) = reign.publish.tick(now, held) {
            let mut plan = reign.plan.clone();
            if let publish::Command::Write { stamp, .. } = &command {
                plan.stamp = *stamp;
            }
            let record = Box::new(plan.record(&self.catalog));
            self.outputs.push(Output::Plan(command, record));
        }
    }

    /// A host sent a plan's difference to one that is not known here, or missed summaries.
    pub fn refill(&mut self) {
        self.reports.refill();
        self.summary.refill();
    }

    /// The hosts to which new work may be sent.
    pub fn live(&self) -> BTreeSet<HostKey> {
        self.membership.live_hosts()
    }

    /// What is believed of each zone.
    pub fn sights(&self) -> BTreeMap<ZoneKey, Sight> {
        sights(&self.catalog, &self.membership)
    }

    /// What each zone told last of a service, with its age.
    pub fn load(
        &self,
        now: Instant,
        service: ServiceKey,
        zone: ZoneKey,
    ) -> Option<(Load, Duration)> {
        let source = self.summaries.zone(now, zone, &self.catalog)?;
        let entry = source.load(service)?;
        Some((entry.load, now.saturating_duration_since(entry.sampled)))
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
