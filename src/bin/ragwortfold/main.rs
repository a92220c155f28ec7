//! The command line of ragwortfold.

mod app;
mod clap_app;
mod entry;

use std::process::ExitCode;

use app::{App, Config};

/// Exit code when something failed while running.
const FAILED: u8 = 1;
/// Exit code when the arguments, the settings or the configuration are wrong.
const WRONG: u8 = 2;

/// What ends the program early.
#[derive(Debug, thiserror::Error)]
enum Error {
    /// Files with faults, or that cannot be read.
    #[error(transparent)]
    Config(#[from] ragwortfold::config::Error),
    /// The daemon failed.
    #[error(transparent)]
    Entry(#[from] ragwortfold::entry::Error),
}

impl Error {
    fn code(&self) -> u8 {
        match self {
            Error::Config(_) => WRONG,
            Error::Entry(_) => FAILED,
        }
    }
}

fn run() -> Result<(), Error> {
    match App::new().config() {
        Config::Entry(config) => entry::run(&config),
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
