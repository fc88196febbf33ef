//! Logins with TLS and passwords, certificate reload, and absence of passwords from the log.

use crate::common::{plan, rows_of};
use rudder_standins::{Deployment, DeploymentPlan};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, ServerName};
use rustls::{ClientConfig, RootCertStore};
use std::error::Error;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_postgres::{Client, Config, NoTls};
use tokio_rustls::TlsConnector;

/// An environment variable that cargo sets for tests; its value is used as the password.
const PASSWORD_VARIABLE: &str = "CARGO_PKG_DESCRIPTION";

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct LogCapture;

struct LogLine(String);

impl<'kvs> log::kv::VisitSource<'kvs> for LogLine {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        self.0.push_str(&format!(" {key}={value}"));
        Ok(())
    }
}

impl log::Log for LogCapture {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let mut line = LogLine(record.args().to_string());
        let _ = record.key_values().visit(&mut line);
        LINES.lock().expect("no holder of this lock panics").push(line.0);
    }

    fn flush(&self) {}
}

fn capture_log() {
    // Another test may have set the logger already.
    let _ = log::set_logger(&LogCapture);
    log::set_max_level(log::LevelFilter::Debug);
}

fn certificate_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/deployment/tls").join(name)
}

fn tls_plan(folder: &Path) -> DeploymentPlan {
    let process_settings = format!(
        "tls_certificate = {:?}\ntls_key = {:?}\ntls_reload_s = 1\n",
        folder.join("certificate.pem"),
        folder.join("key.pem")
    );
    DeploymentPlan { process_settings, ..plan(1) }
}

fn password_plan() -> DeploymentPlan {
    let process_settings = format!(
        "require_password = true\n[[passwords]]\nuser = \"copyist\"\nvariable = \"{PASSWORD_VARIABLE}\"\n"
    );
    DeploymentPlan { process_settings, ..plan(1) }
}

fn install_certificate(folder: &Path, name: &str) {
    std::fs::copy(certificate_path(&format!("{name}.key.pem")), folder.join("key.pem"))
        .expect("copied");
    std::fs::copy(certificate_path(&format!("{name}.pem")), folder.join("certificate.pem"))
        .expect("copied");
}

/// Connects with TLS and trusts only one certificate.
async fn connect_trusting(
    deployment: &Deployment,
    certificate: &str,
) -> Result<Client, Box<dyn Error>> {
    let mut roots = RootCertStore::empty();
    roots.add(CertificateDer::from_pem_file(certificate_path(certificate))?)?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()?
        .with_root_certificates(roots)
        .with_no_client_auth();
    let mut stream = TcpStream::connect(deployment.proxy(0).listen_address()).await?;
    stream.write_all(&[0, 0, 0, 8, 4, 210, 22, 47]).await?;
    assert_eq!(stream.read_u8().await?, b'S');
    let name = ServerName::try_from("localhost")?;
    let stream = TlsConnector::from(Arc::new(config)).connect(name, stream).await?;
    let text = deployment.connection_string(0, "copyist");
    let (client, connection) = text.parse::<Config>()?.connect_raw(stream, NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_renewed_certificate_is_used_without_a_restart() {
    let folder = std::env::temp_dir().join(format!("rudder-tls-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the certificate folder is created");
    install_certificate(&folder, "first");
    let deployment = Deployment::start(tls_plan(&folder)).await.expect("deployment starts");
    let existing = connect_trusting(&deployment, "first.pem").await.expect("the first is trusted");
    let refused = connect_trusting(&deployment, "second.pem").await.is_err();

    install_certificate(&folder, "second");
    let mut renewed = connect_trusting(&deployment, "second.pem").await;
    for _ in 0..100 {
        if renewed.is_ok() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        renewed = connect_trusting(&deployment, "second.pem").await;
    }
    std::fs::remove_dir_all(&folder).expect("the certificate folder is removed");

    assert!(refused);
    assert_eq!(rows_of(&renewed.expect("the second is trusted"), "SELECT 1").await, ["1"]);
    assert_eq!(rows_of(&existing, "SELECT 1").await, ["1"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_password_admits_only_its_user_and_is_never_logged() {
    capture_log();
    let password = std::env::var(PASSWORD_VARIABLE).expect("cargo sets it");
    let deployment = Deployment::start(password_plan()).await.expect("deployment starts");
    let connect = async |user: &str, password: &str| {
        let mut config: Config =
            deployment.connection_string(0, user).parse().expect("a connection string");
        let (client, connection) = config.password(password).connect(NoTls).await?;
        tokio::spawn(connection);
        Ok::<Client, tokio_postgres::Error>(client)
    };

    let client = connect("copyist", &password).await.expect("the password is right");
    let wrong = connect("copyist", "guess").await.expect_err("the password is wrong");
    let stranger = connect("stranger", &password).await.expect_err("the user is not listed");

    assert_eq!(rows_of(&client, "SELECT 1").await, ["1"]);
    for refused in [wrong, stranger] {
        assert_eq!(refused.code().map(|code| code.code().to_owned()), Some("28P01".to_owned()));
    }
    let lines = LINES.lock().expect("no holder of this lock panics");
    assert!(!lines.is_empty());
    assert!(!lines.iter().any(|line| line.contains(&password) || line.contains("guess")));
}
