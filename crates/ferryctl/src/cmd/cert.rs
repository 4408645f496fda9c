//! Generates the certificates with which instances authenticate to each other.

use argh::FromArgs;
use ferry_edge::certs::{self, CertError, CertPair};
use ferry_edge::settings::{self, Findings, Secret};
use thiserror::Error;

/// Section with the certificate and key of the authority.
const AUTHORITY_SECTION: &str = "authority";

#[derive(Debug, Error)]
pub enum CertCommandError {
    #[error(transparent)]
    Generate(#[from] CertError),
    #[error("could not read the authority:\n{0}")]
    Authority(#[from] Findings),
}

/// Generates the certificate authority of a deployment, or the certificate of an instance.
///
/// Both are printed in INI format. Do not copy the key of the authority to the instances.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "cert",
    example = "ferryctl cert authority > authority.ini",
    example = "ferryctl cert instance --authority authority.ini --name entry-1"
)]
pub struct CertArgs {
    #[argh(subcommand)]
    command: CertCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum CertCommand {
    Authority(AuthorityArgs),
    Instance(InstanceArgs),
}

/// Generates the certificate authority of a deployment.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "authority")]
struct AuthorityArgs {}

/// Generates the certificate of an instance, as the peers section of its settings.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "instance")]
struct InstanceArgs {
    /// file with the output of `ferryctl cert authority`
    #[argh(option)]
    authority: String,
    /// id of the instance, as in its settings
    #[argh(option)]
    name: String,
    /// IP address and port that peers connect to (default 127.0.0.1:8443)
    #[argh(option, default = "String::from(\"127.0.0.1:8443\")")]
    listen: String,
}

impl CertArgs {
    pub fn run(self) -> Result<(), CertCommandError> {
        match self.command {
            CertCommand::Authority(AuthorityArgs {}) => {
                let pair = certs::generate_authority()?;
                println!("[{AUTHORITY_SECTION}]");
                print_pair(&pair);
            }
            CertCommand::Instance(args) => {
                let authority = settings::load(&args.authority, |reader| CertPair {
                    cert: reader.required(AUTHORITY_SECTION, "certificate", Secret),
                    key: reader.required(AUTHORITY_SECTION, "key", Secret),
                })?;
                let pair = certs::issue_instance_cert(&authority, &args.name)?;
                println!("[peers]\nlisten = {}", args.listen);
                print_value("authority", &authority.cert);
                print_pair(&pair);
            }
        }
        Ok(())
    }
}

fn print_pair(pair: &CertPair) {
    print_value("certificate", &pair.cert);
    print_value("key", &pair.key);
}

/// Prints PEM text as a single line of an INI file.
fn print_value(key: &str, pem: &str) {
    println!("{key} = {}", pem.trim_end().replace("\r\n", "\n").replace('\n', "\\n"));
}
