//! The core: the actor that decides, on a stakker thread of its own, and the handle to it.
//!
//! A worker sends an event and waits for the verdict on a channel. Requests that ask are counted;
//! beyond a bound they are refused here, without waiting for the core.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, unbounded, Receiver, RecvTimeoutError, Sender};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use stakker::{actor, after, call, ret_nop, ActorOwn, Stakker, CX};

use super::{Error, Published};
use crate::border::settings::Settings;
use crate::catalog::Catalog;
use crate::steer::attempt::Reason;
use crate::steer::engine::{Ask, Decision, Engine, Id, Refusal, Verdict};
use crate::steer::goal::{Standing, View};
use crate::steer::group;

/// Requests that may wait for a verdict at once.
const MAX_ASKING: usize = 8192;
/// Events handled before timers are looked at.
const BATCH: usize = 64;
/// How often the engine is woken if nothing else does.
const TICK: Duration = Duration::from_millis(50);
/// Shortest time between two wake-ups by the engine.
const MIN_TICK: Duration = Duration::from_millis(1);
/// Longest sleep of the core's thread.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// What the core is told.
pub(crate) enum Event {
    /// A request asks where to go.
    Ask(Ask, Sender<Verdict>),
    /// A request left a target.
    Finish(group::Grant, group::Report),
    /// A waiting request is no longer wanted.
    Cancel(Id),
    /// A configuration comes into force.
    Catalog(Arc<Catalog>),
    /// The thread ends.
    Stop,
}

/// The way to the core, for other threads.
#[derive(Clone)]
pub(crate) struct Handle {
    events: Sender<Event>,
    asking: Arc<AtomicUsize>,
}

impl Handle {
    /// Asks where a request goes, waiting no longer than its deadline.
    pub(crate) fn ask(&self, ask: Ask) -> Verdict {
        let id = ask.id;
        let time = ask.deadline.saturating_duration_since(Instant::now());
        if self.asking.fetch_add(1, Ordering::Relaxed) >= MAX_ASKING {
            self.asking.fetch_sub(1, Ordering::Relaxed);
            return refused(Reason::Crowded);
        }
        let (sender, receiver) = bounded(1);
        self.send(Event::Ask(ask, sender));
        let verdict = receiver.recv_timeout(time);
        self.asking.fetch_sub(1, Ordering::Relaxed);
        match verdict {
            Ok(verdict) => verdict,
            Err(RecvTimeoutError::Disconnected) => refused(Reason::Leaving),
            Err(RecvTimeoutError::Timeout) => {
                self.send(Event::Cancel(id));
                // The verdict may have been given meanwhile; a grant must not be lost.
                drop_grant(self, &receiver);
                refused(Reason::Timeout)
            }
        }
    }

    /// Tells the core something that asks for no answer.
    pub(crate) fn send(&self, event: Event) {
        // The core outlives all that send to it, except while the process ends.
        let _ = self.events.send(event);
    }
}

fn drop_grant(handle: &Handle, receiver: &Receiver<Verdict>) {
    if let Ok(Verdict::Target(grant)) = receiver.recv_timeout(MAX_SLEEP) {
        handle.send(Event::Finish(
            grant,
            group::Report {
                end: group::End::Cancelled,
                latency: Duration::ZERO,
                load: None,
                state: None,
            },
        ));
    }
}

fn refused(reason: Reason) -> Verdict {
    Verdict::Refused(Refusal {
        reason,
        retry_after: Duration::from_secs(1),
    })
}

/// Starts the core's thread.
pub(crate) fn start(
    settings: &Arc<Settings>,
    published: &Arc<Published>,
    seed: u64,
) -> Result<Handle, Error> {
    let (sender, receiver) = unbounded();
    let settings = settings.clone();
    let published = published.clone();
    thread::Builder::new()
        .name("core".into())
        .spawn(move || run(&settings, &published, seed, &receiver))?;
    Ok(Handle {
        events: sender,
        asking: Arc::default(),
    })
}

fn run(settings: &Arc<Settings>, published: &Arc<Published>, seed: u64, events: &Receiver<Event>) {
    let mut stakker = Stakker::new(Instant::now());
    let stakker = &mut stakker;
    let settings = settings.clone();
    let published = published.clone();
    let core = actor!(stakker, Core::init(settings, published, seed), ret_nop!());
    loop {
        let now = Instant::now();
        stakker.run(now, false);
        let wait = stakker.next_wait_max(now, MAX_SLEEP, false);
        match events.recv_timeout(wait) {
            Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            Ok(event) => pass(&core, event),
            Err(RecvTimeoutError::Timeout) => continue,
        }
        for event in events.try_iter().take(BATCH) {
            if matches!(event, Event::Stop) {
                return;
            }
            pass(&core, event);
        }
    }
}

fn pass(core: &ActorOwn<Core>, event: Event) {
    call!([core], event(event));
}

/// The actor.
struct Core {
    settings: Arc<Settings>,
    published: Arc<Published>,
    engine: Engine,
    rng: Pcg64Mcg,
    asking: BTreeMap<Id, Sender<Verdict>>,
}

impl Core {
    fn init(
        cx: CX![],
        settings: Arc<Settings>,
        published: Arc<Published>,
        seed: u64,
    ) -> Option<Self> {
        after!(TICK, [cx], tick());
        Some(Self {
            engine: Engine::new(&settings.steer),
            settings,
            published,
            rng: Pcg64Mcg::seed_from_u64(seed),
            asking: BTreeMap::new(),
        })
    }

    fn event(&mut self, cx: CX![], event: Event) {
        let now = cx.now();
        match event {
            Event::Ask(ask, reply) => self.ask(now, ask, reply),
            Event::Finish(grant, report) => {
                let decisions = self.engine.finish(now, grant, report, &mut self.rng);
                self.tell(decisions);
            }
            Event::Cancel(id) => {
                self.engine.cancel(id);
                self.asking.remove(&id);
            }
            Event::Catalog(catalog) => {
                self.configure(now, catalog);
            }
            Event::Stop => {}
        }
    }

    fn ask(&mut self, now: Instant, ask: Ask, reply: Sender<Verdict>) {
        let id = ask.id;
        match self.engine.ask(now, ask, &mut self.rng) {
            Some(verdict) => {
                // The worker waits until its deadline; after that it takes the grant back itself.
                let _ = reply.send(verdict);
            }
            None => {
                self.asking.insert(id, reply);
            }
        }
    }

    fn configure(&mut self, now: Instant, catalog: Arc<Catalog>) {
        let settings = &self.settings;
        let view = View {
            zones: catalog
                .zones()
                .map(|(key, _)| (key, Standing::Alive))
                .collect(),
            ..View::default()
        };
        let live = catalog.hosts().map(|(key, _)| key).collect();
        self.engine.configure(
            now,
            catalog.clone(),
            &settings.host,
            &settings.availability_zone,
        );
        self.engine.set_live(now, live);
        self.engine.set_view(now, view);
        self.published.put(catalog, self.engine.snapshot());
    }

    fn tell(&mut self, decisions: Vec<Decision>) {
        for (id, verdict) in decisions {
            if let Some(reply) = self.asking.remove(&id) {
                let _ = reply.send(verdict);
            }
        }
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        let decisions = self.engine.tick(now, &mut self.rng);
        self.tell(decisions);
        let wake = self.engine.next_wake(now).unwrap_or(now + TICK);
        let pause = wake.saturating_duration_since(now).clamp(MIN_TICK, TICK);
        after!(pause, [cx], tick());
    }
}
