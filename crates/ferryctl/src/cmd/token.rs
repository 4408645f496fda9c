//! Generates bearer tokens.

use argh::FromArgs;
use rand::RngExt;

/// Number of random bytes in a token.
const TOKEN_BYTES: usize = 24;

/// Generates a bearer token and its hash, which goes into the settings or the workspace.
///
/// Give the token to its user; it is not stored and cannot be shown again.
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
