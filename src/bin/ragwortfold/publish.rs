//! `ragwortfold config diff`, `apply`, `pull` and `history`: the configuration on the platform.

use std::fmt::Write as _;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use chrono::{DateTime, SecondsFormat};
use ragwortfold::border::configuration::Configuration;
use ragwortfold::config::{self, Folder};
use ragwortfold::store::client::Client;
use ragwortfold::store::guarded_client::GuardedClient;
use ragwortfold::store::publication::{
    self, marker, Applied, Base, Confirmation, Difference, Effect, Fetched, Files, Kind,
    OverwritePolicy, Publication, Signature, Step,
};
use serde_json::{json, Value};

use crate::fleet::{self, Wait};
use crate::table::{self, Format};
use crate::{fetch, print, Error as Failure};

/// Characters of a change's identity that lists show.
const SHORT_ID: usize = 12;

/// The arguments of the subcommands that talk to the platform.
pub(crate) struct Config {
    /// The base URL of the platform's object API.
    pub(crate) platform: String,
    /// What to do there.
    pub(crate) action: Action,
    /// How results are printed.
    pub(crate) format: Format,
}

/// What to do with the configuration on the platform.
pub(crate) enum Action {
    /// Show how a folder differs from it.
    Diff {
        /// The folder.
        dir: PathBuf,
    },
    /// Make a folder, or an earlier revision, its next revision.
    Apply {
        /// Where its files come from.
        source: Source,
        /// Why.
        note: Option<String>,
        /// Who.
        author: Option<String>,
        /// How long to wait until hosts have it in force.
        wait: Duration,
    },
    /// Write its files to a folder.
    Pull {
        /// The folder.
        dir: PathBuf,
        /// What becomes of edited files.
        edits: Edits,
    },
    /// List its revisions.
    History,
}

/// Where the files of a new revision come from.
pub(crate) enum Source {
    /// A folder, and whether it may undo what it does not know of.
    Folder(PathBuf, OverwritePolicy),
    /// An earlier revision.
    Revision(u64),
}

/// What becomes of edited files in a folder that is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Edits {
    /// They keep the folder from being written.
    Keep,
    /// They are overwritten.
    Discard,
}

/// What keeps the configuration on the platform from being read or changed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// Others changed the same files.
    #[error(
        "conflict, nothing was published:\n{0}\n\
         Pull into an empty folder, bring your change in there and apply that."
    )]
    Conflict(publication::Error),
    /// The folder with the changes of others has faults.
    #[error("with the changes of others there are faults, nothing was published:\n{0}")]
    Faults(Arc<str>),
    /// The folder was never pulled and would undo something.
    #[error("{0}, or apply with --remove-missing")]
    Unpulled(publication::Error),
    /// The publication failed otherwise.
    #[error(transparent)]
    Publication(publication::Error),
    /// A folder cannot be read or written.
    #[error("{path}: {source}")]
    Folder {
        /// The file or folder.
        path: String,
        /// Why not.
        source: io::Error,
    },
    /// Pulling would overwrite edits.
    #[error(
        "{dir}: edited since it was pulled, nothing was written: {files}\n\
         Apply these edits, or pull with --discard-edits."
    )]
    Edited {
        /// The folder.
        dir: String,
        /// The files.
        files: String,
    },
    /// There is no configuration yet.
    #[error("the platform has no configuration yet")]
    Nothing,
}

impl Error {
    /// Whether the configuration itself is wrong.
    pub(crate) fn is_fault(&self) -> bool {
        matches!(self, Self::Faults(_))
    }
}

impl From<publication::Error> for Error {
    fn from(error: publication::Error) -> Self {
        match error {
            publication::Error::Conflict(_) => Self::Conflict(error),
            publication::Error::Invalid(text) => Self::Faults(text),
            publication::Error::NotPulled(_) => Self::Unpulled(error),
            error => Self::Publication(error),
        }
    }
}

/// Reads or changes the configuration on the platform.
pub(crate) fn run(config: &Config) -> Result<(), Failure> {
    let publication = connect(&config.platform);
    match &config.action {
        Action::Diff { dir } => diff(&publication, dir, config.format),
        Action::Apply {
            source,
            note,
            author,
            wait,
        } => {
            let signature = sign(author.as_deref(), note.as_deref());
            apply(&publication, source, &signature, *wait, config.format)
        }
        Action::Pull { dir, edits } => pull(&publication, dir, *edits, config.format),
        Action::History => history(&publication, config.format),
    }
}

/// The publication on a platform.
pub(crate) fn connect(platform: &str) -> Publication {
    Publication::new(GuardedClient::new(Client::new(&fetch::base(platform))))
}

/// The signature of a change made now.
pub(crate) fn sign(author: Option<&str>, note: Option<&str>) -> Signature {
    let user = || std::env::var("USER").ok().filter(|user| !user.is_empty());
    let author = author.map(str::to_owned).or_else(user);
    Signature {
        author: author.as_deref().unwrap_or("unknown").into(),
        note: note.unwrap_or_default().into(),
        time: SystemTime::now(),
    }
}

/// The check that a revision must pass before it is published.
pub(crate) fn check(files: &Files) -> Result<(), config::Faults> {
    Folder::with_files(files.clone()).parts().map(drop)
}

/// The revision in force.
pub(crate) fn in_force(publication: &Publication) -> Result<Fetched, Error> {
    publication.pull()?.ok_or(Error::Nothing)
}

/// The configuration that a revision's files make together.
pub(crate) fn configuration(fetched: &Fetched) -> Result<Configuration, Failure> {
    let parts = Folder::with_files(fetched.files.clone()).parts();
    Ok(parts.map_err(config::Error::from)?.0)
}

fn diff(publication: &Publication, dir: &Path, format: Format) -> Result<(), Failure> {
    let folder = config::read(dir)?;
    let found = publication.diff(folder.files()).map_err(Error::from)?;
    match format {
        Format::Json => print(&table::text(&differences(&found), format)),
        Format::Table => found.iter().try_for_each(|one| print(&one.text)),
    }
}

fn differences(found: &[Difference]) -> Value {
    let list = found.iter().map(|one| {
        let kind = match one.kind {
            Kind::Added => "added",
            Kind::Removed => "removed",
            Kind::Changed => "changed",
        };
        json!({"file": one.file, "kind": kind, "diff": one.text})
    });
    list.collect()
}

fn apply(
    publication: &Publication,
    source: &Source,
    signature: &Signature,
    wait: Duration,
    format: Format,
) -> Result<(), Failure> {
    let applied = match source {
        Source::Folder(dir, undo) => apply_folder(publication, dir, *undo, signature)?,
        Source::Revision(revision) => publication
            .revert(*revision, signature, check)
            .map_err(Error::from)?,
    };
    if format == Format::Table {
        print(&applied_text(&applied))?;
    }
    let waited = wait_in_force(publication, &applied, wait);
    match (format, &waited) {
        (Format::Json, _) => print(&table::text(&report(&applied, waited.as_ref()), format)),
        (Format::Table, Some(waited)) => print(&in_force_text(waited)),
        (Format::Table, None) => Ok(()),
    }
}

fn apply_folder(
    publication: &Publication,
    dir: &Path,
    undo: OverwritePolicy,
    signature: &Signature,
) -> Result<Applied, Failure> {
    let folder = config::read(dir)?;
    folder.parts().map_err(config::Error::from)?;
    let marker = marker::read(dir).map_err(folder_error(dir))?;
    let base = match (marker, undo) {
        (Some(marker), OverwritePolicy::Refuse) => Base::Pulled(marker),
        (_, undo) => Base::Head(undo),
    };
    let applied = publication
        .apply(folder.files(), &base, signature, check)
        .map_err(Error::from)?;
    marker::write(dir, &applied.marker).map_err(folder_error(dir))?;
    Ok(applied)
}

/// Waits until the hosts of the configuration have a revision in force. None without a wait, or
/// when the configuration cannot be read back.
fn wait_in_force(publication: &Publication, applied: &Applied, wait: Duration) -> Option<Arrival> {
    if wait.is_zero() {
        return None;
    }
    let fetched = publication.pull().ok()??;
    let hosts = fleet::hosts(&configuration(&fetched).ok()?);
    let waited = fleet::wait_revision(&hosts, applied.revision, wait);
    Some(Arrival {
        hosts: hosts.len(),
        waited,
    })
}

/// How a revision came into force.
struct Arrival {
    hosts: usize,
    waited: Wait,
}

/// Says what a publication did.
pub(crate) fn applied_text(applied: &Applied) -> String {
    let revision = applied.revision;
    if applied.effect == Effect::Unchanged {
        return format!("revision {revision} has this content already\n");
    }
    let mut text = format!(
        "published revision {revision}: {}\n",
        applied.files.join(", ")
    );
    if applied.confirmation == Confirmation::ReadBack {
        text.push_str("the platform's answer was lost; reading back shows the change in force\n");
    }
    text
}

fn in_force_text(arrival: &Arrival) -> String {
    let Arrival { hosts, waited } = arrival;
    let took = waited.took.as_millis();
    if waited.lagging.is_empty() {
        return format!("in force on all {hosts} hosts after {took} ms\n");
    }
    let there = hosts - waited.lagging.len();
    let mut text = format!("in force on {there} of {hosts} hosts after {took} ms; behind:\n");
    for (host, why) in &waited.lagging {
        let _ = writeln!(text, "  {host}: {why}");
    }
    text
}

/// What a publication did, as JSON.
fn report(applied: &Applied, arrival: Option<&Arrival>) -> Value {
    let effect = match applied.effect {
        Effect::New => "new",
        Effect::Unchanged => "unchanged",
    };
    let answer = match applied.confirmation {
        Confirmation::Answer => "received",
        Confirmation::ReadBack => "settled",
    };
    let mut report = json!({
        "revision": applied.revision,
        "effect": effect,
        "answer": answer,
        "files": applied.files,
    });
    if let Some(Arrival { hosts, waited }) = arrival {
        report["in_force"] = json!({
            "hosts": hosts,
            "waited_ms": waited.took.as_millis() as u64,
            "lagging": waited.lagging,
        });
    }
    report
}

fn pull(
    publication: &Publication,
    dir: &Path,
    edits: Edits,
    format: Format,
) -> Result<(), Failure> {
    let fetched = in_force(publication)?;
    let held = held(dir)?;
    if edits == Edits::Keep {
        refuse_edits(dir, &held, &fetched)?;
    }
    write(dir, &held, &fetched)?;
    let count = fetched.files.len();
    let revision = fetched.revision;
    let report = match format {
        Format::Json => table::text(&json!({"revision": revision, "files": count}), format),
        Format::Table => format!("{}: revision {revision}, {count} files\n", dir.display()),
    };
    print(&report)
}

/// The files of a folder that may be missing or empty.
fn held(dir: &Path) -> Result<Files, Failure> {
    fs::create_dir_all(dir).map_err(folder_error(dir))?;
    match config::read(dir) {
        Ok(folder) => Ok(folder.files().clone()),
        Err(config::Error::Empty { .. }) => Ok(Files::new()),
        Err(error) => Err(error.into()),
    }
}

fn refuse_edits(dir: &Path, held: &Files, fetched: &Fetched) -> Result<(), Error> {
    let base = marker::read(dir).map_err(folder_error(dir))?;
    let is_lost = |name: &String| held.get(name.as_str()) != fetched.files.get(name.as_str());
    let mut edited = marker::edited_files(held, base.as_ref());
    edited.retain(is_lost);
    if edited.is_empty() {
        return Ok(());
    }
    Err(Error::Edited {
        dir: dir.display().to_string(),
        files: edited.join(", "),
    })
}

/// Makes a folder that holds `held` hold just `fetched`. The marker comes last: a folder that was
/// written in part is seen as edited.
fn write(dir: &Path, held: &Files, fetched: &Fetched) -> Result<(), Error> {
    for (name, text) in &fetched.files {
        let path = dir.join(&**name);
        fs::write(&path, text.as_bytes()).map_err(folder_error(&path))?;
    }
    for name in held
        .keys()
        .filter(|name| !fetched.files.contains_key(*name))
    {
        let path = dir.join(&**name);
        fs::remove_file(&path).map_err(folder_error(&path))?;
    }
    marker::write(dir, &marker::for_revision(fetched)).map_err(folder_error(dir))
}

fn folder_error(path: &Path) -> impl FnOnce(io::Error) -> Error + '_ {
    |source| Error::Folder {
        path: path.display().to_string(),
        source,
    }
}

fn history(publication: &Publication, format: Format) -> Result<(), Failure> {
    let steps = publication.history().map_err(Error::from)?;
    match format {
        Format::Json => print(&table::text(&json!(steps), format)),
        Format::Table => {
            let rows: Vec<Vec<String>> = std::iter::once(HEADS.map(str::to_owned).to_vec())
                .chain(steps.iter().map(row))
                .collect();
            print(&table::aligned(&rows))
        }
    }
}

/// The columns of the history.
const HEADS: [&str; 6] = ["revision", "time", "author", "change", "files", "note"];

fn row(step: &Step) -> Vec<String> {
    let change = &step.change;
    vec![
        step.revision.to_string(),
        time(change.time),
        change.author.clone(),
        change.id.chars().take(SHORT_ID).collect(),
        step.files.join(" "),
        change.note.clone(),
    ]
}

/// Milliseconds since the Unix epoch in UTC.
fn time(ms: impl TryInto<i64>) -> String {
    let time = ms.try_into().ok().and_then(DateTime::from_timestamp_millis);
    time.map_or_else(String::new, |time| {
        time.to_rfc3339_opts(SecondsFormat::Secs, true)
    })
}
