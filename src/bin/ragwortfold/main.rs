//! The command line of ragwortfold.

mod app;
mod clap_app;
mod config;
#[cfg(feature = "demo")]
mod demo;
mod drain;
mod entry;
mod explain;
mod fetch;
mod fleet;
mod help;
mod lookup;
mod overrides;
mod publish;
mod room;
mod status;
mod table;

use std::io::{self, Write as _};
use std::process::ExitCode;

use app::{App, Config};

/// Exit code when something failed while running.
const FAILED: u8 = 1;
/// Exit code when the arguments, the settings or the configuration are wrong.
const WRONG: u8 = 2;
/// Exit code when a drain is refused because it cannot be met within limits.
const REFUSED: u8 = 3;

/// What ends the program early.
#[derive(Debug, thiserror::Error)]
enum Error {
    /// Files with faults, or that cannot be read.
    #[error(transparent)]
    Config(#[from] ragwortfold::config::Error),
    /// The daemon failed.
    #[error(transparent)]
    Entry(#[from] ragwortfold::entry::Error),
    /// A host or the platform gave no answer.
    #[error(transparent)]
    Fetch(#[from] fetch::Error),
    /// The platform's configuration could not be read or changed.
    #[error(transparent)]
    Publish(#[from] publish::Error),
    /// A log could not be read.
    #[error(transparent)]
    Explain(#[from] ragwortfold::explain::Error),
    /// No log names a request.
    #[error("no line of these logs names the request '{0}'")]
    Untold(std::sync::Arc<str>),
    /// A place could not be drained.
    #[error(transparent)]
    Drain(#[from] drain::Error),
    /// The configuration cannot be laid out.
    #[error(transparent)]
    Catalog(#[from] ragwortfold::catalog::Error),
    /// The demo failed.
    #[cfg(feature = "demo")]
    #[error(transparent)]
    Demo(#[from] demo::Error),
    /// The demo is not in this build.
    #[cfg(not(feature = "demo"))]
    #[error("demo: not in this build, which lacks the feature 'demo'")]
    Demo,
    /// Standard output cannot be written.
    #[error("standard output: {0}")]
    Output(#[from] io::Error),
}

impl Error {
    fn code(&self) -> u8 {
        match self {
            Error::Config(_) | Error::Catalog(_) => WRONG,
            Error::Publish(error) if error.is_fault() => WRONG,
            Error::Drain(drain::Error::Limits { .. }) => REFUSED,
            Error::Drain(error) if error.is_wrong() => WRONG,
            _ => FAILED,
        }
    }
}

/// Writes `text` to standard output. A reader that has seen enough is no error.
fn print(text: &str) -> Result<(), Error> {
    let mut output = io::stdout().lock();
    let written = output.write_all(text.as_bytes());
    match written.and_then(|()| output.flush()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => Err(error.into()),
        _ => Ok(()),
    }
}

fn run() -> Result<(), Error> {
    match App::new().config() {
        Config::Completions(shell) => help::completions(shell),
        Config::Man => help::man(),
        Config::Entry(config) => entry::run(&config),
        Config::Check(config) => config::check(&config),
        Config::Show(config) => config::show(&config),
        Config::Publish(config) => publish::run(&config),
        Config::Drain(config) => drain::run(&config),
        Config::Status(config) => status::run(&config),
        Config::Lookup(config) => lookup::run(&config),
        Config::Explain(config) => explain::run(&config),
        #[cfg(feature = "demo")]
        Config::Demo(config) => demo::run(&config),
        #[cfg(not(feature = "demo"))]
        Config::Demo => Err(Error::Demo),
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.code())
        }
    }
}
