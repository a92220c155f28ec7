//! The control agent of one host: combines membership, load summaries, the planner lease and the
//! plan.
//!
//! Does no I/O: the embedding process passes in messages and outcomes together with the current
//! time, and carries out the [`Output`]s that come back.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;

use super::delegate;
use super::detector::INTERVAL;
use super::digest::{self, Digest, Levels};
use super::lease::{self, Candidacy, Lease};
use super::membership::{Change, Heartbeat, Listing, Membership, Status, ZoneStatus};
use super::plan::{Gate, Plan, PlanRecord, Stamp};
use super::planner::{self, Planner, View};
use super::publish::{self, Outcome, Publisher};
use super::summary::{self, ApplyResult, Load, Message, Sample, Sender, Table};
use super::wire::{Ask, Frame};
use crate::catalog::{Catalog, HostKey, RegionKey, ServiceKey, ZoneKey};
use crate::steer::quarantine::Notice;
use crate::steer::throttle::RateUpdate;

/// Interval between checks for silent hosts.
pub const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Largest number of hosts in a zone for which every host reports its load each
/// [`summary::INTERVAL`].
const MAX_FREQUENT_REPORTERS: usize = 24;
/// Interval between the load reports of a host in a larger zone.
const SLOW_REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Delay after a suspicion before the linked hosts are asked about the suspect again. A live host
/// has sent its next heartbeat by then.
const SUSPECT_RETRY_DELAY: Duration = Duration::from_millis(600);
/// Interval at which the wanted links are recomputed when nothing changes.
const RELINK_INTERVAL: Duration = Duration::from_secs(5);

/// An action for the embedding process to carry out.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to these hosts.
    Send(Vec<HostKey>, Frame),
    /// Keep links to exactly these hosts.
    Links(BTreeSet<HostKey>),
    /// Run a command on the lease object and pass its outcome to [`Agent::handle_lease_event`].
    Lease(lease::Command),
    /// Run a command on the plan object and pass its outcome to [`Agent::handle_publish_event`].
    /// The record is the value to write.
    Plan(publish::Command, Box<PlanRecord>),
    /// A link to this host has opened.
    Joined(HostKey),
    /// This host has a newer configuration, with this revision.
    Newer(HostKey, u64),
    /// The set of live hosts, or the status or load known of a zone, may have changed.
    Changed,
    /// A different plan is in force.
    Planned,
    /// A host reported requests that crash targets.
    Notices(HostKey, Vec<Notice>),
    /// A host reported request rates that targets announced.
    Rates(HostKey, Vec<RateUpdate>),
}

/// When each periodic task is due next.
#[derive(Clone, Copy, Debug)]
struct Due {
    liveness_check: Instant,
    zone_heartbeat: Instant,
    remote_heartbeat: Instant,
    load_report: Instant,
    summary: Instant,
    digest: Instant,
    relink: Instant,
    plan: Instant,
}

impl Due {
    fn new(now: Instant, phase: Duration) -> Self {
        Self {
            liveness_check: now,
            zone_heartbeat: now + phase / 4,
            remote_heartbeat: now,
            load_report: now + phase,
            summary: now + phase,
            digest: now + phase,
            relink: now,
            plan: now + phase,
        }
    }
}

/// Returns the next due time of a task that runs every `interval`. Missed runs are skipped.
fn next_due(due: Instant, interval: Duration, now: Instant) -> Instant {
    let next = due + interval;
    if next > now {
        next
    } else {
        now + interval
    }
}

/// The planner state that exists while this host holds the lease.
#[derive(Debug)]
struct PlannerTerm {
    planner: Planner,
    publisher: Publisher,
    plan: Plan,
    /// The record written last, with its stamp.
    last_written: PlanRecord,
}

/// The control agent of one host.
#[derive(Debug)]
pub struct Agent {
    own: HostKey,
    name: Arc<str>,
    zone: ZoneKey,
    catalog: Arc<Catalog>,
    membership: Membership,
    zone_links: BTreeSet<HostKey>,
    remote_links: BTreeSet<HostKey>,
    /// The first delegate of each zone.
    first_delegates: BTreeMap<ZoneKey, HostKey>,
    /// Number of hosts configured in the own zone.
    hosts_in_zone: usize,
    reports: Sender,
    summary: Sender,
    digest: digest::Sender,
    /// The loads that the host measured at its own targets, and the time of the measurement.
    loads: BTreeMap<ServiceKey, Load>,
    /// `None` until they are measured for the first time.
    loads_measured_at: Option<Instant>,
    unsettled_services: BTreeSet<ServiceKey>,
    quota_needs: BTreeMap<(HostKey, RegionKey), f32>,
    /// Load reports of the hosts in the own zone.
    zone_reports: Table,
    /// Summaries of all zones. Only the first delegate of a zone receives them.
    summaries: Table,
    /// Fill levels of the sites in other zones. Hosts that are not first delegates use them.
    levels: Levels,
    record: PlanRecord,
    gate: Gate,
    lease: Lease,
    planner_term: Option<PlannerTerm>,
    /// The epoch of the pending command on the plan object; none if no answer is awaited.
    pending_epoch: Option<u64>,
    /// Digest of the roster that was last sent to the other zones.
    sent_roster_digest: u64,
    /// When the linked hosts are asked about a suspect again.
    suspect_retry: Option<Instant>,
    due: Due,
    outputs: Vec<Output>,
}

impl Agent {
    /// Creates the agent of the host `own`, which starts now.
    pub fn new(now: Instant, own: HostKey, incarnation: u64, catalog: Arc<Catalog>) -> Self {
        let host = catalog.host(own);
        let phase = initial_delay(&host.name, incarnation);
        let size = zone_size(host.zone, &catalog);
        Self {
            own,
            name: host.name.clone(),
            zone: host.zone,
            membership: Membership::new(now, own, incarnation, &catalog),
            zone_links: BTreeSet::new(),
            remote_links: BTreeSet::new(),
            first_delegates: BTreeMap::new(),
            hosts_in_zone: size,
            reports: Sender::new(own, incarnation).with_hosts(size),
            summary: Sender::new(own, incarnation),
            digest: digest::Sender::new(own, incarnation),
            loads: BTreeMap::new(),
            loads_measured_at: None,
            unsettled_services: BTreeSet::new(),
            quota_needs: BTreeMap::new(),
            zone_reports: Table::new(),
            summaries: Table::new(),
            levels: Levels::new(),
            record: PlanRecord::default(),
            gate: Gate::default(),
            lease: Lease::new(now, format!("{}.{incarnation}", host.name).into()),
            planner_term: None,
            pending_epoch: None,
            sent_roster_digest: 0,
            suspect_retry: None,
            due: Due::new(now, phase),
            outputs: Vec::new(),
            catalog,
        }
    }

    /// Applies a new configuration.
    pub fn apply_catalog(&mut self, now: Instant, catalog: Arc<Catalog>) {
        self.membership.apply_catalog(&catalog);
        self.hosts_in_zone = zone_size(self.zone, &catalog);
        self.catalog = catalog;
        self.due.relink = now;
        self.outputs.push(Output::Changed);
    }

    /// Stops taking new work, announces it to all linked hosts at once and gives up the lease.
    pub fn leave(&mut self, now: Instant) {
        self.membership.leave();
        self.send_extra_heartbeats();
        self.lease.set_candidacy(now, Candidacy::Ineligible);
        self.outputs.push(Output::Changed);
    }

    /// Sets the loads measured at the host's own targets, and the services whose splits on this
    /// host have not reached the plan yet.
    pub fn set_loads(
        &mut self,
        now: Instant,
        loads: BTreeMap<ServiceKey, Load>,
        unsettled_services: BTreeSet<ServiceKey>,
    ) {
        self.loads = loads;
        self.loads_measured_at = Some(now);
        self.unsettled_services = unsettled_services;
    }

    /// Sets the quota that the host needs beyond its static parts, by target region and in the unit
    /// of the quota.
    pub fn set_quota_needs(&mut self, needs: BTreeMap<RegionKey, f32>) {
        let own = self.own;
        self.quota_needs = needs
            .into_iter()
            .map(|(region, wanted)| ((own, region), wanted))
            .collect();
    }

    /// Records that a link to a host is open.
    pub fn link_up(&mut self, now: Instant, host: HostKey) {
        self.membership.link_up(now, host);
        self.outputs.push(Output::Joined(host));
        self.send_heartbeat(host);
        if self.catalog.host(host).zone != self.zone {
            self.summary.force_full();
            return;
        }
        self.reports.force_full();
        self.digest.force_full();
        if self.is_first_delegate() {
            self.send_plan(host);
        }
    }

    /// Sends a heartbeat to one host outside the regular schedule.
    fn send_heartbeat(&mut self, host: HostKey) {
        let interval = match self.remote_links.contains(&host) {
            true => delegate::heartbeat_interval(self.remote_links.len()),
            false => INTERVAL,
        };
        let frame = Frame::Beat(
            without_sender(self.membership.heartbeat(interval)),
            self.catalog.revision,
        );
        self.outputs.push(Output::Send(vec![host], frame));
    }

    /// Sends a heartbeat to all linked hosts outside the regular schedule.
    fn send_extra_heartbeats(&mut self) {
        let remote_interval = delegate::heartbeat_interval(self.remote_links.len());
        for (hosts, interval) in [
            (&self.zone_links, INTERVAL),
            (&self.remote_links, remote_interval),
        ] {
            let frame = Frame::Beat(
                without_sender(self.membership.heartbeat(interval)),
                self.catalog.revision,
            );
            let hosts = hosts.iter().copied().collect();
            self.outputs.push(Output::Send(hosts, frame));
        }
    }

    fn send_plan(&mut self, host: HostKey) {
        if self.record.stamp > Stamp::default() {
            let plan = Frame::Plan(self.record.clone(), None);
            self.outputs.push(Output::Send(vec![host], plan));
        }
    }

    fn send_request(&mut self, host: HostKey, ask: Ask) {
        self.outputs.push(Output::Send(vec![host], Frame::Ask(ask)));
    }

    /// Records that the link to a host broke.
    pub fn link_down(&mut self, now: Instant, host: HostKey) {
        if self.is_linked(host) {
            self.membership.link_down(now, host);
        } else {
            // Only the other host wanted this link, and has closed it.
            self.membership.link_closed(host);
        }
    }

    /// Records how the platform lists a host.
    pub fn set_listing(&mut self, now: Instant, host: HostKey, listing: Listing) {
        self.membership.set_listing(now, host, listing);
    }

    /// Handles a message that came over the link from `from`. `own_revision` is the revision of the
    /// configuration in force on this host.
    pub fn receive(&mut self, now: Instant, from: HostKey, frame: Frame, own_revision: u64) {
        match frame {
            Frame::Beat(mut heartbeat, revision) => {
                heartbeat.host = self.catalog.host(from).name.clone();
                if let Some(answer) = self.membership.receive(now, &heartbeat) {
                    let answer = Frame::Beat(without_sender(answer), own_revision);
                    self.outputs.push(Output::Send(vec![from], answer));
                }
                if revision > own_revision {
                    self.outputs.push(Output::Newer(from, revision));
                }
            }
            Frame::Load(message) => {
                let result = self
                    .zone_reports
                    .apply(now, &message, Duration::ZERO, &self.catalog);
                if result == ApplyResult::Gap {
                    self.send_request(from, Ask::Load);
                }
            }
            Frame::Summary(message, stamp) => {
                self.receive_summary(now, from, &message);
                self.request_newer_plan(from, stamp);
            }
            Frame::Digest(digest, stamp) => {
                self.receive_digest(now, &digest);
                self.request_newer_plan(from, stamp);
                let root = digest.host.clone();
                self.send_to_branches(&root, Frame::Digest(digest, stamp));
            }
            Frame::Roster(roster, root) => {
                self.membership
                    .merge_roster(now, roster.clone(), Duration::ZERO);
                self.outputs.push(Output::Changed);
                self.forward(root, |root| Frame::Roster(roster, root));
            }
            Frame::Plan(record, root) => self.receive_plan(from, record, root),
            Frame::Ask(ask) => self.handle_request(now, from, &ask),
            Frame::Notices(notices) => self.outputs.push(Output::Notices(from, notices)),
            Frame::Rates(updates) => self.outputs.push(Output::Rates(from, updates)),
        }
    }

    /// Sends a frame about crashing requests or target rates to all linked hosts except the one it
    /// came from.
    pub fn broadcast(&mut self, frame: Frame, origin: Option<HostKey>) {
        let linked = self.zone_links.union(&self.remote_links).copied();
        let hosts: Vec<HostKey> = linked.filter(|host| Some(*host) != origin).collect();
        if !hosts.is_empty() {
            self.outputs.push(Output::Send(hosts, frame));
        }
    }

    fn receive_summary(&mut self, now: Instant, from: HostKey, message: &Message) {
        let result = self
            .summaries
            .apply(now, message, Duration::ZERO, &self.catalog);
        if result == ApplyResult::Gap {
            self.send_request(from, Ask::Summary);
        }
        if result == ApplyResult::Ignored {
            return;
        }
        // The age in the message is that of the loads. The roster digest is current as of sending.
        let age = Duration::ZERO;
        self.confirm_roster(now, from, &message.zone, message.roster, age);
        self.outputs.push(Output::Changed);
    }

    fn receive_digest(&mut self, now: Instant, digest: &Digest) {
        let Some(sender) = self.catalog.host_key(&digest.host) else {
            return;
        };
        match self
            .levels
            .apply(now, digest, Duration::ZERO, &self.catalog)
        {
            ApplyResult::Ignored => return,
            ApplyResult::Gap => self.send_request(sender, Ask::Digest),
            ApplyResult::Newer => {}
        }
        let reports: Vec<_> = digest
            .zones
            .iter()
            .map(|zone| zone.report.clone())
            .collect();
        self.membership.merge_reports(now, &reports, Duration::ZERO);
        for zone in digest.zones.iter().filter(|zone| zone.roster != 0) {
            let age = Duration::from_millis(zone.report.age_ms.into());
            self.confirm_roster(now, sender, &zone.report.zone, zone.roster, age);
        }
        self.outputs.push(Output::Changed);
    }

    /// Confirms the known roster of a zone if its digest matches, else requests the roster.
    fn confirm_roster(
        &mut self,
        now: Instant,
        from: HostKey,
        zone: &Arc<str>,
        roster: u64,
        age: Duration,
    ) {
        let Some(zone_key) = self.catalog.zone_key(zone) else {
            return;
        };
        if zone_key != self.zone && !self.membership.confirm_roster(now, zone_key, roster, age) {
            self.send_request(from, Ask::Roster(zone.clone()));
        }
    }

    /// Requests the plan of a host if it is newer than the known one.
    fn request_newer_plan(&mut self, from: HostKey, stamp: Stamp) {
        if stamp > self.record.stamp {
            self.send_request(from, Ask::Plan);
        }
    }

    fn handle_request(&mut self, now: Instant, from: HostKey, ask: &Ask) {
        match ask {
            Ask::Load => self.reports.force_full(),
            Ask::Summary => self.summary.force_full(),
            Ask::Digest => self.digest.force_full(),
            Ask::Plan => self.send_plan(from),
            Ask::Roster(zone) => {
                let roster = match self.catalog.zone_key(zone) {
                    Some(zone) if zone == self.zone => Some(self.membership.roster(now)),
                    Some(zone) => self.membership.cached_roster(now, zone),
                    None => None,
                };
                if let Some(roster) = roster {
                    let frame = Frame::Roster(roster, None);
                    self.outputs.push(Output::Send(vec![from], frame));
                }
            }
        }
    }

    fn receive_plan(&mut self, from: HostKey, record: PlanRecord, root: Option<Arc<str>>) {
        if record.stamp <= self.gate.newest() {
            return;
        }
        let Some(whole_plan) = record.applied_to(&self.record) else {
            self.send_request(from, Ask::Plan);
            return;
        };
        if !self.gate.accept(whole_plan.stamp) {
            return;
        }
        self.lease.observe_epoch(whole_plan.stamp.epoch);
        self.record = whole_plan;
        self.outputs.push(Output::Planned);
        self.forward(root, |root| Frame::Plan(record, root));
    }

    /// Forwards a message to the hosts of the own zone. A message with a root goes on along the
    /// tree of that root. One without a root came from another zone: the first delegate becomes the
    /// root of a new tree.
    fn forward(
        &mut self,
        root: Option<Arc<str>>,
        make_frame: impl FnOnce(Option<Arc<str>>) -> Frame,
    ) {
        match root {
            Some(root) => {
                let frame = make_frame(Some(root.clone()));
                self.send_to_branches(&root, frame);
            }
            None if self.is_first_delegate() => {
                let name = self.name.clone();
                let frame = make_frame(Some(name.clone()));
                self.send_to_branches(&name, frame);
            }
            None => {}
        }
    }

    fn send_to_branches(&mut self, root: &str, frame: Frame) {
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
        self.zone_links.contains(&host) || self.remote_links.contains(&host)
    }

    fn is_first_delegate(&self) -> bool {
        self.first_delegates.get(&self.zone) == Some(&self.own)
    }

    /// Handles the outcome of a command on the lease object.
    pub fn handle_lease_event(&mut self, now: Instant, event: lease::Event, rng: &mut impl Rng) {
        self.lease.handle_event(now, event, rng);
        self.update_planner_term(now);
    }

    /// Handles the outcome of a command on the plan object.
    pub fn handle_publish_event(
        &mut self,
        now: Instant,
        event: publish::Event,
        rng: &mut impl Rng,
    ) {
        let pending = self.pending_epoch.take();
        let Some(term) = &mut self.planner_term else {
            return;
        };
        if pending != Some(term.publisher.epoch()) {
            return;
        }
        match term.publisher.handle_event(now, event, rng) {
            Some(Outcome::Published(stamp)) if stamp == term.last_written.stamp => {
                term.plan.stamp = stamp;
                let record = term.last_written.clone();
                self.adopt_published_plan(record);
            }
            Some(Outcome::Published(_)) | None => {}
            Some(Outcome::Fenced(epoch)) => {
                self.lease.observe_epoch(epoch);
                self.planner_term = None;
            }
        }
    }

    /// Adopts a plan that was read from the store if it is newer than the known plan, and
    /// distributes it. An active planner continues from it.
    pub fn adopt_stored_plan(&mut self, now: Instant, record: PlanRecord) {
        let stamp = record.stamp;
        if record.base.is_some() || !self.gate.accept(stamp) {
            return;
        }
        self.lease.observe_epoch(stamp.epoch);
        self.record = record;
        self.outputs.push(Output::Planned);
        let delegates = self.other_first_delegates();
        let frame = Frame::Plan(self.record.clone(), None);
        self.outputs.push(Output::Send(delegates, frame));
        let name = self.name.clone();
        let frame = Frame::Plan(self.record.clone(), Some(name.clone()));
        self.send_to_branches(&name, frame);
        let previous = self.record.to_plan(&self.catalog);
        let is_other = |term: &&mut PlannerTerm| term.last_written.stamp != stamp;
        if let Some(term) = self.planner_term.as_mut().filter(is_other) {
            term.planner = Planner::new(now, Some(&previous), &self.catalog);
            term.plan = previous;
        }
    }

    /// Puts a plan in force that this host published, and sends it to the other zones and the own
    /// zone.
    fn adopt_published_plan(&mut self, record: PlanRecord) {
        if !self.gate.accept(record.stamp) {
            return;
        }
        let difference = record.difference_from(&self.record);
        self.record = record;
        self.outputs.push(Output::Planned);
        let delegates = self.other_first_delegates();
        self.outputs.push(Output::Send(
            delegates,
            Frame::Plan(difference.clone(), None),
        ));
        let name = self.name.clone();
        self.send_to_branches(&name, Frame::Plan(difference, Some(name.clone())));
    }

    fn other_first_delegates(&self) -> Vec<HostKey> {
        self.first_delegates
            .values()
            .copied()
            .filter(|&delegate| delegate != self.own)
            .collect()
    }

    /// Creates the planner state when the lease was gained, and drops it when the lease was lost.
    fn update_planner_term(&mut self, now: Instant) {
        match (self.lease.held_epoch(now), &self.planner_term) {
            (Some(epoch), None) => {
                let previous = self.record.to_plan(&self.catalog);
                self.planner_term = Some(PlannerTerm {
                    planner: Planner::new(now, Some(&previous), &self.catalog),
                    publisher: Publisher::new(now, epoch),
                    plan: previous,
                    last_written: PlanRecord::default(),
                });
                self.due.plan = now;
            }
            (None, Some(_)) => self.planner_term = None,
            _ => {}
        }
    }

    /// Runs all tasks that are due and returns the resulting actions. `revision` is the revision of
    /// the configuration in force.
    pub fn tick(&mut self, now: Instant, revision: u64, rng: &mut impl Rng) -> Vec<Output> {
        if now >= self.due.liveness_check {
            self.due.liveness_check = now + LIVENESS_CHECK_INTERVAL;
            self.check_liveness(now);
        }
        if now >= self.due.relink {
            self.due.relink = now + RELINK_INTERVAL;
            self.relink(now);
        }
        self.send_due_heartbeats(now, revision);
        if now >= self.due.load_report {
            self.due.load_report = next_due(self.due.load_report, self.report_interval(), now);
            self.send_load_report(now);
        }
        if now >= self.due.summary {
            self.due.summary = next_due(self.due.summary, summary::INTERVAL, now);
            self.send_summary(now);
        }
        if now >= self.due.digest {
            self.due.digest = next_due(self.due.digest, digest::INTERVAL, now);
            self.send_digest(now);
        }
        self.run_planner(now, rng);
        std::mem::take(&mut self.outputs)
    }

    /// Interval between the load reports of the hosts in the own zone. It is longer in a large
    /// zone, to limit the traffic at its first delegate.
    fn report_interval(&self) -> Duration {
        if self.hosts_in_zone <= MAX_FREQUENT_REPORTERS {
            summary::INTERVAL
        } else {
            SLOW_REPORT_INTERVAL
        }
    }

    fn check_liveness(&mut self, now: Instant) {
        if self.suspect_retry.take_if(|at| now >= *at).is_some() {
            self.send_extra_heartbeats();
        }
        let changes = self.membership.tick(now);
        if changes.is_empty() {
            return;
        }
        self.outputs.push(Output::Changed);
        // Hosts linked with this one usually hear the suspect only if it is linked with this one,
        // too.
        let is_linked_suspect =
            |c: &Change| matches!(c, Change::Suspected(host) if self.is_linked(*host));
        if changes.iter().any(is_linked_suspect) {
            self.send_extra_heartbeats();
            self.suspect_retry = Some(now + SUSPECT_RETRY_DELAY);
        }
        if changes.iter().any(|c| matches!(c, Change::Zone(..))) {
            self.due.digest = now;
        }
        self.relink(now);
        if self.is_first_delegate() {
            self.send_roster(now);
        }
    }

    fn relink(&mut self, now: Instant) {
        let catalog = &self.catalog;
        let links = delegate::wanted_links(self.own, &self.membership, catalog);
        let before: BTreeSet<HostKey> =
            self.zone_links.union(&self.remote_links).copied().collect();
        for &gone in before.difference(&links) {
            self.membership.link_closed(gone);
        }
        for &new in links.difference(&before) {
            self.membership.link_opening(now, new);
        }
        let zone = self.zone;
        let is_in_zone = |other: &HostKey| catalog.host(*other).zone == zone;
        (self.zone_links, self.remote_links) = links.iter().copied().partition(is_in_zone);
        self.first_delegates = catalog
            .zones()
            .filter_map(|(zone, _)| {
                let delegates = delegate::zone_delegates(zone, &self.membership, catalog);
                Some((zone, *delegates.first()?))
            })
            .collect();
        // Only first delegates receive the summaries of all zones, which planning needs.
        let candidacy = if self.is_first_delegate() {
            Candidacy::Eligible
        } else {
            Candidacy::Ineligible
        };
        self.lease.set_candidacy(now, candidacy);
        if links != before {
            self.outputs.push(Output::Links(links));
        }
    }

    fn send_due_heartbeats(&mut self, now: Instant, revision: u64) {
        if now < self.due.zone_heartbeat {
            return;
        }
        self.due.zone_heartbeat = next_due(self.due.zone_heartbeat, INTERVAL, now);
        self.membership.advance_sequence();
        let zone_frame = Frame::Beat(
            without_sender(self.membership.heartbeat(INTERVAL)),
            revision,
        );
        self.outputs.push(Output::Send(
            self.zone_links.iter().copied().collect(),
            zone_frame,
        ));
        let remote_interval = delegate::heartbeat_interval(self.remote_links.len());
        if now < self.due.remote_heartbeat {
            return;
        }
        self.due.remote_heartbeat = now + remote_interval.saturating_sub(INTERVAL / 2);
        let remote_frame = Frame::Beat(
            without_sender(self.membership.heartbeat(remote_interval)),
            revision,
        );
        self.outputs.push(Output::Send(
            self.remote_links.iter().copied().collect(),
            remote_frame,
        ));
    }

    /// Reports the loads, once they have been measured: other hosts take a service without a load
    /// for one without slots.
    fn send_load_report(&mut self, now: Instant) {
        let Some(measured_at) = self.loads_measured_at else {
            return;
        };
        let sample = Sample {
            age: now.saturating_duration_since(measured_at),
            hosts: (1, 1),
            applied: self.record.stamp,
            unsettled_services: self.unsettled_services.clone(),
            loads: self.loads.clone(),
            needs: self.quota_needs.clone(),
            ..Sample::default()
        };
        let message = self.reports.message(now, &sample, &self.catalog);
        self.zone_reports
            .apply(now, &message, Duration::ZERO, &self.catalog);
        let Some(&first_delegate) = self.first_delegates.get(&self.zone) else {
            return;
        };
        if first_delegate != self.own {
            let load = Frame::Load(message);
            self.outputs.push(Output::Send(vec![first_delegate], load));
        }
    }

    /// As first delegate, sends the merged load summary of the own zone to the first delegates of
    /// the other zones.
    fn send_summary(&mut self, now: Instant) {
        if !self.is_first_delegate() {
            return;
        }
        self.send_roster(now);
        let hosts = self.membership.zone_hosts(self.zone);
        let max_age =
            self.report_interval() + summary::MAX_REPORT_AGE.saturating_sub(summary::INTERVAL);
        let Some(mut sample) = self.zone_reports.merge_within(now, max_age, hosts) else {
            return;
        };
        sample.roster = self.sent_roster_digest;
        let message = self.summary.message(now, &sample, &self.catalog);
        self.summaries
            .apply(now, &message, Duration::ZERO, &self.catalog);
        let delegates = self.other_first_delegates();
        let summary = Frame::Summary(message, self.record.stamp);
        self.outputs.push(Output::Send(delegates, summary));
    }

    /// Sends the roster of the own zone to the other zones if it has changed since it was last
    /// sent.
    fn send_roster(&mut self, now: Instant) {
        let roster = self.membership.roster(now);
        let digest = roster.digest();
        if self.sent_roster_digest != digest {
            self.sent_roster_digest = digest;
            let delegates = self.other_first_delegates();
            self.outputs
                .push(Output::Send(delegates, Frame::Roster(roster, None)));
        }
    }

    /// As first delegate, sends a digest of the other zones to the hosts of the own zone.
    fn send_digest(&mut self, now: Instant) {
        if !self.is_first_delegate() {
            return;
        }
        let digest = self
            .digest
            .digest(now, &self.summaries, &self.membership, &self.catalog);
        let name = self.name.clone();
        let stamp = self.record.stamp;
        self.send_to_branches(&name, Frame::Digest(digest, stamp));
    }

    /// Tries to gain or renew the lease, and makes and publishes plans while it is held.
    fn run_planner(&mut self, now: Instant, rng: &mut impl Rng) {
        if let Some(command) = self.lease.tick(now, rng) {
            self.outputs.push(Output::Lease(command));
        }
        self.update_planner_term(now);
        let held = self.lease.held_epoch(now);
        let Some(term) = &mut self.planner_term else {
            return;
        };
        // The first write of an epoch repeats the existing plan, if there is one, to fence off
        // earlier holders. Later plans are made only once the previous one is in the store.
        let can_plan = term.publisher.is_idle() || term.plan.splits.is_empty();
        if now >= self.due.plan && can_plan {
            self.due.plan = now + planner::INTERVAL;
            let zone_statuses = zone_statuses(&self.catalog, &self.membership);
            let view = View {
                catalog: &self.catalog,
                summaries: &self.summaries,
                zone_statuses: &zone_statuses,
            };
            let (plan, changed) = term
                .planner
                .make_plan(now, term.publisher.next_stamp(), &view);
            if changed {
                term.plan = plan;
                term.publisher.request_write();
            }
        }
        if self.pending_epoch.is_some() {
            return;
        }
        if let Some(command) = term.publisher.tick(now, held) {
            self.pending_epoch = Some(term.publisher.epoch());
            if let publish::Command::Write { stamp, .. } = &command {
                term.plan.stamp = *stamp;
                term.last_written = term.plan.to_record(&self.catalog);
            }
            let record = Box::new(term.last_written.clone());
            self.outputs.push(Output::Plan(command, record));
        }
    }

    /// The hosts that may receive new work.
    pub fn live_hosts(&self) -> BTreeSet<HostKey> {
        self.membership.live_hosts()
    }

    /// Whether any host of a zone is alive and not suspected. Always true for the own zone.
    pub fn is_heard(&self, zone: ZoneKey) -> bool {
        let hosts = self.membership.zone_hosts(zone);
        zone == self.zone
            || hosts
                .iter()
                .any(|&host| self.membership.status(host) == Status::Alive)
    }

    /// The status of each zone.
    pub fn zone_statuses(&self) -> BTreeMap<ZoneKey, ZoneStatus> {
        zone_statuses(&self.catalog, &self.membership)
    }

    /// The known load of a service in a zone, with its age.
    ///
    /// First delegates have the summaries of all zones. Other hosts know of another zone only its
    /// configured slots and the requests that run or wait on them, in steps of a twentieth of the
    /// slots and up to five times the slots. If the site has no live slot, all figures are zero.
    /// Rates and the cold share are zero as well. Of the own zone, other hosts know the live slots,
    /// and only the requests that they handle themselves.
    pub fn load(
        &self,
        now: Instant,
        service: ServiceKey,
        zone: ZoneKey,
    ) -> Option<(Load, Duration)> {
        if self.is_first_delegate() {
            let source = self.summaries.zone_source(now, zone, &self.catalog)?;
            let entry = source.load(service)?;
            return Some((entry.load, now.saturating_duration_since(entry.sampled)));
        }
        if zone == self.zone {
            let load = *self.loads.get(&service)?;
            return Some((load, now.saturating_duration_since(self.loads_measured_at?)));
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
        self.record.to_plan(&self.catalog).splits
    }

    /// The stamp of the plan in force.
    pub fn plan_stamp(&self) -> Stamp {
        self.record.stamp
    }

    /// The epoch of the lease, if this host holds it.
    pub fn held_epoch(&self, now: Instant) -> Option<u64> {
        self.lease.held_epoch(now)
    }

    /// Whether this host is a delegate of its zone.
    pub fn is_delegate(&self) -> bool {
        delegate::is_delegate(self.own, &self.membership, &self.catalog)
    }

    /// The hosts that this host should be linked with.
    pub fn wanted_links(&self) -> BTreeSet<HostKey> {
        self.zone_links.union(&self.remote_links).copied().collect()
    }

    /// The membership: the status and incarnation of all hosts.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }
}

fn zone_statuses(catalog: &Catalog, membership: &Membership) -> BTreeMap<ZoneKey, ZoneStatus> {
    catalog
        .zones()
        .map(|(zone, _)| (zone, membership.zone_status(zone)))
        .collect()
}

/// Number of hosts configured in a zone.
fn zone_size(zone: ZoneKey, catalog: &Catalog) -> usize {
    catalog
        .hosts()
        .filter(|(_, host)| host.zone == zone)
        .count()
}

/// Delay of a host's first reports, derived from its name, so that hosts do not all report at once.
fn initial_delay(name: &str, incarnation: u64) -> Duration {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), incarnation);
    summary::INTERVAL.mul_f64((hash % 64) as f64 / 64.0)
}

/// A heartbeat without the sender's name. The receiver knows the sender from the link.
fn without_sender(heartbeat: Heartbeat) -> Heartbeat {
    Heartbeat {
        host: Arc::default(),
        ..heartbeat
    }
}
