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

use crate::fleet::{self, WaitOutcome};
use crate::table::{self, Format};
use crate::{fetch, print, Error as Failure};

/// The number of characters of a change's id that the history shows.
const HISTORY_ID_CHARS: usize = 12;

/// The arguments of the subcommands that talk to the platform.
pub(crate) struct Config {
    /// The base URL of the platform's object API.
    pub(crate) platform: String,
    /// What to do with it.
    pub(crate) action: Action,
    /// The output format.
    pub(crate) format: Format,
}

/// What to do with the configuration on the platform.
pub(crate) enum Action {
    /// Show the differences between a folder and the configuration on the platform.
    Diff {
        /// The folder.
        dir: PathBuf,
    },
    /// Publish a folder or an earlier revision as the next revision.
    Apply {
        /// The source of the files.
        source: Source,
        /// The reason, for the history.
        note: Option<String>,
        /// The author, for the history.
        author: Option<String>,
        /// The maximum time to wait until the hosts have the revision in force. Zero does not wait.
        max_wait: Duration,
    },
    /// Write the files of the revision in force to a folder.
    Pull {
        /// The folder.
        dir: PathBuf,
        /// What to do with edited files.
        edits: Edits,
    },
    /// List the revisions.
    History,
}

/// The source of the files of a new revision.
pub(crate) enum Source {
    /// A folder, and whether it may undo published changes that it does not contain.
    Folder(PathBuf, OverwritePolicy),
    /// An earlier revision.
    Revision(u64),
}

/// What to do with files of a folder that were edited since it was pulled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Edits {
    /// Keep them: nothing is written, and the command fails.
    Keep,
    /// Overwrite or remove them.
    Discard,
}

/// An error when reading or changing the configuration on the platform.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// Another change of the same files was published.
    #[error(
        "conflict, nothing was published:\n{0}\n\
         Pull into an empty folder, bring your change in there and apply that."
    )]
    Conflict(publication::Error),
    /// The configuration with the other published changes merged in has faults.
    #[error("with the changes of others there are faults, nothing was published:\n{0}")]
    Faults(Arc<str>),
    /// The folder has no marker of a pull, and would undo published changes.
    #[error("{0}, or apply with --remove-missing")]
    Unpulled(publication::Error),
    /// Any other error of the publication.
    #[error(transparent)]
    Publication(publication::Error),
    /// A folder cannot be read or written.
    #[error("{path}: {source}")]
    Folder {
        /// The file or folder.
        path: String,
        /// The I/O error.
        source: io::Error,
    },
    /// The pull would overwrite edited files.
    #[error(
        "{dir}: edited since it was pulled, nothing was written: {files}\n\
         Apply these edits, or pull with --discard-edits."
    )]
    Edited {
        /// The folder.
        dir: String,
        /// The names of the edited files, separated by commas.
        files: String,
    },
    /// No revision has been published yet.
    #[error("the platform has no configuration yet")]
    NoConfiguration,
}

impl Error {
    /// Whether the configuration itself has faults.
    pub(crate) fn is_invalid_configuration(&self) -> bool {
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
            max_wait,
        } => {
            let signature = sign_change(author.as_deref(), note.as_deref());
            apply(&publication, source, &signature, *max_wait, config.format)
        }
        Action::Pull { dir, edits } => pull(&publication, dir, *edits, config.format),
        Action::History => history(&publication, config.format),
    }
}

/// Creates the client that reads and publishes revisions on a platform.
pub(crate) fn connect(platform: &str) -> Publication {
    Publication::new(GuardedClient::new(Client::new(&fetch::with_scheme(
        platform,
    ))))
}

/// The signature of a change made now. The author defaults to the environment variable `USER`.
pub(crate) fn sign_change(author: Option<&str>, note: Option<&str>) -> Signature {
    let user = || std::env::var("USER").ok().filter(|user| !user.is_empty());
    let author = author.map(str::to_owned).or_else(user);
    Signature {
        author: author.as_deref().unwrap_or("unknown").into(),
        note: note.unwrap_or_default().into(),
        time: SystemTime::now(),
    }
}

/// Checks the files of a revision before it is published.
pub(crate) fn check_files(files: &Files) -> Result<(), config::Faults> {
    Folder::with_files(files.clone())
        .merged_with_clients()
        .map(drop)
}

/// Reads the revision in force.
pub(crate) fn pull_current(publication: &Publication) -> Result<Fetched, Error> {
    publication.pull()?.ok_or(Error::NoConfiguration)
}

/// Merges and checks the files of a revision.
pub(crate) fn merge_files(fetched: &Fetched) -> Result<Configuration, Failure> {
    let merged = Folder::with_files(fetched.files.clone()).merged_with_clients();
    Ok(merged.map_err(config::Error::from)?.0)
}

fn diff(publication: &Publication, dir: &Path, format: Format) -> Result<(), Failure> {
    let folder = config::read(dir)?;
    let found = publication.diff(folder.files()).map_err(Error::from)?;
    match format {
        Format::Json => print(&table::format_value(&differences_json(&found), format)),
        Format::Table => found
            .iter()
            .try_for_each(|difference| print(&difference.text)),
    }
}

/// The differences as JSON.
fn differences_json(found: &[Difference]) -> Value {
    let list = found.iter().map(|difference| {
        let kind = match difference.kind {
            Kind::Added => "added",
            Kind::Removed => "removed",
            Kind::Changed => "changed",
        };
        json!({"file": difference.file, "kind": kind, "diff": difference.text})
    });
    list.collect()
}

fn apply(
    publication: &Publication,
    source: &Source,
    signature: &Signature,
    max_wait: Duration,
    format: Format,
) -> Result<(), Failure> {
    let applied = match source {
        Source::Folder(dir, policy) => apply_folder(publication, dir, *policy, signature)?,
        Source::Revision(revision) => publication
            .revert(*revision, signature, check_files)
            .map_err(Error::from)?,
    };
    if format == Format::Table {
        print(&applied_text(&applied))?;
    }
    let waited = wait_in_force(publication, &applied, max_wait);
    match (format, &waited) {
        (Format::Json, _) => print(&table::format_value(
            &applied_json(&applied, waited.as_ref()),
            format,
        )),
        (Format::Table, Some(waited)) => print(&rollout_text(waited)),
        (Format::Table, None) => Ok(()),
    }
}

/// Publishes a folder and updates its marker.
fn apply_folder(
    publication: &Publication,
    dir: &Path,
    policy: OverwritePolicy,
    signature: &Signature,
) -> Result<Applied, Failure> {
    let folder = config::read(dir)?;
    folder.merged_with_clients().map_err(config::Error::from)?;
    let marker = marker::read(dir).map_err(folder_error(dir))?;
    let base = match (marker, policy) {
        (Some(marker), OverwritePolicy::Refuse) => Base::Pulled(marker),
        (_, policy) => Base::Head(policy),
    };
    let applied = publication
        .apply(folder.files(), &base, signature, check_files)
        .map_err(Error::from)?;
    marker::write(dir, &applied.marker).map_err(folder_error(dir))?;
    Ok(applied)
}

/// Waits until the hosts of the configuration have the revision in force. Returns `None` if
/// `max_wait` is zero or the configuration cannot be read back.
fn wait_in_force(
    publication: &Publication,
    applied: &Applied,
    max_wait: Duration,
) -> Option<Rollout> {
    if max_wait.is_zero() {
        return None;
    }
    let fetched = publication.pull().ok()??;
    let hosts = fleet::host_addresses(&merge_files(&fetched).ok()?);
    let waited = fleet::wait_for_revision(&hosts, applied.revision, max_wait);
    Some(Rollout {
        hosts: hosts.len(),
        waited,
    })
}

/// The outcome of waiting until the hosts have a revision in force.
struct Rollout {
    /// The number of hosts that were polled.
    hosts: usize,
    waited: WaitOutcome,
}

/// Formats the result of a publication as text.
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

/// Formats the outcome of waiting for the hosts as text.
fn rollout_text(rollout: &Rollout) -> String {
    let Rollout { hosts, waited } = rollout;
    let elapsed = waited.elapsed.as_millis();
    if waited.lagging.is_empty() {
        return format!("in force on all {hosts} hosts after {elapsed} ms\n");
    }
    let in_force_count = hosts - waited.lagging.len();
    let mut text =
        format!("in force on {in_force_count} of {hosts} hosts after {elapsed} ms; behind:\n");
    for (host, reason) in &waited.lagging {
        let _ = writeln!(text, "  {host}: {reason}");
    }
    text
}

/// The result of a publication and of the wait as JSON.
fn applied_json(applied: &Applied, rollout: Option<&Rollout>) -> Value {
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
    if let Some(Rollout { hosts, waited }) = rollout {
        report["in_force"] = json!({
            "hosts": hosts,
            "waited_ms": waited.elapsed.as_millis() as u64,
            "lagging": waited.lagging,
        });
    }
    report
}

/// Replaces the files of a folder with those of the revision in force.
fn pull(
    publication: &Publication,
    dir: &Path,
    edits: Edits,
    format: Format,
) -> Result<(), Failure> {
    let fetched = pull_current(publication)?;
    let old_files = read_local_files(dir)?;
    if edits == Edits::Keep {
        reject_edits(dir, &old_files, &fetched)?;
    }
    write_files(dir, &old_files, &fetched)?;
    let count = fetched.files.len();
    let revision = fetched.revision;
    let report = match format {
        Format::Json => table::format_value(&json!({"revision": revision, "files": count}), format),
        Format::Table => format!("{}: revision {revision}, {count} files\n", dir.display()),
    };
    print(&report)
}

/// Reads the files of a folder. Creates the folder if it does not exist; it may be empty.
fn read_local_files(dir: &Path) -> Result<Files, Failure> {
    fs::create_dir_all(dir).map_err(folder_error(dir))?;
    match config::read(dir) {
        Ok(folder) => Ok(folder.files().clone()),
        Err(config::Error::Empty { .. }) => Ok(Files::new()),
        Err(error) => Err(error.into()),
    }
}

/// Fails if files of the folder were edited since it was pulled and differ from those to be
/// written.
fn reject_edits(dir: &Path, old_files: &Files, fetched: &Fetched) -> Result<(), Error> {
    let base = marker::read(dir).map_err(folder_error(dir))?;
    let is_overwritten =
        |name: &String| old_files.get(name.as_str()) != fetched.files.get(name.as_str());
    let mut edited = marker::edited_files(old_files, base.as_ref());
    edited.retain(is_overwritten);
    if edited.is_empty() {
        return Ok(());
    }
    Err(Error::Edited {
        dir: dir.display().to_string(),
        files: edited.join(", "),
    })
}

/// Writes the files of `fetched` to a folder that has the files `old_files`, and removes those
/// that `fetched` lacks. The marker is written last, so that a partially written folder counts as edited.
fn write_files(dir: &Path, old_files: &Files, fetched: &Fetched) -> Result<(), Error> {
    for (name, text) in &fetched.files {
        let path = dir.join(&**name);
        fs::write(&path, text.as_bytes()).map_err(folder_error(&path))?;
    }
    for name in old_files
        .keys()
        .filter(|name| !fetched.files.contains_key(*name))
    {
        let path = dir.join(&**name);
        fs::remove_file(&path).map_err(folder_error(&path))?;
    }
    marker::write(dir, &marker::for_revision(fetched)).map_err(folder_error(dir))
}

/// Returns a function that converts an I/O error on `path`.
fn folder_error(path: &Path) -> impl FnOnce(io::Error) -> Error + '_ {
    |source| Error::Folder {
        path: path.display().to_string(),
        source,
    }
}

fn history(publication: &Publication, format: Format) -> Result<(), Failure> {
    let steps = publication.history().map_err(Error::from)?;
    match format {
        Format::Json => print(&table::format_value(&json!(steps), format)),
        Format::Table => {
            let rows: Vec<Vec<String>> =
                std::iter::once(HISTORY_COLUMNS.map(str::to_owned).to_vec())
                    .chain(steps.iter().map(history_row))
                    .collect();
            print(&table::align_columns(&rows))
        }
    }
}

/// The column headers of the history.
const HISTORY_COLUMNS: [&str; 6] = ["revision", "time", "author", "change", "files", "note"];

/// The cells of one revision in the history.
fn history_row(step: &Step) -> Vec<String> {
    let change = &step.change;
    vec![
        step.revision.to_string(),
        format_time(change.time),
        change.author.clone(),
        change.id.chars().take(HISTORY_ID_CHARS).collect(),
        step.files.join(" "),
        change.note.clone(),
    ]
}

/// Formats a time, given in milliseconds since the Unix epoch, as RFC 3339 in UTC. Returns an empty
/// string if it is out of range.
fn format_time(ms: impl TryInto<i64>) -> String {
    let time = ms.try_into().ok().and_then(DateTime::from_timestamp_millis);
    time.map_or_else(String::new, |time| {
        time.to_rfc3339_opts(SecondsFormat::Secs, true)
    })
}
