//! Command line of the stand-ins.

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
        Some(("platform", args)) => platform(args),
        Some(("target", args)) => target(args),
        Some(("link", args)) => link(args),
        Some(("caller", args)) => caller(args),
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
        address("listen")
            .default_value("127.0.0.1:0")
            .help("Where to listen")
    };
    let control = || address("control").help("Second address, for /standin/ calls only");
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
            number("work-ms", "0").help("Shortest service time"),
            number("work-max-ms", "0").help("Longest service time"),
            number("load-lag-ms", "0"),
            number("seed", "0"),
        ]))
        .subcommand(Command::new("link").args([
            listen(),
            control(),
            address("to").required(true).help("The far end"),
            number("delay-us", "0").help("Delay each way"),
        ]))
        .subcommand(
            Command::new("caller").args([
                address("entry").required(true).action(ArgAction::Append),
                Arg::new("client")
                    .long("client")
                    .action(ArgAction::Append)
                    .value_parser(value_parser!(IpAddr))
                    .default_value("127.0.0.1")
                    .help("Source address"),
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
                flag("keyed").help("Non-idempotent calls, with a key and a ticket"),
                flag("direct").help("The entries are targets; no look-ups"),
                flag("records").help("Prints each call's record as a line of JSON"),
            ]),
        )
}

fn address(name: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
}

fn text<'a>(args: &'a ArgMatches, name: &str) -> &'a str {
    args.get_one::<String>(name).map_or("", String::as_str)
}

fn number(args: &ArgMatches, name: &str) -> u64 {
    args.get_one(name).copied().unwrap_or_default()
}

fn ms(args: &ArgMatches, name: &str) -> Duration {
    Duration::from_millis(number(args, name))
}

fn listen(args: &ArgMatches) -> SocketAddr {
    args.get_one("listen")
        .copied()
        .unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn control(args: &ArgMatches) -> Option<SocketAddr> {
    args.get_one("control").copied()
}

/// Says where it listens and runs until the process is ended.
fn serve(address: SocketAddr, control: Option<SocketAddr>) -> Result<(), Error> {
    println!("listening on {address}");
    if let Some(control) = control {
        println!("control on {control}");
    }
    let _ = std::io::stdout().flush();
    loop {
        thread::park();
    }
}

fn platform(args: &ArgMatches) -> Result<(), Error> {
    let mut platform = Platform::new(listen(args))?;
    if let Some(control) = control(args) {
        platform = platform.with_control(control)?;
    }
    serve(platform.address(), platform.control_address())
}

fn target(args: &ArgMatches) -> Result<(), Error> {
    let shortest = ms(args, "work-ms");
    let longest = shortest.max(ms(args, "work-max-ms"));
    let settings = target::Settings::new(text(args, "name"), number(args, "slots") as usize)
        .with_zone(text(args, "zone"))
        .with_queue(number(args, "queue") as usize)
        .with_connections(number(args, "connections") as usize)
        .with_service_time(
            target::ServiceTime { shortest, longest },
            number(args, "seed"),
        )
        .with_load_lag(ms(args, "load-lag-ms"));
    let mut target = Target::new(listen(args), settings)?;
    if let Some(control) = control(args) {
        target = target.with_control(control)?;
    }
    serve(target.address(), target.control_address())
}

fn link(args: &ArgMatches) -> Result<(), Error> {
    let to = args
        .get_one("to")
        .copied()
        .ok_or(Error::Settings("no far end"))?;
    let mut link = Link::new(listen(args), to)?;
    link.set_fault(link::Fault::delay(Duration::from_micros(number(
        args, "delay-us",
    ))));
    if let Some(control) = control(args) {
        link = link.with_control(control)?;
    }
    serve(link.address(), link.control_address())
}

fn caller(args: &ArgMatches) -> Result<(), Error> {
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
        number(args, "body-min") as usize,
        number(args, "body-max") as usize,
    );
    let rate = args.get_one("rate").copied().unwrap_or(10.0);
    let mut settings = caller::Settings::new(text(args, "name"), text(args, "service"), entries)
        .with_names(text(args, "class"), text(args, "region"))
        .with_clients(clients)
        .with_rate(rate, number(args, "seed"))
        .with_threads(number(args, "threads") as usize)
        .with_deadline(ms(args, "deadline-ms"))
        .with_request(text(args, "method"), text(args, "path"), body)
        .with_end(
            number(args, "count"),
            Duration::from_secs(number(args, "seconds")),
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
