//! Runs one stand-in for an outside system (platform, model engine or plain service), for tests and
//! the demo.

use std::net::SocketAddr;
use std::process::ExitCode;

use bramleyseam::standin::{engine, platform, service};
use bramleyseam::{clock, pages};
use clap::{Arg, ArgMatches, Command};
use std::time::Duration;

fn address() -> Arg {
    Arg::new("address")
        .long("address")
        .help("IP number and port to listen on")
        .default_value("127.0.0.1:0")
        .value_parser(clap::value_parser!(SocketAddr))
}

fn start(role: &str, matches: &ArgMatches) -> Result<SocketAddr, Box<dyn std::error::Error>> {
    let address = *matches
        .get_one::<SocketAddr>("address")
        .ok_or("no address")?;
    let listener = pages::listen(address)?;
    let started = match role {
        "platform" => platform::serve(listener)?,
        "service" => service::serve(listener)?,
        _ => {
            let behaviour = matches
                .get_one::<String>("behaviour")
                .map_or("{}", String::as_str);
            engine::serve(listener, serde_json::from_str(behaviour)?)?
        }
    };
    Ok(started)
}

fn main() -> ExitCode {
    let behaviour = Arg::new("behaviour")
        .long("behaviour")
        .help("JSON object with the behaviour to change from the default");
    let matches = Command::new("bramley-standin")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(
            Command::new("platform")
                .about("Key-value service and VM list")
                .arg(address()),
        )
        .subcommand(
            Command::new("engine")
                .about("Model engine")
                .arg(address())
                .arg(behaviour),
        )
        .subcommand(
            Command::new("service")
                .about("Plain service")
                .arg(address()),
        )
        .get_matches();
    let Some((role, matches)) = matches.subcommand() else {
        return ExitCode::FAILURE;
    };
    match start(role, matches) {
        Ok(address) => {
            println!("address {address}");
            loop {
                clock::sleep(Duration::from_secs(3600));
            }
        }
        Err(error) => {
            eprintln!("bramley-standin: {error}");
            ExitCode::FAILURE
        }
    }
}
