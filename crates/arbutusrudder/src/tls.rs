//! TLS towards callers, from PEM files that are read again when they change.

use crate::error::ProxyError;
use crate::process::ProcessSettings;
use rustls::ServerConfig;
use rustls::server::{ClientHello, ResolvesServerCert};
use rustls::sign::CertifiedKey;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use std::path::{Path, PathBuf};
use std::sync::{Arc, RwLock};
use std::time::Duration;
use tokio_rustls::TlsAcceptor;

/// The certificate in force.
#[derive(Debug)]
struct CertificateSource {
    certificate: PathBuf,
    key: PathBuf,
    current: RwLock<Arc<CertifiedKey>>,
}

impl ResolvesServerCert for CertificateSource {
    fn resolve(&self, _hello: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(Arc::clone(&self.current.read().expect("no holder of this lock panics")))
    }
}

/// An acceptor if the settings name a certificate; its files are followed from then on.
pub(crate) fn acceptor_of(process: &ProcessSettings) -> Result<Option<TlsAcceptor>, ProxyError> {
    let (Some(certificate), Some(key)) = (&process.tls_certificate, &process.tls_key) else {
        return Ok(None);
    };
    let current = RwLock::new(load(certificate, key)?);
    let source =
        Arc::new(CertificateSource { certificate: certificate.clone(), key: key.clone(), current });
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|error| ProxyError::Tls(error.to_string()))?
        .with_no_client_auth()
        .with_cert_resolver(Arc::clone(&source) as Arc<dyn ResolvesServerCert>);
    let interval = Duration::from_secs(u64::from(process.tls_reload_s));
    tokio::spawn(follow(source, interval));
    Ok(Some(TlsAcceptor::from(Arc::new(config))))
}

async fn follow(source: Arc<CertificateSource>, interval: Duration) {
    loop {
        tokio::time::sleep(interval).await;
        match load(&source.certificate, &source.key) {
            Ok(key) => *source.current.write().expect("no holder of this lock panics") = key,
            Err(error) => {
                log::error!(target: "rudder::tls", reason:% = error; "certificate not reloaded");
            }
        }
    }
}

fn load(certificate: &Path, key: &Path) -> Result<Arc<CertifiedKey>, ProxyError> {
    let refused = |error: &dyn std::fmt::Display| ProxyError::Tls(error.to_string());
    let chain = CertificateDer::pem_file_iter(certificate)
        .map_err(|error| refused(&error))?
        .collect::<Result<Vec<_>, _>>()
        .map_err(|error| refused(&error))?;
    let key = PrivateKeyDer::from_pem_file(key).map_err(|error| refused(&error))?;
    let provider = rustls::crypto::ring::default_provider();
    let certified =
        CertifiedKey::from_der(chain, key, &provider).map_err(|error| refused(&error))?;
    Ok(Arc::new(certified))
}
