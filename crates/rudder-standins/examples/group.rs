//! Runs a database group stand-in as a separate process.

use argh::FromArgs;
use rudder_core::{ConnectionCount, MemberName, ServiceName, SlotCount};
use rudder_standins::{GroupSettings, GroupStandin, ServiceDistribution};
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

/// Serve a database group until the time is over or the process is ended.
#[derive(FromArgs)]
struct GroupArguments {
    /// comma-separated addresses, one per member
    #[argh(option, default = "\"127.0.0.1:15432,127.0.0.1:15433,127.0.0.1:15434\".to_owned()")]
    listen: String,
    /// the service's name
    #[argh(option, default = "\"scores-orders\".to_owned()")]
    service: String,
    /// comma-separated names of the members, instead of the service's name with a number
    #[argh(option)]
    names: Option<String>,
    /// comma-separated speeds of the members in percent
    #[argh(option)]
    speeds: Option<String>,
    /// statements that a member runs at the same time
    #[argh(option, default = "5")]
    slots: u32,
    /// connections that a member accepts
    #[argh(option, default = "1000")]
    connections: u32,
    /// mean service time of a statement, in milliseconds
    #[argh(option, default = "0.0")]
    service_time: f64,
    /// spread service times exponentially instead of keeping them fixed
    #[argh(switch)]
    exponential: bool,
    /// time that a new connection takes, in milliseconds
    #[argh(option, default = "0.0")]
    connect_time: f64,
    /// time that an entry travels to a replica, in milliseconds
    #[argh(option, default = "0.0")]
    link_delay: f64,
    /// time before a replica applies a received entry, in milliseconds
    #[argh(option, default = "0.0")]
    apply_lag: f64,
    /// seed of the service times
    #[argh(option, default = "1")]
    seed: u64,
    /// password that clients must prove
    #[argh(option)]
    password: Option<String>,
    /// end after so many seconds
    #[argh(option)]
    seconds: Option<u64>,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let arguments: GroupArguments = argh::from_env();
    let group = GroupStandin::start(settings(&arguments)?).await?;
    for (name, address) in group.members() {
        println!("{name} {address}");
    }
    match arguments.seconds {
        Some(seconds) => tokio::time::sleep(Duration::from_secs(seconds)).await,
        None => std::future::pending().await,
    }
    Ok(())
}

fn settings(arguments: &GroupArguments) -> Result<GroupSettings, Box<dyn Error>> {
    let service: ServiceName = arguments.service.parse()?;
    let listen: Result<Vec<SocketAddr>, _> =
        arguments.listen.split(',').map(|address| address.trim().parse()).collect();
    let mut settings = GroupSettings::new(service, &listen?);
    if let Some(names) = &arguments.names {
        for (member, name) in settings.members.iter_mut().zip(names.split(',')) {
            member.name = name.trim().parse::<MemberName>()?;
        }
    }
    if let Some(speeds) = &arguments.speeds {
        for (member, speed) in settings.members.iter_mut().zip(speeds.split(',')) {
            member.speed = speed.trim().parse()?;
        }
    }
    settings.slots = SlotCount(arguments.slots);
    settings.connections = ConnectionCount(arguments.connections);
    settings.service_time = milliseconds(arguments.service_time);
    if arguments.exponential {
        settings.service_distribution = ServiceDistribution::Exponential;
    }
    settings.connect_time = milliseconds(arguments.connect_time);
    settings.link_delay = milliseconds(arguments.link_delay);
    settings.apply_lag = milliseconds(arguments.apply_lag);
    settings.seed = arguments.seed;
    settings.password.clone_from(&arguments.password);
    Ok(settings)
}

fn milliseconds(millis: f64) -> Duration {
    const SECONDS_PER_MILLISECOND: f64 = 0.001;
    Duration::from_secs_f64(millis.max(0.0) * SECONDS_PER_MILLISECOND)
}
