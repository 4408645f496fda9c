//! Generates a certificate authority and the certificates of instances.
//!
//! An instance's certificate is valid for one DNS name, the instance id, so that an
//! instance cannot impersonate another; see docs/OPERATING.md.

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use thiserror::Error;

/// Common name in the authority's own certificate.
const AUTHORITY_NAME: &str = "tarragonferry peers";

#[derive(Debug, Error)]
pub enum CertError {
    #[error("could not generate a certificate for {name}: {error}")]
    Generate { name: String, error: rcgen::Error },
    #[error("could not read the certificate authority: {0}")]
    Authority(rcgen::Error),
}

/// A certificate with its private key, both in PEM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CertPair {
    pub cert: String,
    pub key: String,
}

/// Generates the certificate authority of a deployment.
pub fn generate_authority() -> Result<CertPair, CertError> {
    let mut params = CertificateParams::default();
    params.distinguished_name.push(DnType::CommonName, AUTHORITY_NAME);
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    let key = KeyPair::generate().map_err(|it| generate_error(AUTHORITY_NAME, it))?;
    let cert = params.self_signed(&key).map_err(|it| generate_error(AUTHORITY_NAME, it))?;
    Ok(CertPair { cert: cert.pem(), key: key.serialize_pem() })
}

/// Generates the certificate of one instance, signed by `authority`.
pub fn issue_instance_cert(authority: &CertPair, instance: &str) -> Result<CertPair, CertError> {
    let signing_key = KeyPair::from_pem(&authority.key).map_err(CertError::Authority)?;
    let issuer =
        Issuer::from_ca_cert_pem(&authority.cert, signing_key).map_err(CertError::Authority)?;
    let mut params = CertificateParams::new(vec![instance.to_owned()])
        .map_err(|it| generate_error(instance, it))?;
    params.distinguished_name.push(DnType::CommonName, instance);
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    let key = KeyPair::generate().map_err(|it| generate_error(instance, it))?;
    let cert = params.signed_by(&key, &issuer).map_err(|it| generate_error(instance, it))?;
    Ok(CertPair { cert: cert.pem(), key: key.serialize_pem() })
}

fn generate_error(name: &str, error: rcgen::Error) -> CertError {
    CertError::Generate { name: name.to_owned(), error }
}
