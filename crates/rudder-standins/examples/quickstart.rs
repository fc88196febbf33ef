//! Starts a deployment on loopback and shows a caller's view of it: a write and a read of the same
//! session, the session resumed at another proxy by its token, and an automatic failover after the
//! primary is killed.

use rudder_standins::{Deployment, DeploymentPlan, MemberKnob};
use std::error::Error;
use std::time::{Duration, Instant};
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

const CALLERS: &str = "[callers.copyist]\nusers = [\"copyist\"]\nstaleness = \"2s\"\n\
                       queue_wait = \"5s\"\nin_flight_max = 100\n";

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    print_step("starting a group of three members, the platform and three proxies on loopback");
    let plan = DeploymentPlan { extra_settings: CALLERS.to_owned(), ..DeploymentPlan::small(3) };
    let deployment = Deployment::start(plan).await?;
    let first = connect(&deployment.connection_string(0, "copyist")).await?;

    first.batch_execute("CREATE TABLE pages (id int PRIMARY KEY, copyist text)").await?;
    first.batch_execute("INSERT INTO pages VALUES (7, 'anna')").await?;
    print_step("proxy 1: claimed page 7 for anna; a majority of the members holds the claim");
    print_step(&format!("proxy 1: the session reads its claim: {}", read_claims(&first).await?));

    let token = first_column(&first, "SHOW rudder.session").await?.remove(0);
    let connection_string = format!(
        "{} options='-c rudder.session={token}'",
        deployment.connection_string(1, "copyist")
    );
    let second = connect(&connection_string).await?;
    print_step(&format!(
        "proxy 2: the same session, by its token, reads: {}",
        read_claims(&second).await?
    ));

    deployment.groups[0].turn(&"scores-orders-1".parse()?, MemberKnob::Kill)?;
    let killed = Instant::now();
    print_step("the primary is killed; nobody is asked to do anything");
    let mut refused = 0;
    while let Err(error) = second.batch_execute("INSERT INTO pages VALUES (8, 'ben')").await {
        let message = error
            .as_db_error()
            .map_or_else(|| error.to_string(), |error| error.message().to_owned());
        print_step(&format!(
            "proxy 2: a claim of page 8 was refused ({message}); the caller tries again"
        ));
        refused += 1;
        if refused > 20 {
            return Err("no primary accepts writes".into());
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let gap_ms = killed.elapsed().as_millis();
    print_step(&format!(
        "proxy 2: page 8 claimed for ben at the new primary, {gap_ms} ms after the kill"
    ));
    print_step(&format!("proxy 2: the session reads: {}", read_claims(&second).await?));
    Ok(())
}

fn print_step(line: &str) {
    println!("{line}");
}

async fn connect(connection_string: &str) -> Result<Client, Box<dyn Error>> {
    let (client, connection) = tokio_postgres::connect(connection_string, NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

async fn read_claims(client: &Client) -> Result<String, Box<dyn Error>> {
    let names = first_column(client, "SELECT copyist FROM pages ORDER BY id").await?;
    Ok(names.join(", "))
}

async fn first_column(client: &Client, query: &str) -> Result<Vec<String>, Box<dyn Error>> {
    let messages = client.simple_query(query).await?;
    let first = |message: &SimpleQueryMessage| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    };
    Ok(messages.iter().filter_map(first).collect())
}
