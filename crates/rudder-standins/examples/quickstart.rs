//! A deployment on loopback, and what one caller sees of it: a write, the session's read, the same
//! session at another proxy, the primary's death, and the way on.

use rudder_standins::{Deployment, DeploymentPlan, MemberKnob};
use std::error::Error;
use std::time::{Duration, Instant};
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

const CALLERS: &str = "[callers.copyist]\nusers = [\"copyist\"]\nstaleness = \"2s\"\n\
                       queue_wait = \"5s\"\nin_flight_max = 100\n";

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    say("starting a group of three members, the platform and three proxies on loopback");
    let plan = DeploymentPlan { extra: CALLERS.to_owned(), ..DeploymentPlan::small(3) };
    let deployment = Deployment::start(plan).await?;
    let first = connect(&deployment.client_string(0, "copyist")).await?;

    first.batch_execute("CREATE TABLE pages (id int PRIMARY KEY, copyist text)").await?;
    first.batch_execute("INSERT INTO pages VALUES (7, 'anna')").await?;
    say("proxy 1: claimed page 7 for anna; a majority of the members holds the claim");
    say(&format!("proxy 1: the session reads its claim: {}", claims(&first).await?));

    let token = rows(&first, "SHOW rudder.session").await?.remove(0);
    let words =
        format!("{} options='-c rudder.session={token}'", deployment.client_string(1, "copyist"));
    let second = connect(&words).await?;
    say(&format!("proxy 2: the same session, by its token, reads: {}", claims(&second).await?));

    deployment.groups[0].turn(&"scores-orders-1".parse()?, MemberKnob::Kill)?;
    let killed = Instant::now();
    say("the primary is killed; nobody is asked to do anything");
    let mut refused = 0;
    while let Err(error) = second.batch_execute("INSERT INTO pages VALUES (8, 'ben')").await {
        let words = error
            .as_db_error()
            .map_or_else(|| error.to_string(), |error| error.message().to_owned());
        say(&format!("proxy 2: a claim of page 8 was refused ({words}); the caller tries again"));
        refused += 1;
        if refused > 20 {
            return Err("no primary accepts writes".into());
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let gap = killed.elapsed().as_millis();
    say(&format!("proxy 2: page 8 claimed for ben at the new primary, {gap} ms after the kill"));
    say(&format!("proxy 2: the session reads: {}", claims(&second).await?));
    Ok(())
}

fn say(line: &str) {
    println!("{line}");
}

async fn connect(words: &str) -> Result<Client, Box<dyn Error>> {
    let (client, connection) = tokio_postgres::connect(words, NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

async fn claims(client: &Client) -> Result<String, Box<dyn Error>> {
    let names = rows(client, "SELECT copyist FROM pages ORDER BY id").await?;
    Ok(names.join(", "))
}

async fn rows(client: &Client, query: &str) -> Result<Vec<String>, Box<dyn Error>> {
    let messages = client.simple_query(query).await?;
    let first = |message: &SimpleQueryMessage| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    };
    Ok(messages.iter().filter_map(first).collect())
}
