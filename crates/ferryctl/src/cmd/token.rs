//! Makes bearer tokens.

use argh::FromArgs;
use rand::RngExt;

/// Random bytes of a token.
const TOKEN_BYTES: usize = 24;

/// Makes a bearer token and the hash of it that settings and workspaces keep.
///
/// Give the token to its user; it is shown only here.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "token", example = "ferryctl token")]
pub struct TokenArgs {}

impl TokenArgs {
    pub fn run(self) {
        let mut bytes = [0; TOKEN_BYTES];
        rand::rng().fill(&mut bytes[..]);
        let token: String = bytes.iter().map(|it| format!("{it:02x}")).collect();
        println!("token = {token}");
        println!("hash = {}", blake3::hash(token.as_bytes()).to_hex());
    }
}
