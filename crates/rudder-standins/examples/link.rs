//! Runs a link stand-in as a separate process: a TCP relay to one address, whose faults are
//! controlled by commands on standard input.
//!
//! Commands, one per line: `cut`, `cut forward`, `cut backward`, `hold`, `hold forward`,
//! `hold backward`, `heal`, `reset`, `delay <ms> <jitter ms>`.

use argh::FromArgs;
use rudder_standins::{LinkDirection, LinkFault, LinkSettings, LinkStandin};
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};

/// Forward a TCP address with delay, jitter and faults until the time is over.
#[derive(FromArgs)]
struct LinkArguments {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// address to forward to
    #[argh(option)]
    target: SocketAddr,
    /// delay of one way, in milliseconds
    #[argh(option, default = "0")]
    delay: u64,
    /// greatest addition to the delay, in milliseconds
    #[argh(option, default = "0")]
    jitter: u64,
    /// seed of the jitter
    #[argh(option, default = "1")]
    seed: u64,
    /// end after so many seconds
    #[argh(option, default = "3600")]
    seconds: u64,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let arguments: LinkArguments = argh::from_env();
    let link = LinkStandin::start(&LinkSettings {
        listen: arguments.listen,
        target: arguments.target,
        delay: Duration::from_millis(arguments.delay),
        jitter: Duration::from_millis(arguments.jitter),
        loss_percent: 0,
        seed: arguments.seed,
    })
    .await?;
    println!("{}", link.address());
    let deadline = tokio::time::sleep(Duration::from_secs(arguments.seconds));
    tokio::pin!(deadline);
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    loop {
        let line = tokio::select! {
            () = &mut deadline => return Ok(()),
            line = lines.next_line() => line?,
        };
        let Some(line) = line else { break };
        match run_command(&link, &line) {
            Ok(()) => println!("ok {line}"),
            Err(error) => eprintln!("{line}: {error}"),
        }
    }
    // The link keeps running after the end of standard input.
    deadline.await;
    Ok(())
}

fn run_command(link: &LinkStandin, line: &str) -> Result<(), Box<dyn Error>> {
    let words: Vec<_> = line.split_whitespace().collect();
    match words.as_slice() {
        ["heal"] => link.heal(),
        ["reset"] => link.reset(),
        ["delay", delay, jitter] => link.set_delay(milliseconds(delay)?, milliseconds(jitter)?),
        [fault @ ("cut" | "hold"), directions @ ..] => {
            let fault = if *fault == "cut" { LinkFault::Drop } else { LinkFault::Hold };
            for direction in parse_directions(directions)? {
                link.set_fault(*direction, fault);
            }
        }
        _ => return Err("unknown command".into()),
    }
    Ok(())
}

fn parse_directions(words: &[&str]) -> Result<&'static [LinkDirection], Box<dyn Error>> {
    match words {
        [] => Ok(&[LinkDirection::Forward, LinkDirection::Backward]),
        ["forward"] => Ok(&[LinkDirection::Forward]),
        ["backward"] => Ok(&[LinkDirection::Backward]),
        _ => Err("direction must be forward or backward".into()),
    }
}

fn milliseconds(text: &str) -> Result<Duration, Box<dyn Error>> {
    Ok(Duration::from_millis(text.parse()?))
}
