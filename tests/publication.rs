//! Publishing and reading revisions of the configuration: races, lost answers, garbage collection, and
//! the reads of hosts.

#![allow(clippy::unwrap_used)]

mod fake_platform;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, SystemTime};

use fake_platform::{Call, Fault, Platform};
use ragwortfold::border::objects::{Head, Past};
use ragwortfold::store::backoff::Backoff;
use ragwortfold::store::breaker::Breaker;
use ragwortfold::store::client::Client;
use ragwortfold::store::guarded_client::GuardedClient;
use ragwortfold::store::publication::{
    fetch, marker, text, Applied, Base, Effect, Error, Fetched, Files, Kind, OverwritePolicy,
    Publication, Signature,
};
use ragwortfold::store::retry::RetryPolicy;
use ragwortfold::store::token_bucket::TokenBucket;
use serde_json::json;

/// Defines a test function for each named case.
macro_rules! case {
    ($($name:ident: $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

const STEP: Duration = Duration::from_millis(1);
/// Number of revisions that garbage collection keeps, as documented.
const KEPT_REVISIONS: u64 = 200;

fn guard(url: &str) -> GuardedClient {
    let client = Client::new(url).with_timeout(Duration::from_secs(20));
    GuardedClient::new(client)
        .with_rate_limit(TokenBucket::new(1e9, 1e9))
        .with_breaker(Breaker::new(u32::MAX, STEP, Backoff::new(STEP, STEP)))
}

fn publication(url: &str) -> Publication {
    let retry = RetryPolicy::new(40, Backoff::new(STEP, STEP * 4));
    Publication::new(guard(url)).with_retry(retry)
}

fn files(list: &[(&str, &str)]) -> Files {
    let pairs = list
        .iter()
        .map(|(name, text)| ((*name).into(), (*text).into()));
    pairs.collect()
}

fn signed(author: &str) -> Signature {
    Signature {
        author: author.into(),
        note: format!("a change of {author}").into(),
        time: SystemTime::UNIX_EPOCH + Duration::from_secs(1),
    }
}

fn accept_all(_: &Files) -> Result<(), String> {
    Ok(())
}

/// An operator with a folder of files and its base.
struct Operator {
    publication: Publication,
    files: Files,
    base: Base,
}

impl Operator {
    fn new(platform: &Platform, list: &[(&str, &str)]) -> Self {
        Self {
            publication: publication(&platform.url),
            files: files(list),
            base: Base::Head(OverwritePolicy::Refuse),
        }
    }

    fn pulled(platform: &Platform) -> Self {
        let mut operator = Self::new(platform, &[]);
        operator.pull();
        operator
    }

    fn pull(&mut self) {
        let fetched = self.publication.pull().unwrap().unwrap();
        self.base = Base::Pulled(marker::for_revision(&fetched));
        self.files = fetched.files;
    }

    fn set(&mut self, name: &str, text: &str) -> &mut Self {
        self.files.insert(name.into(), text.into());
        self
    }

    fn apply(&mut self, author: &str) -> Result<Applied, Error> {
        let signature = signed(author);
        let applied = self
            .publication
            .apply(&self.files, &self.base, &signature, accept_all)?;
        self.base = Base::Pulled(applied.marker.clone());
        Ok(applied)
    }
}

fn head(platform: &Platform) -> Head {
    serde_json::from_value(platform.state().objects["config/head"].1.clone()).unwrap()
}

/// Reads the files in force as a host does; fails if a text is missing.
fn in_force(platform: &Platform) -> Files {
    let found = fetch(&guard(&platform.url), &Fetched::default());
    found.unwrap().unwrap().files
}

fn publishes_and_pulls() {
    let platform = Platform::new();
    let list = [("10-a.json", "{}"), ("20-b.json", "{\"b\":1}")];
    let applied = Operator::new(&platform, &list).apply("ana").unwrap();
    assert_eq!((applied.revision, applied.effect), (1, Effect::New));
    let operator = Operator::pulled(&platform);
    assert_eq!(operator.files, files(&list));
    let head = head(&platform);
    assert_eq!(
        (head.change.author.as_str(), head.change.time),
        ("ana", 1000)
    );
    assert_eq!(head.change.note, "a change of ana");
}

fn same_content_makes_no_revision() {
    let platform = Platform::new();
    let mut operator = Operator::new(&platform, &[("a", "1")]);
    operator.apply("ana").unwrap();
    let version = platform.state().version;
    let again = operator.apply("ana").unwrap();
    let fresh = Operator::new(&platform, &[("a", "1")])
        .apply("ben")
        .unwrap();
    for applied in [again, fresh] {
        assert_eq!((applied.revision, applied.effect), (1, Effect::Unchanged));
    }
    assert_eq!(
        platform.state().version,
        version,
        "an unchanged publication wrote an object"
    );
}

fn other_files_are_rebased() {
    let platform = Platform::new();
    Operator::new(&platform, &[("a", "1"), ("b", "1"), ("c", "1")])
        .apply("eva")
        .unwrap();
    let (mut ana, mut ben) = (Operator::pulled(&platform), Operator::pulled(&platform));
    ana.set("a", "2").apply("ana").unwrap();
    ben.files.remove("c");
    ben.set("b", "2").set("d", "1").apply("ben").unwrap();
    assert_eq!(
        in_force(&platform),
        files(&[("a", "2"), ("b", "2"), ("d", "1")])
    );
    // Ana's folder still has the old b and c and lacks d, but these are not changes made by her.
    ana.set("a", "3").apply("ana").unwrap();
    assert_eq!(
        in_force(&platform),
        files(&[("a", "3"), ("b", "2"), ("d", "1")])
    );
    assert_eq!(ana.apply("ana").unwrap().effect, Effect::Unchanged);
}

fn same_file_is_a_conflict() {
    let platform = Platform::new();
    Operator::new(&platform, &[("a", "1"), ("b", "1")])
        .apply("eva")
        .unwrap();
    let (mut ana, mut ben) = (Operator::pulled(&platform), Operator::pulled(&platform));
    ana.set("a", "2").apply("ana").unwrap();
    ben.set("b", "2").apply("ben").unwrap();
    let Err(Error::Conflict(clashes)) = ben.set("a", "3").apply("ben") else {
        panic!("publication without a conflict")
    };
    assert_eq!((clashes.len(), &*clashes[0].file), (1, "a"));
    let other = clashes[0].latest.as_ref().unwrap();
    assert_eq!((other.revision, other.change.author.as_str()), (2, "ana"));
    let text = Error::Conflict(clashes.clone()).to_string();
    for part in [&other.change.id, "ana", "1000", "a change of ana"] {
        assert!(text.contains(part), "{text}");
    }
    assert_eq!(head(&platform).revision, 3);
    // A file removed by one and changed by another is a conflict; the same change by both is none.
    ana.files.remove("b");
    assert!(matches!(ana.apply("ana"), Err(Error::Conflict(_))));
    ben.set("a", "2").apply("ben").unwrap();
    ben.pull();
    ben.set("b", "9").apply("ben").unwrap();
}

fn merged_files_are_checked_after_a_rebase() {
    let platform = Platform::new();
    Operator::new(&platform, &[("a", "1"), ("b", "1")])
        .apply("eva")
        .unwrap();
    let (mut ana, mut ben) = (Operator::pulled(&platform), Operator::pulled(&platform));
    ana.set("a", "2").apply("ana").unwrap();
    ben.set("b", "2");
    let both = |files: &Files| match (&*files["a"], &*files["b"]) {
        ("2", "2") => Err("a and b cannot both be 2"),
        _ => Ok(()),
    };
    let result = ben
        .publication
        .apply(&ben.files, &ben.base, &signed("ben"), both);
    assert!(
        matches!(&result, Err(Error::Invalid(text)) if text.contains("both")),
        "{result:?}"
    );
    assert_eq!(head(&platform).revision, 2);
}

fn folder_without_a_marker() {
    let platform = Platform::new();
    let mut eva = Operator::new(&platform, &[("a", "1"), ("b", "1")]);
    eva.apply("eva").unwrap();
    eva.set("a", "2").apply("eva").unwrap();
    let table: [(&[_], OverwritePolicy, &str); 7] = [
        (&[("a", "2")], OverwritePolicy::Refuse, "refused: b"),
        (
            &[("a", "1"), ("b", "1")],
            OverwritePolicy::Refuse,
            "refused: a",
        ),
        (&[("a", "1")], OverwritePolicy::Refuse, "refused: a, b"),
        (&[("a", "2"), ("b", "1")], OverwritePolicy::Refuse, "a2 b1"),
        (
            &[("a", "2"), ("b", "3"), ("c", "1")],
            OverwritePolicy::Refuse,
            "a2 b3 c1",
        ),
        (&[("a", "1"), ("b", "3")], OverwritePolicy::Allow, "a1 b3"),
        (&[("c", "9")], OverwritePolicy::Allow, "c9"),
    ];
    for (list, policy, expected) in table {
        let mut operator = Operator::new(&platform, list);
        operator.base = Base::Head(policy);
        let result = match operator.apply("x") {
            Err(Error::NotPulled(names)) => format!("refused: {}", names.join(", ")),
            Err(e) => e.to_string(),
            Ok(_) => {
                let pairs = in_force(&platform).into_iter();
                let pairs: Vec<_> = pairs.map(|(name, text)| format!("{name}{text}")).collect();
                pairs.join(" ")
            }
        };
        assert_eq!(result, expected, "{list:?} {policy:?}");
    }
}

/// A single fault in a write of any kind of object neither loses the change nor applies it twice.
fn lost_answers() {
    let faults = [
        Fault::LoseAnswer,
        Fault::LoseCall,
        Fault::Etag("?"),
        Fault::Answer(500, "", ""),
        Fault::Answer(503, "", ""),
    ];
    for path in ["config/head", "config/file/", "config/history/"] {
        for fault in &faults {
            let platform = Platform::new();
            let mut ana = Operator::new(&platform, &[("a", "1")]);
            ana.apply("ana").unwrap();
            platform.fail_once("PUT", path, fault.clone());
            let applied = ana.set("a", "2").apply("ana").unwrap();
            let name = format!("{fault:?} {path}");
            assert_eq!(
                (applied.revision, applied.effect),
                (2, Effect::New),
                "{name}"
            );
            assert_eq!(head(&platform).revision, 2, "{name}");
            assert_eq!(in_force(&platform), files(&[("a", "2")]), "{name}");
        }
    }
}

/// Applies `fault` to a write of the head, and publishes `others` changes before the writer can read the
/// head back. Returns the writer's revision and the one in force.
fn publish_while_overtaken(fault: Fault, others: u32) -> (u64, u64) {
    let platform = Platform::new();
    let mut ana = Operator::new(&platform, &[("a", "1"), ("b", "0")]);
    ana.apply("ana").unwrap();
    let (hit, overtake) = (AtomicBool::new(true), AtomicBool::new(true));
    let shared = platform.clone();
    platform.set_fault_plan(move |call: &Call| {
        if !call.path.ends_with("config/head") {
            return Fault::None;
        }
        if call.method == "PUT" && hit.swap(false, Ordering::SeqCst) {
            return fault.clone();
        }
        let is_read_back = call.method == "GET" && !hit.load(Ordering::SeqCst);
        if is_read_back && overtake.swap(false, Ordering::SeqCst) {
            let mut ben = Operator::pulled(&shared);
            for n in 1..=others {
                ben.set("b", &n.to_string()).apply("ben").unwrap();
            }
        }
        Fault::None
    });
    let applied = ana.set("a", "2").apply("ana").unwrap();
    assert_eq!(in_force(&platform)["a"], "2".into());
    assert_eq!(in_force(&platform)["b"], others.to_string().into());
    let mine = ana.publication.history().unwrap();
    let mine = mine.iter().filter(|step| step.change.author == "ana");
    assert_eq!(mine.count(), 2, "the change was applied twice or lost");
    (applied.revision, head(&platform).revision)
}

fn overtaken_after_a_lost_answer() {
    let table = [
        (Fault::LoseAnswer, 1, (2, 3)),
        (Fault::LoseAnswer, 31, (2, 33)),
        // The change is no longer among the head's recent changes, so the history is read.
        (Fault::LoseAnswer, 32, (2, 34)),
        (Fault::LoseAnswer, 70, (2, 72)),
        (Fault::LoseCall, 1, (3, 3)),
        (Fault::LoseCall, 70, (72, 72)),
    ];
    for (fault, others, revisions) in table {
        assert_eq!(
            publish_while_overtaken(fault.clone(), others),
            revisions,
            "{fault:?} {others}"
        );
    }
}

fn outages() {
    let platform = Platform::new();
    let mut ana = Operator::new(&platform, &[("a", "1")]);
    ana.apply("ana").unwrap();
    platform.set_fault_plan(|_| Fault::LoseCall);
    assert!(matches!(
        ana.set("a", "2").apply("ana"),
        Err(Error::Store(_))
    ));
    let is_lost = AtomicBool::new(false);
    platform.set_fault_plan(move |call| {
        let is_head = call.method == "PUT" && call.path.ends_with("head");
        if is_lost.fetch_or(is_head, Ordering::SeqCst) || is_head {
            return Fault::LoseAnswer;
        }
        Fault::None
    });
    let Err(Error::Unconfirmed { id, .. }) = ana.apply("ana") else {
        panic!("the publication is not unconfirmed")
    };
    platform.set_fault_plan(|_| Fault::None);
    let newest = ana.publication.history().unwrap().remove(0);
    assert_eq!(newest.change.id, id.as_str());
    assert_eq!(ana.apply("ana").unwrap().effect, Effect::Unchanged);
}

fn invalid_names_and_sizes_are_rejected() {
    let platform = Platform::new();
    let large = "x".repeat(1_000_000);
    let table = [
        ("../a", "1"),
        (".hidden", "1"),
        ("", "1"),
        ("a/b", "1"),
        ("a", large.as_str()),
    ];
    for (name, content) in table {
        let result = Operator::new(&platform, &[(name, content)]).apply("ana");
        let is_right = match content.len() {
            1 => matches!(result, Err(Error::InvalidName(_))),
            _ => matches!(&result, Err(Error::TooLarge { name, .. }) if &**name == "a"),
        };
        assert!(is_right, "{name}: {result:?}");
    }
    assert!(!platform.state().objects.contains_key("config/head"));
}

fn history_revert_and_diff() {
    let platform = Platform::new();
    let mut ana = Operator::new(&platform, &[("a", "1\n"), ("b", "1\n")]);
    for n in 1..=40 {
        ana.set("a", &format!("{n}\n"))
            .apply(&format!("ana{n}"))
            .unwrap();
    }
    let steps = ana.publication.history().unwrap();
    let revisions: Vec<u64> = steps.iter().map(|step| step.revision).collect();
    assert_eq!(revisions, (1..=40).rev().collect::<Vec<_>>());
    assert_eq!(
        (steps[35].change.author.as_str(), &steps[35].files[..]),
        ("ana5", &["a".into()][..])
    );
    platform.fail_once("PUT", "config/head", Fault::LoseAnswer);
    let applied = ana
        .publication
        .revert(3, &signed("ben"), accept_all)
        .unwrap();
    assert_eq!((applied.revision, applied.effect), (41, Effect::New));
    assert_eq!(in_force(&platform), files(&[("a", "3\n"), ("b", "1\n")]));
    let again = ana
        .publication
        .revert(41, &signed("ben"), accept_all)
        .unwrap();
    assert_eq!((again.revision, again.effect), (41, Effect::Unchanged));
    for missing in [0, 42] {
        let result = ana.publication.revert(missing, &signed("ben"), accept_all);
        assert!(matches!(result, Err(Error::NoRevision(_))), "{result:?}");
    }
    let folder = files(&[("a", "3\n4\n"), ("c", "1\n")]);
    let found = ana.publication.diff(&folder).unwrap();
    let kinds: Vec<_> = found.iter().map(|d| (&*d.file, d.kind)).collect();
    assert_eq!(
        kinds,
        [
            ("a", Kind::Changed),
            ("b", Kind::Removed),
            ("c", Kind::Added)
        ]
    );
    assert!(found[0].text.contains("\n 3\n+4\n"), "{}", found[0].text);
}

/// Asserts that every text that the head or a kept revision refers to is stored.
fn assert_texts_stored(platform: &Platform) {
    let head = head(platform);
    let state = platform.state();
    let history = state
        .objects
        .range("config/history/".to_owned().."config/history0".to_owned());
    let mut needed = vec![("head".to_owned(), head.files)];
    for (key, (_, value)) in history {
        let past: Past = serde_json::from_value(value.clone()).unwrap();
        if past.step.revision + KEPT_REVISIONS > head.revision {
            needed.push((key.clone(), past.files));
        }
    }
    for (key, files) in needed {
        for (name, hash) in files {
            let is_there = state.objects.contains_key(&format!("config/file/{hash}"));
            assert!(is_there, "{key} lacks the text of {name}");
        }
    }
}

/// Publishes `count` revisions. The text of `a` recurs every 7 revisions, that of `b` never.
fn publish_many(operator: &mut Operator, count: u64) {
    for n in 1..=count {
        operator
            .set("a", &format!("a{}", n % 7))
            .set("b", &format!("b{n}"));
        operator.apply("ana").unwrap();
    }
}

fn removes_only_garbage() {
    let platform = Platform::new();
    let mut ana = Operator::new(&platform, &[("c", "c")]);
    publish_many(&mut ana, 250);
    assert_texts_stored(&platform);
    ana.publication.collect_garbage().unwrap();
    assert_texts_stored(&platform);
    let count = |prefix: &str| {
        let state = platform.state();
        state
            .objects
            .keys()
            .filter(|key| key.starts_with(prefix))
            .count() as u64
    };
    assert_eq!(count("config/history/"), KEPT_REVISIONS);
    assert_eq!(count("config/file/"), 1 + 7 + KEPT_REVISIONS);
    assert_eq!(
        ana.publication.history().unwrap().len() as u64,
        KEPT_REVISIONS
    );
    ana.publication
        .revert(51, &signed("ana"), accept_all)
        .unwrap();
    assert_eq!(in_force(&platform)["b"], "b51".into());
    let result = ana.publication.revert(50, &signed("ana"), accept_all);
    assert!(matches!(result, Err(Error::NoRevision(50))), "{result:?}");
}

fn stale_listing_removes_nothing_needed() {
    let platform = Platform::new();
    let mut ana = Operator::new(&platform, &[]);
    publish_many(&mut ana, 215);
    platform.snapshot_objects();
    ana.set("b", "b1").apply("ana").unwrap();
    ana.set("b", "x").apply("ana").unwrap();
    platform.set_fault_plan(|call| match call.path.as_str() {
        "/v1/objects" => Fault::Stale,
        _ => Fault::None,
    });
    assert_eq!(ana.publication.collect_garbage().unwrap(), 0);
    assert_texts_stored(&platform);
    platform.set_fault_plan(|_| Fault::None);
    assert!(ana.publication.collect_garbage().unwrap() > 0);
    assert_texts_stored(&platform);
}

/// Garbage collection must not delete a text that a concurrent writer starts to use again. A writer
/// publishes a text to which only a revision due for removal refers, and a collector runs before each of
/// the writer's calls, with and without a publication by another writer before it.
fn collection_races_with_a_writer() {
    let before = Platform::new();
    // The last automatic collection was after revision 208.
    publish_many(&mut Operator::new(&before, &[("o", "0")]), 214);
    for (at, other) in (0..12).flat_map(|at| [(at, false), (at, true)]) {
        let platform = Platform::new().with_objects_of(&before);
        let mut ana = Operator::pulled(&platform);
        let (calls, is_running) = (AtomicUsize::new(0), AtomicBool::new(false));
        let shared = platform.clone();
        platform.set_fault_plan(move |_: &Call| {
            if is_running.swap(true, Ordering::SeqCst) {
                return Fault::None;
            }
            if calls.fetch_add(1, Ordering::SeqCst) == at {
                if other {
                    Operator::pulled(&shared)
                        .set("o", "1")
                        .apply("ben")
                        .unwrap();
                }
                publication(&shared.url).collect_garbage().unwrap();
            }
            is_running.store(false, Ordering::SeqCst);
            Fault::None
        });
        // Only revision 10, which is due for removal, refers to this text.
        ana.set("b", "b10").apply("ana").unwrap();
        platform.set_fault_plan(|_| Fault::None);
        assert_texts_stored(&platform);
        assert_eq!(in_force(&platform)["b"], "b10".into(), "{at} {other}");
    }
}

/// Progress of an interleaving.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    CollectorBegins,
    WriterRuns,
    WriterWaits,
    WriterDone,
    CollectorDone,
}

/// The current stage, which threads can wait for.
#[derive(Clone, Default)]
struct Stages(Arc<(Mutex<Option<Stage>>, Condvar)>);

impl Stages {
    /// Enters a stage, unless the last stage was entered already.
    fn enter(&self, stage: Stage) {
        let mut current = self.0 .0.lock().unwrap();
        if *current != Some(Stage::CollectorDone) {
            *current = Some(stage);
        }
        drop(current);
        self.0 .1.notify_all();
    }

    fn wait(&self, stages: &[Stage]) {
        let stage = self.0 .0.lock().unwrap();
        let is_other = |stage: &mut Option<Stage>| !stage.is_some_and(|s| stages.contains(&s));
        drop(self.0 .1.wait_while(stage, is_other).unwrap());
    }
}

/// Runs the collector up to its call `first`, the writer up to its call `second`, then the collector to its
/// end and the writer to its end.
fn interleave(before: &Platform, first: usize, second: usize) {
    let platform = Platform::new().with_objects_of(before);
    let collector = publication(&format!("{}/collector", platform.url));
    let mut writer = Operator::pulled(&platform);
    writer.publication = publication(&format!("{}/writer", platform.url));
    let (stages, calls) = (
        Stages::default(),
        [AtomicUsize::new(0), AtomicUsize::new(0)],
    );
    let shared = stages.clone();
    platform.set_fault_plan(move |call: &Call| {
        let number = |n: usize| calls[n].fetch_add(1, Ordering::SeqCst);
        if call.caller == "/collector" && number(0) == first {
            shared.enter(Stage::WriterRuns);
            shared.wait(&[Stage::WriterWaits, Stage::WriterDone]);
        }
        if call.caller == "/writer" && number(1) == second {
            shared.enter(Stage::WriterWaits);
            shared.wait(&[Stage::CollectorDone]);
        }
        Fault::None
    });
    stages.enter(Stage::CollectorBegins);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            stages.wait(&[Stage::WriterRuns, Stage::CollectorDone]);
            let applied = writer.set("b", "b10").apply("ana");
            stages.enter(Stage::WriterDone);
            applied.unwrap();
        });
        let collected = collector.collect_garbage();
        stages.enter(Stage::CollectorDone);
        collected.unwrap();
    });
    platform.set_fault_plan(|_| Fault::None);
    assert_texts_stored(&platform);
    assert_eq!(in_force(&platform)["b"], "b10".into(), "{first} {second}");
}

fn collection_interleaves_with_a_writer() {
    let before = Platform::new();
    // Revisions 9 and 10 are due for removal; only 10 refers to the text that is published again.
    publish_many(&mut Operator::new(&before, &[("o", "0")]), 210);
    for (first, second) in (0..9).flat_map(|first| (0..8).map(move |second| (first, second))) {
        interleave(&before, first, second);
    }
}

fn host_reads_only_new_texts() {
    let platform = Platform::new();
    let guard = guard(&platform.url);
    assert!(fetch(&guard, &Fetched::default()).unwrap().is_none());
    let mut ana = Operator::new(&platform, &[("a", "1"), ("b", "1"), ("c", "2")]);
    ana.apply("ana").unwrap();
    let first = fetch(&guard, &Fetched::default()).unwrap().unwrap();
    assert!(fetch(&guard, &first).unwrap().is_none());
    ana.set("b", "3").apply("ana").unwrap();
    platform.state().calls.clear();
    let second = fetch(&guard, &first).unwrap().unwrap();
    assert_eq!((second.revision, &second.files), (2, &ana.files));
    let blob = format!("GET /v1/objects/config/file/{}", text::hash("3"));
    assert_eq!(
        platform.state().calls,
        ["GET /v1/objects/config/head", &blob]
    );
}

fn host_rejects_unusable_revisions() {
    let platform = Platform::new();
    let guard = guard(&platform.url);
    let mut ana = Operator::new(&platform, &[("a", "1")]);
    ana.apply("ana").unwrap();
    let first = platform.state().objects["config/head"].clone();
    ana.set("a", "2").apply("ana").unwrap();
    let second = platform.state().objects["config/head"].clone();
    let known = fetch(&guard, &Fetched::default()).unwrap().unwrap();
    let fetch_error = |known: &Fetched| match fetch(&guard, known) {
        Err(Error::Stale { known: 2, found }) => format!("stale {found}"),
        Err(Error::Forked { .. }) => "forked".into(),
        Err(Error::TextMissing(_)) => "missing".into(),
        Err(Error::InvalidName(_)) => "name".into(),
        Err(Error::Store(e)) => e.to_string(),
        other => format!("{other:?}"),
    };
    let put = |value| platform.state().objects.insert("config/head".into(), value);
    put(first);
    assert_eq!(fetch_error(&known), "stale 1");
    platform.state().objects.remove("config/head");
    assert_eq!(fetch_error(&known), "stale 0");
    let mut forked = second.clone();
    forked.1["change"]["id"] = json!("another");
    put(forked);
    assert_eq!(fetch_error(&known), "forked");
    let mut outside_folder = second.clone();
    outside_folder.1["files"] = json!({"../a": text::hash("2")});
    put(outside_folder);
    assert_eq!(fetch_error(&Fetched::default()), "name");
    put((9, json!({"revision": 3})));
    assert!(fetch_error(&known).starts_with("config/head: malformed"));
    put(second);
    let blob = format!("config/file/{}", text::hash("2"));
    platform.state().objects.get_mut(&blob).unwrap().1 = json!({"text": "3"});
    assert!(fetch_error(&Fetched::default()).contains("malformed: the text"));
    platform.state().objects.remove(&blob);
    assert_eq!(fetch_error(&Fetched::default()), "missing");
}

fn marker_in_a_folder() {
    let folder = std::env::temp_dir().join(format!("marker-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    assert!(marker::read(&folder).unwrap().is_none());
    let platform = Platform::new();
    let mut ana = Operator::new(&platform, &[("a", "1"), ("b", "1")]);
    let applied = ana.apply("ana").unwrap();
    marker::write(&folder, &applied.marker).unwrap();
    let read = marker::read(&folder).unwrap().unwrap();
    assert_eq!((read.revision, &read.files), (1, &text::hashes(&ana.files)));
    let edited = marker::edited_files(&files(&[("a", "2"), ("c", "1")]), Some(&read));
    assert_eq!(edited, ["a", "b", "c"]);
    std::fs::write(folder.join(marker::FILE_NAME), "{").unwrap();
    assert!(marker::read(&folder).is_err());
    std::fs::remove_dir_all(&folder).unwrap();
}

const WRITERS: usize = 4;
/// Changes by each writer.
const CHANGES: u32 = 40;

/// Concurrent writers lose no change and apply none twice while calls and answers are lost. Each writer
/// counts up in its own file.
fn writers_race() {
    let platform = Platform::new();
    let names: Vec<String> = (0..WRITERS).map(|n| format!("{n}.json")).collect();
    let list: Vec<_> = names.iter().map(|name| (name.as_str(), "0")).collect();
    Operator::new(&platform, &list).apply("first").unwrap();
    let calls = AtomicUsize::new(0);
    let lost = Arc::new(AtomicUsize::new(0));
    let counted = lost.clone();
    platform.set_fault_plan(move |call| {
        let n = calls.fetch_add(1, Ordering::SeqCst);
        let fault = match n % 30 {
            0 | 6 | 12 | 18 | 24 if call.method == "PUT" => Fault::LoseAnswer,
            1 | 10 | 20 => Fault::LoseCall,
            2 | 15 => Fault::Answer(500, "", ""),
            _ => return Fault::None,
        };
        counted.fetch_add(1, Ordering::SeqCst);
        fault
    });
    let is_done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let host = scope.spawn(|| watch_counts(&platform, &is_done));
        let writers: Vec<_> = names
            .iter()
            .map(|name| scope.spawn(|| count_up(&platform, name)))
            .collect();
        // Joined before unwrapping, so that the host stops even if a writer panics.
        let ends: Vec<_> = writers.into_iter().map(|writer| writer.join()).collect();
        is_done.store(true, Ordering::SeqCst);
        ends.into_iter().for_each(|end| end.unwrap());
        host.join().unwrap();
    });
    platform.set_fault_plan(|_| Fault::None);
    let total = WRITERS as u64 * u64::from(CHANGES) + 1;
    assert_eq!(
        head(&platform).revision,
        total,
        "changes were lost or applied twice"
    );
    let steps = publication(&platform.url).history().unwrap();
    let revisions: Vec<u64> = steps.iter().map(|step| step.revision).collect();
    assert_eq!(revisions, (1..=total).rev().collect::<Vec<_>>());
    for name in &names {
        assert_eq!(&*in_force(&platform)[name.as_str()], CHANGES.to_string());
    }
    assert!(
        lost.load(Ordering::SeqCst) > 100,
        "too few faults: {lost:?}"
    );
}

fn count_up(platform: &Platform, name: &str) {
    let mut writer = Operator::pulled(platform);
    for n in 1..=CHANGES {
        writer.set(name, &n.to_string());
        assert_eq!(writer.apply(name).unwrap().effect, Effect::New);
    }
}

/// Reads revisions as a host does, and asserts that no revision and no count decreases.
fn watch_counts(platform: &Platform, is_done: &AtomicBool) {
    let guard = guard(&platform.url);
    let mut known = Fetched::default();
    while !is_done.load(Ordering::SeqCst) {
        let Ok(Some(next)) = fetch(&guard, &known) else {
            continue;
        };
        assert!(next.revision > known.revision);
        for (name, text) in &next.files {
            let before: u32 = known
                .files
                .get(name)
                .map_or(0, |text| text.parse().unwrap());
            assert!(
                text.parse::<u32>().unwrap() >= before,
                "the count in {name} decreased"
            );
        }
        known = next;
    }
}

case! {
    round_trip: publishes_and_pulls();
    unchanged: same_content_makes_no_revision();
    rebase: other_files_are_rebased();
    conflict: same_file_is_a_conflict();
    recheck: merged_files_are_checked_after_a_rebase();
    no_marker_table: folder_without_a_marker();
    lost_answer_table: lost_answers();
    overtaken_table: overtaken_after_a_lost_answer();
    outage: outages();
    refused_table: invalid_names_and_sizes_are_rejected();
    history: history_revert_and_diff();
    garbage: removes_only_garbage();
    garbage_stale: stale_listing_removes_nothing_needed();
    garbage_race: collection_races_with_a_writer();
    garbage_interleaved: collection_interleaves_with_a_writer();
    host_delta: host_reads_only_new_texts();
    host_rejects: host_rejects_unusable_revisions();
    marker_file: marker_in_a_folder();
    race_of_writers: writers_race();
}
