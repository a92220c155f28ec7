//! Command line that starts each stand-in as a process.

use std::io::Write;
use std::net::{IpAddr, SocketAddr};
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};

use standin::caller::{self, Caller};
use standin::link::{self, Link};
use standin::platform::Platform;
use standin::target::{self, Target};
use standin::Error;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let result = match matches.subcommand() {
        Some(("platform", args)) => run_platform(args),
        Some(("target", args)) => run_target(args),
        Some(("link", args)) => run_link(args),
        Some(("caller", args)) => run_caller(args),
        _ => Ok(()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    let listen = || {
        address_arg("listen")
            .default_value("127.0.0.1:0")
            .help("Address to listen on")
    };
    let control = || address_arg("control").help("Second address, for /standin/ calls only");
    let text = |name: &'static str, default: &'static str| {
        Arg::new(name).long(name).default_value(default)
    };
    let number = |name, default| text(name, default).value_parser(value_parser!(u64));
    let flag = |name: &'static str| Arg::new(name).long(name).action(ArgAction::SetTrue);
    Command::new("standin")
        .about("Stand-ins for ragwortfold's surroundings")
        .subcommand_required(true)
        .subcommand(Command::new("platform").args([listen(), control()]))
        .subcommand(Command::new("target").args([
            listen(),
            control(),
            text("name", "target"),
            text("zone", ""),
            number("slots", "4"),
            number("queue", "4"),
            number("connections", "400"),
            number("work-ms", "0").help("Shortest service time, in milliseconds"),
            number("work-max-ms", "0").help("Longest service time, in milliseconds"),
            number("load-lag-ms", "0"),
            number("seed", "0"),
        ]))
        .subcommand(
            Command::new("link").args([
                listen(),
                control(),
                address_arg("to")
                    .required(true)
                    .help("Address of the far end"),
                number("delay-us", "0").help("Delay in each direction, in microseconds"),
            ]),
        )
        .subcommand(
            Command::new("caller").args([
                address_arg("entry")
                    .required(true)
                    .action(ArgAction::Append),
                Arg::new("client")
                    .long("client")
                    .action(ArgAction::Append)
                    .value_parser(value_parser!(IpAddr))
                    .default_value("127.0.0.1")
                    .help("Source address of a client"),
                text("name", "caller"),
                text("service", "service"),
                text("class", "class"),
                text("region", ""),
                text("rate", "10")
                    .value_parser(value_parser!(f64))
                    .help("Calls a second"),
                number("seed", "0"),
                number("threads", "16"),
                number("deadline-ms", "1000"),
                number("seconds", "10"),
                number("count", "1000000"),
                text("method", "GET"),
                text("path", "call"),
                number("body-min", "0"),
                number("body-max", "0"),
                Arg::new("answer-bytes")
                    .long("answer-bytes")
                    .value_parser(value_parser!(u64)),
                flag("keyed").help("Makes non-idempotent calls, with a key and a ticket"),
                flag("direct").help("Uses the entries as targets, without look-ups"),
                flag("records").help("Prints each call's record as a line of JSON"),
            ]),
        )
}

fn address_arg(name: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
}

fn text_value<'a>(args: &'a ArgMatches, name: &str) -> &'a str {
    args.get_one::<String>(name).map_or("", String::as_str)
}

fn number_value(args: &ArgMatches, name: &str) -> u64 {
    args.get_one(name).copied().unwrap_or_default()
}

fn millis_value(args: &ArgMatches, name: &str) -> Duration {
    Duration::from_millis(number_value(args, name))
}

fn listen_address(args: &ArgMatches) -> SocketAddr {
    args.get_one("listen")
        .copied()
        .unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn control_address(args: &ArgMatches) -> Option<SocketAddr> {
    args.get_one("control").copied()
}

/// Prints the listening addresses and blocks until the process is ended.
fn run_forever(address: SocketAddr, control: Option<SocketAddr>) -> Result<(), Error> {
    println!("listening on {address}");
    if let Some(control) = control {
        println!("control on {control}");
    }
    let _ = std::io::stdout().flush();
    loop {
        thread::park();
    }
}

fn run_platform(args: &ArgMatches) -> Result<(), Error> {
    let mut platform = Platform::new(listen_address(args))?;
    if let Some(control) = control_address(args) {
        platform = platform.with_control(control)?;
    }
    run_forever(platform.address(), platform.control_address())
}

fn run_target(args: &ArgMatches) -> Result<(), Error> {
    let shortest = millis_value(args, "work-ms");
    let longest = shortest.max(millis_value(args, "work-max-ms"));
    let settings = target::Settings::new(
        text_value(args, "name"),
        number_value(args, "slots") as usize,
    )
    .with_zone(text_value(args, "zone"))
    .with_queue(number_value(args, "queue") as usize)
    .with_connections(number_value(args, "connections") as usize)
    .with_service_time(
        target::ServiceTime { shortest, longest },
        number_value(args, "seed"),
    )
    .with_load_lag(millis_value(args, "load-lag-ms"));
    let mut target = Target::new(listen_address(args), settings)?;
    if let Some(control) = control_address(args) {
        target = target.with_control(control)?;
    }
    run_forever(target.address(), target.control_address())
}

fn run_link(args: &ArgMatches) -> Result<(), Error> {
    let far_address = args
        .get_one("to")
        .copied()
        .ok_or(Error::Settings("the address of the far end is missing"))?;
    let mut link = Link::new(listen_address(args), far_address)?;
    link.set_fault(link::Fault::delay(Duration::from_micros(number_value(
        args, "delay-us",
    ))));
    if let Some(control) = control_address(args) {
        link = link.with_control(control)?;
    }
    run_forever(link.address(), link.control_address())
}

fn run_caller(args: &ArgMatches) -> Result<(), Error> {
    let entries = args
        .get_many("entry")
        .into_iter()
        .flatten()
        .copied()
        .collect();
    let clients = args
        .get_many("client")
        .into_iter()
        .flatten()
        .copied()
        .collect();
    let body = (
        number_value(args, "body-min") as usize,
        number_value(args, "body-max") as usize,
    );
    let rate = args.get_one("rate").copied().unwrap_or(10.0);
    let mut settings = caller::Settings::new(
        text_value(args, "name"),
        text_value(args, "service"),
        entries,
    )
    .with_names(text_value(args, "class"), text_value(args, "region"))
    .with_clients(clients)
    .with_rate(rate, number_value(args, "seed"))
    .with_threads(number_value(args, "threads") as usize)
    .with_deadline(millis_value(args, "deadline-ms"))
    .with_request(text_value(args, "method"), text_value(args, "path"), body)
    .with_end(
        number_value(args, "count"),
        Duration::from_secs(number_value(args, "seconds")),
    );
    if let Some(length) = args.get_one::<u64>("answer-bytes") {
        settings = settings.with_response_bytes(*length as usize);
    }
    if args.get_flag("keyed") {
        settings = settings.with_keys();
    }
    if args.get_flag("direct") {
        settings = settings.without_lookups();
    }
    let (report, records) = Caller::new(settings)?.wait();
    if args.get_flag("records") {
        records.iter().for_each(print_json);
    }
    print_json(&report);
    Ok(())
}

fn print_json<T: serde::Serialize>(value: &T) {
    println!("{}", serde_json::to_string(value).unwrap_or_default());
}
