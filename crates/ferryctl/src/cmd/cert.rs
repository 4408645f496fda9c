//! Makes the certificates that instances show each other.

use argh::FromArgs;
use ferry_edge::certs::{self, CertError, CertPair};
use ferry_edge::settings::{self, Findings, Secret};
use thiserror::Error;

/// Section of the authority's certificate and key.
const AUTHORITY_SECTION: &str = "authority";

#[derive(Debug, Error)]
pub enum CertCommandError {
    #[error(transparent)]
    Make(#[from] CertError),
    #[error("could not read the authority:\n{0}")]
    Authority(#[from] Findings),
}

/// Makes the certificate authority of a deployment, or the certificate of one instance.
///
/// Both are printed as INI. Keep the authority's key away from the instances.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "cert",
    example = "ferryctl cert authority > authority.ini",
    example = "ferryctl cert instance --authority authority.ini --name entry-1"
)]
pub struct CertArgs {
    #[argh(subcommand)]
    what: What,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum What {
    Authority(AuthorityArgs),
    Instance(InstanceArgs),
}

/// Makes the certificate authority of a deployment.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "authority")]
struct AuthorityArgs {}

/// Makes the certificate of one instance, as the peers section of its settings.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "instance")]
struct InstanceArgs {
    /// file that `ferryctl cert authority` printed
    #[argh(option)]
    authority: String,
    /// id of the instance in its settings
    #[argh(option)]
    name: String,
    /// IP number and port where peers connect (default 127.0.0.1:8443)
    #[argh(option, default = "String::from(\"127.0.0.1:8443\")")]
    listen: String,
}

impl CertArgs {
    pub fn run(self) -> Result<(), CertCommandError> {
        match self.what {
            What::Authority(AuthorityArgs {}) => {
                let pair = certs::generate_authority()?;
                println!("[{AUTHORITY_SECTION}]");
                print_pair(&pair);
            }
            What::Instance(args) => {
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

/// Prints PEM as one line of INI.
fn print_value(key: &str, pem: &str) {
    println!("{key} = {}", pem.trim_end().replace("\r\n", "\n").replace('\n', "\\n"));
}
