//! Mutual TLS between instances: both sides present a certificate of the deployment's authority.

use std::sync::Arc;
use std::time::Duration;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, Connection, IdleTimeout, ServerConfig, TransportConfig, VarInt};
use rustls::client::verify_server_name;
use rustls::crypto::CryptoProvider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::{ParsedCertificate, WebPkiClientVerifier};
use rustls::version::TLS13;
use rustls::{RootCertStore, client, server};

use super::{PeerError, PeerIdentity};

/// Application protocol (ALPN) negotiated in the handshake.
const ALPN_PROTOCOL: &[u8] = b"tarragonferry/1";
/// A connection without any packet for this long is closed and reopened on demand.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum number of messages in flight on one connection.
const MAX_STREAMS: u32 = 64;

pub fn server_config(identity: &PeerIdentity) -> Result<ServerConfig, PeerError> {
    let material = KeyMaterial::read(identity)?;
    let provider = provider();
    let verifier =
        WebPkiClientVerifier::builder_with_provider(Arc::new(material.roots), provider.clone())
            .build()
            .map_err(|it| PeerError::Tls(it.to_string()))?;
    let mut config = server::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&TLS13])
        .map_err(|it| PeerError::Tls(it.to_string()))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(material.chain, material.key)
        .map_err(|it| PeerError::Tls(it.to_string()))?;
    config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    let crypto = QuicServerConfig::try_from(config).map_err(|it| PeerError::Tls(it.to_string()))?;
    let mut config = ServerConfig::with_crypto(Arc::new(crypto));
    config.transport_config(Arc::new(transport()));
    Ok(config)
}

pub fn client_config(identity: &PeerIdentity) -> Result<ClientConfig, PeerError> {
    let material = KeyMaterial::read(identity)?;
    let mut config = client::ClientConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&TLS13])
        .map_err(|it| PeerError::Tls(it.to_string()))?
        .with_root_certificates(material.roots)
        .with_client_auth_cert(material.chain, material.key)
        .map_err(|it| PeerError::Tls(it.to_string()))?;
    config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    let crypto = QuicClientConfig::try_from(config).map_err(|it| PeerError::Tls(it.to_string()))?;
    let mut config = ClientConfig::new(Arc::new(crypto));
    config.transport_config(Arc::new(transport()));
    Ok(config)
}

/// Whether the peer's certificate is valid for `instance`.
pub fn has_cert_for(connection: &Connection, instance: &str) -> bool {
    let Some(identity) = connection.peer_identity() else { return false };
    let Ok(chain) = identity.downcast::<Vec<CertificateDer<'static>>>() else { return false };
    let Some(Ok(cert)) = chain.first().map(ParsedCertificate::try_from) else { return false };
    match ServerName::try_from(instance) {
        Ok(name) => verify_server_name(&cert, &name).is_ok(),
        Err(_) => false,
    }
}

struct KeyMaterial {
    roots: RootCertStore,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

impl KeyMaterial {
    fn read(identity: &PeerIdentity) -> Result<KeyMaterial, PeerError> {
        let mut roots = RootCertStore::empty();
        for cert in certificates("authority", &identity.authority)? {
            roots.add(cert).map_err(|it| key_material_error("authority", it))?;
        }
        let chain = certificates("certificate", &identity.pair.cert)?;
        let key = PrivateKeyDer::from_pem_slice(identity.pair.key.as_bytes())
            .map_err(|it| key_material_error("key", it))?;
        Ok(KeyMaterial { roots, chain, key })
    }
}

fn certificates(
    setting: &'static str,
    pem: &str,
) -> Result<Vec<CertificateDer<'static>>, PeerError> {
    let chain: Vec<_> = CertificateDer::pem_slice_iter(pem.as_bytes())
        .collect::<Result<_, _>>()
        .map_err(|it| key_material_error(setting, it))?;
    match chain.is_empty() {
        true => Err(key_material_error(setting, "no certificate found")),
        false => Ok(chain),
    }
}

fn key_material_error(setting: &'static str, error: impl ToString) -> PeerError {
    PeerError::KeyMaterial { setting, error: error.to_string() }
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn transport() -> TransportConfig {
    let mut config = TransportConfig::default();
    config
        .max_concurrent_uni_streams(VarInt::from_u32(MAX_STREAMS))
        .max_concurrent_bidi_streams(VarInt::from_u32(0))
        .max_idle_timeout(IdleTimeout::try_from(IDLE_TIMEOUT).ok());
    config
}
