//! TLS for callers, with PEM files that are reloaded periodically.

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

/// Provides the current certificate to TLS handshakes.
#[derive(Debug)]
struct CertificateResolver {
    certificate: PathBuf,
    key: PathBuf,
    current: RwLock<Arc<CertifiedKey>>,
}

impl ResolvesServerCert for CertificateResolver {
    fn resolve(&self, _hello: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(Arc::clone(&self.current.read().expect("no holder of this lock panics")))
    }
}

/// Returns an acceptor if the settings name a certificate, and starts the task that reloads its
/// files.
pub(crate) fn build_acceptor(process: &ProcessSettings) -> Result<Option<TlsAcceptor>, ProxyError> {
    let (Some(certificate), Some(key)) = (&process.tls_certificate, &process.tls_key) else {
        return Ok(None);
    };
    let current = RwLock::new(load_certificate(certificate, key)?);
    let resolver = Arc::new(CertificateResolver {
        certificate: certificate.clone(),
        key: key.clone(),
        current,
    });
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|error| ProxyError::Tls(error.to_string()))?
        .with_no_client_auth()
        .with_cert_resolver(Arc::clone(&resolver) as Arc<dyn ResolvesServerCert>);
    let interval = Duration::from_secs(u64::from(process.tls_reload_s));
    tokio::spawn(reload_periodically(resolver, interval));
    Ok(Some(TlsAcceptor::from(Arc::new(config))))
}

async fn reload_periodically(resolver: Arc<CertificateResolver>, interval: Duration) {
    loop {
        tokio::time::sleep(interval).await;
        match load_certificate(&resolver.certificate, &resolver.key) {
            Ok(key) => *resolver.current.write().expect("no holder of this lock panics") = key,
            Err(error) => {
                log::error!(target: "rudder::tls", reason:% = error; "failed to reload the certificate");
            }
        }
    }
}

fn load_certificate(certificate: &Path, key: &Path) -> Result<Arc<CertifiedKey>, ProxyError> {
    let tls_error = |error: &dyn std::fmt::Display| ProxyError::Tls(error.to_string());
    let chain = CertificateDer::pem_file_iter(certificate)
        .map_err(|error| tls_error(&error))?
        .collect::<Result<Vec<_>, _>>()
        .map_err(|error| tls_error(&error))?;
    let key = PrivateKeyDer::from_pem_file(key).map_err(|error| tls_error(&error))?;
    let provider = rustls::crypto::ring::default_provider();
    let certified =
        CertifiedKey::from_der(chain, key, &provider).map_err(|error| tls_error(&error))?;
    Ok(Arc::new(certified))
}
