//! The `ragwortfold` command line program.

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

/// Exit code when a command failed while it ran.
const EXIT_FAILED: u8 = 1;
/// Exit code when the arguments, the settings or the configuration are invalid.
const EXIT_INVALID_INPUT: u8 = 2;
/// Exit code when a drain is refused because the limits do not permit it.
const EXIT_DRAIN_REFUSED: u8 = 3;

/// An error that ends the program.
#[derive(Debug, thiserror::Error)]
enum Error {
    /// Configuration or settings files have faults or cannot be read.
    #[error(transparent)]
    Config(#[from] ragwortfold::config::Error),
    /// The entry host failed.
    #[error(transparent)]
    Entry(#[from] ragwortfold::entry::Error),
    /// A request to a host or the platform failed.
    #[error(transparent)]
    Fetch(#[from] fetch::Error),
    /// The platform's configuration could not be read or changed.
    #[error(transparent)]
    Publish(#[from] publish::Error),
    /// A log could not be read.
    #[error(transparent)]
    Explain(#[from] ragwortfold::explain::Error),
    /// The logs have no line about the request.
    #[error("no line of these logs names the request '{0}'")]
    UnknownRequest(std::sync::Arc<str>),
    /// A target, zone, region or host could not be drained or undrained.
    #[error(transparent)]
    Drain(#[from] drain::Error),
    /// The catalog cannot be built from the configuration.
    #[error(transparent)]
    Catalog(#[from] ragwortfold::catalog::Error),
    /// The demo failed.
    #[cfg(feature = "demo")]
    #[error(transparent)]
    Demo(#[from] demo::Error),
    /// The program was built without the feature `demo`.
    #[cfg(not(feature = "demo"))]
    #[error("demo: not in this build, which lacks the feature 'demo'")]
    Demo,
    /// Standard output could not be written.
    #[error("standard output: {0}")]
    Output(#[from] io::Error),
}

impl Error {
    /// The exit code for this error.
    fn exit_code(&self) -> u8 {
        match self {
            Error::Config(_) | Error::Catalog(_) => EXIT_INVALID_INPUT,
            Error::Publish(error) if error.is_invalid_configuration() => EXIT_INVALID_INPUT,
            Error::Drain(drain::Error::LimitsExceeded { .. }) => EXIT_DRAIN_REFUSED,
            Error::Drain(error) if error.is_invalid_input() => EXIT_INVALID_INPUT,
            _ => EXIT_FAILED,
        }
    }
}

/// Writes `text` to standard output. A broken pipe is not an error: the reader closed it early.
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
        Config::Completions(shell) => help::print_completions(shell),
        Config::Man => help::print_man_page(),
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
            ExitCode::from(error.exit_code())
        }
    }
}
