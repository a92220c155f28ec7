//! The parser of the command line.

use std::path::PathBuf;

use clap::{value_parser, Arg, ArgAction, Command};

/// Flags of `entry` that override a value of the settings file: flag, path of the value, help.
pub(crate) const OVERRIDES: &[(&str, &str, &str)] = &[
    ("host", "host", "The host's name in the configuration"),
    (
        "availability-zone",
        "availability_zone",
        "The host's availability zone",
    ),
    ("listen", "listen", "Where callers connect, IP:PORT"),
    (
        "peer-listen",
        "peer_listen",
        "Where other entry hosts connect, IP:PORT",
    ),
    (
        "platform",
        "platform",
        "The base URL of the platform's object API",
    ),
    (
        "peer-secret",
        "peer_secret",
        "The secret that all entry hosts share",
    ),
    (
        "log-level",
        "log.level",
        "error, warn, info, debug or trace",
    ),
    ("log-format", "log.format", "text or json"),
];

/// The whole command line.
pub(crate) fn build() -> Command {
    Command::new("ragwortfold")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Global traffic steering for small operators")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(entry())
}

fn entry() -> Command {
    let overrides = OVERRIDES.iter().map(|&(flag, _, help)| {
        Arg::new(flag)
            .long(flag)
            .value_name("VALUE")
            .help(help)
            .help_heading("Overrides")
    });
    Command::new("entry")
        .about("Runs an entry host")
        .arg(
            Arg::new("settings")
                .long("settings")
                .short('s')
                .value_name("FILE")
                .required(true)
                .action(ArgAction::Set)
                .value_parser(value_parser!(PathBuf))
                .help("The settings of this host, JSON with comments"),
        )
        .args(overrides)
}
