//! Defines the command line parser.

use std::net::IpAddr;
use std::path::PathBuf;

use clap::builder::PossibleValuesParser;
use clap::{value_parser, Arg, ArgAction, Command};
use clap_complete::Shell;

use crate::drain::ResourceKind;

/// The program's name.
pub(crate) const NAME: &str = "ragwortfold";

/// Flags of `entry` that override a value of the settings file: flag, path of the value in the
/// settings, help text.
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

/// Builds the parser of the whole command line.
pub(crate) fn build() -> Command {
    Command::new(NAME)
        .version(env!("CARGO_PKG_VERSION"))
        .about("Global traffic steering for small operators")
        .long_about(
            "Global traffic steering for small operators.\n\n\
             Entry hosts ('ragwortfold entry') tell callers which hosts to use and carry their \
             requests to targets. Operators keep a folder of small configuration files and put it \
             in force with 'ragwortfold config apply'.",
        )
        .after_help(
            "Exit codes: 0 done, 1 failed, 2 wrong arguments, settings or configuration, 3 a \
             drain that limits forbid.",
        )
        .arg_required_else_help(true)
        .args_conflicts_with_subcommands(true)
        .arg(completions_arg())
        .arg(man_arg())
        .subcommand(entry_command())
        .subcommand(config_command())
        .subcommand(
            drain_command(
                "drain",
                "Takes new work away from a target, zone, region or host",
            )
            .long_about(
                "Takes new work away from a target, zone, region or host and waits until its work \
                 in flight is done. The change goes into the file 'zz-drain.json' of the \
                 configuration.\n\n\
                 Exits with 3, before anything is changed, if what stays could not carry the work \
                 or the cap on shifts makes it take more than one window.",
            )
            .arg(flag_arg(
                "force",
                "Begin even if it cannot be met within limits",
            )),
        )
        .subcommand(drain_command(
            "undrain",
            "Gives a target, zone, region or host work again",
        ))
        .subcommand(status_command())
        .subcommand(lookup_command())
        .subcommand(explain_command())
        .subcommand(demo_command())
}

fn completions_arg() -> Arg {
    Arg::new("completions")
        .long("completions")
        .value_name("SHELL")
        .value_parser(value_parser!(Shell))
        .help("Print the completions of a shell")
        .long_help(
            "Print the completions of a shell, for instance:\n  \
             ragwortfold --completions bash > /etc/bash_completion.d/ragwortfold",
        )
}

fn man_arg() -> Arg {
    flag_arg("man", "Print the man page")
        .long_help("Print the man page, for instance:\n  ragwortfold --man > ragwortfold.1")
        .conflicts_with("completions")
}

fn entry_command() -> Command {
    let overrides = OVERRIDES.iter().map(|&(flag, _, help)| {
        Arg::new(flag)
            .long(flag)
            .value_name("VALUE")
            .help(help)
            .help_heading("Overrides of the settings")
    });
    Command::new("entry")
        .about("Runs an entry host")
        .long_about(
            "Runs an entry host until SIGTERM, on which it finishes its work and exits with 0. \
             SIGHUP reads the log level again.",
        )
        .arg(
            path_arg(
                "settings",
                "FILE",
                "The host's settings, JSON with comments",
            )
            .long("settings")
            .short('s'),
        )
        .args(overrides)
}

fn config_command() -> Command {
    Command::new("config")
        .about("Checks, shows and publishes configuration folders")
        .long_about(
            "Checks, shows and publishes configuration folders.\n\n\
             The *.json files of a folder (JSON with comments) are merged in byte order of their \
             names: objects merge by key, a later scalar or list replaces, null removes.",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Checks every value of a folder")
                .long_about(
                    "Checks every value of a folder and prints all faults, each as \
                     FILE:LINE:COLUMN: PATH: PROBLEM. Exits with 2 if there are any.",
                )
                .arg(dir_arg()),
        )
        .subcommand(
            Command::new("show")
                .about("Prints the merged folder as JSON")
                .arg(dir_arg())
                .arg(
                    flag_arg("origin", "Say which file and line each value comes from").long_help(
                        "Say which file and line each value comes from, as a comment after it; \
                         the output can be read as a configuration file again",
                    ),
                ),
        )
        .subcommand(
            Command::new("diff")
                .about("Shows how a folder differs from the platform's configuration")
                .arg(dir_arg())
                .arg(platform_arg())
                .arg(json_arg()),
        )
        .subcommand(apply_command())
        .subcommand(
            Command::new("pull")
                .about("Writes the platform's configuration to a folder")
                .long_about(
                    "Writes the platform's configuration to a folder: afterwards it holds just \
                     the files of the revision in force, and a marker '.ragwortfold-base' that \
                     says which revision that was. Files that were edited since the folder was \
                     pulled keep it from being written.",
                )
                .arg(dir_arg())
                .arg(platform_arg())
                .arg(flag_arg(
                    "discard-edits",
                    "Overwrite and remove edited files",
                ))
                .arg(json_arg()),
        )
        .subcommand(
            Command::new("history")
                .about("Lists the revisions of the platform's configuration")
                .arg(platform_arg())
                .arg(json_arg()),
        )
}

fn apply_command() -> Command {
    Command::new("apply")
        .about("Makes a folder the next revision of the platform's configuration")
        .long_about(
            "Makes a folder, or with --revert an earlier revision, the next revision of the \
             platform's configuration. Revisions only rise. Racing changes of other files are \
             taken in; a racing change of the same file is a conflict. Then waits until the \
             entry hosts have it in force and says which are behind.\n\n\
             Exits with 0 when the revision is published, even if hosts are behind, with 1 when \
             it is not, and with 2 when the configuration has faults.",
        )
        .arg(
            dir_arg()
                .required(false)
                .required_unless_present("revert")
                .conflicts_with("revert"),
        )
        .arg(platform_arg())
        .arg(note_arg())
        .arg(author_arg())
        .arg(
            Arg::new("revert")
                .long("revert")
                .value_name("N")
                .value_parser(value_parser!(u64))
                .help("Take the files of revision N instead of a folder's"),
        )
        .arg(
            flag_arg("remove-missing", "Take the folder as the whole truth")
                .long_help(
                    "Take the folder as the whole truth: files that it lacks are removed, and \
                     older texts come back, whatever others changed meanwhile",
                )
                .conflicts_with("revert"),
        )
        .arg(wait_arg(
            "10",
            "How long to wait until hosts have it in force; 0 is not at all",
        ))
        .arg(json_arg())
}

fn wait_arg(default: &'static str, help: &'static str) -> Arg {
    Arg::new("wait")
        .long("wait")
        .value_name("SECONDS")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

fn drain_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(
            Arg::new("kind")
                .value_name("KIND")
                .required(true)
                .value_parser(PossibleValuesParser::new(
                    ResourceKind::ALL.map(|(name, _)| name),
                ))
                .help("What kind of place"),
        )
        .arg(
            Arg::new("name")
                .value_name("NAME")
                .required(true)
                .help("Its name in the configuration"),
        )
        .arg(platform_arg())
        .arg(note_arg())
        .arg(author_arg())
        .arg(wait_arg(
            "60",
            "How long to wait until it is done; 0 is not at all",
        ))
        .arg(json_arg())
}

fn status_command() -> Command {
    Command::new("status")
        .about("Prints what an entry host or the platform says of the system")
        .arg(
            url_arg("entry", "Ask this entry host")
                .required_unless_present("platform")
                .conflicts_with("platform"),
        )
        .arg(url_arg(
            "platform",
            "Read the configuration there and ask all its entry hosts",
        ))
        .arg(json_arg())
}

fn explain_command() -> Command {
    Command::new("explain")
        .about("Tells one request's story from the logs of hosts")
        .long_about(
            "Reads logs with one JSON object a line, of any number of hosts, and prints in order of time \
             the lines about one request, and what its host noted of the targets that it named, of the \
             configuration and of the store around that time.",
        )
        .arg(
            Arg::new("id")
                .long("id")
                .value_name("ID")
                .required(true)
                .help("The request"),
        )
        .arg(
            Arg::new("logs")
                .value_name("FILE")
                .num_args(0..)
                .value_parser(value_parser!(PathBuf))
                .help("Logs; standard input, if none is given"),
        )
}

fn lookup_command() -> Command {
    Command::new("lookup")
        .about("Asks an entry host which hosts a caller should use")
        .arg(url_arg("entry", "The entry host to ask").required(true))
        .arg(
            Arg::new("service")
                .value_name("SERVICE")
                .required(true)
                .help("The service to be called"),
        )
        .arg(
            Arg::new("client")
                .long("client")
                .value_name("IP")
                .value_parser(value_parser!(IpAddr))
                .help("The caller's address, if not this machine's"),
        )
        .arg(json_arg())
}

#[cfg(feature = "demo")]
fn demo_command() -> Command {
    use crate::demo::{Customer, FAULTS};
    Command::new("demo")
        .about("Runs a whole system in this process and counts broken promises")
        .long_about(
            "Runs a whole system in this process on loopback ports: platform, entry hosts, \
             targets, links and callers. Prints what callers saw; exits with 1 if a promise was \
             broken.",
        )
        .arg(
            Arg::new("customer")
                .value_name("CUSTOMER")
                .default_value("quispe")
                .value_parser(PossibleValuesParser::new(
                    Customer::ALL.map(|(name, _)| name),
                ))
                .help("Whose system"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("N")
                .default_value("20")
                .value_parser(value_parser!(u64).range(1..=86_400))
                .help("How long callers send"),
        )
        .arg(
            Arg::new("rate")
                .long("rate")
                .value_name("R")
                .value_parser(value_parser!(f64))
                .help("A factor on the customer's own rates of requests"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("S")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("The seed of all random choices"),
        )
        .arg(
            Arg::new("fault")
                .long("fault")
                .value_name("NAME")
                .default_value("none")
                .value_parser(PossibleValuesParser::new(FAULTS))
                .help("The fault to inject"),
        )
        .arg(json_arg())
}

/// The hidden subcommand of a build without the feature `demo`. It accepts any arguments, and
/// running it reports that the demo is missing.
#[cfg(not(feature = "demo"))]
fn demo_command() -> Command {
    Command::new("demo")
        .about("Is not in this build")
        .hide(true)
        .arg(
            Arg::new("rest")
                .num_args(0..)
                .trailing_var_arg(true)
                .allow_hyphen_values(true),
        )
}

fn path_arg(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name(value)
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

fn dir_arg() -> Arg {
    path_arg("dir", "DIR", "The configuration folder")
}

fn url_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("URL").help(help)
}

fn platform_arg() -> Arg {
    url_arg("platform", "The base URL of the platform's object API").required(true)
}

fn note_arg() -> Arg {
    Arg::new("note")
        .long("note")
        .value_name("TEXT")
        .help("Why, for the history")
}

fn author_arg() -> Arg {
    Arg::new("author")
        .long("author")
        .value_name("NAME")
        .help("Who, for the history")
}

fn flag_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .help(help)
}

fn json_arg() -> Arg {
    flag_arg("json", "Print JSON")
}
