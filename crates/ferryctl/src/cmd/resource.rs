//! The list, get, diff, put and delete commands, shared by all kinds of values.

use argh::FromArgs;
use http::Method;
use serde_json::Value;

use super::CommandError;
use crate::client::{Accepted, ChangeRequest, Client, Precondition, VersionedValue};
use crate::output::{Format, cell, diff, print_json, print_table};

/// A kind of value and the columns of its table.
#[derive(Debug, Clone, Copy)]
pub struct Resource {
    /// Path of the list.
    pub path: &'static str,
    /// Titles and JSON pointers of the columns.
    pub columns: &'static [(&'static str, &'static str)],
    /// Whether each value has a revision of its own.
    pub own_revisions: bool,
}

/// list all values
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct ListArgs {}

/// print a value as JSON, and its revision on standard error
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub struct GetArgs {
    /// name of the value
    #[argh(positional)]
    name: String,
}

/// show what putting the file would change
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffArgs {
    /// name of the value
    #[argh(positional)]
    name: String,
    /// file with the value as JSON
    #[argh(positional)]
    file: String,
}

/// show the difference, then create or replace the value
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "put")]
pub struct PutArgs {
    /// name of the value
    #[argh(positional)]
    name: String,
    /// file with the value as JSON
    #[argh(positional)]
    file: String,
    /// revision that the edit is based on, as printed by get
    #[argh(option)]
    revision: Option<u64>,
    /// base the edit on the current revision, whatever it is
    #[argh(switch)]
    latest: bool,
    /// id of an earlier attempt whose result is unknown
    #[argh(option)]
    id: Option<String>,
}

/// delete the value
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "delete")]
pub struct DeleteArgs {
    /// name of the value
    #[argh(positional)]
    name: String,
    /// revision that the deletion is based on, as printed by get
    #[argh(option)]
    revision: Option<u64>,
    /// base the deletion on the current revision, whatever it is
    #[argh(switch)]
    latest: bool,
    /// id of an earlier attempt whose result is unknown
    #[argh(option)]
    id: Option<String>,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Verb {
    List(ListArgs),
    Get(GetArgs),
    Diff(DiffArgs),
    Put(PutArgs),
    Delete(DeleteArgs),
}

impl Resource {
    pub async fn run(
        &self,
        verb: Verb,
        client: &Client,
        format: Format,
    ) -> Result<(), CommandError> {
        match verb {
            Verb::List(_) => self.list(client, format).await,
            Verb::Get(args) => self.get(args, client).await,
            Verb::Diff(args) => self.diff(args, client).await,
            Verb::Put(args) => self.put(args, client, format).await,
            Verb::Delete(args) => self.delete(args, client, format).await,
        }
    }

    pub async fn list(&self, client: &Client, format: Format) -> Result<(), CommandError> {
        let read = client.read(self.path).await?;
        if format == Format::Json {
            return Ok(print_json(&read.value)?);
        }
        let items = read.value.get("items").and_then(Value::as_array).cloned().unwrap_or_default();
        let titles: Vec<&str> = self.columns.iter().map(|(title, _)| *title).collect();
        let row = |item: &Value| -> Vec<String> {
            let pointers = self.columns.iter().map(|(_, pointer)| pointer);
            pointers.map(|it| item.pointer(it).map_or_else(|| "-".to_owned(), cell)).collect()
        };
        let rows: Vec<Vec<String>> = items.iter().map(row).collect();
        print_table(&titles, &rows);
        Ok(())
    }

    pub async fn get(&self, args: GetArgs, client: &Client) -> Result<(), CommandError> {
        let read = client.read(&self.item(&args.name)).await?;
        if let Some(revision) = read.revision {
            eprintln!("revision {revision}");
        }
        Ok(print_json(&read.value)?)
    }

    pub async fn diff(&self, args: DiffArgs, client: &Client) -> Result<(), CommandError> {
        let new = read_file(&args.file)?;
        let old = client.find(&self.item(&args.name)).await?;
        for line in diff(old.as_ref().map(|it| &it.value), Some(&new))? {
            println!("{line}");
        }
        Ok(())
    }

    pub async fn put(
        &self,
        args: PutArgs,
        client: &Client,
        format: Format,
    ) -> Result<(), CommandError> {
        let new = read_file(&args.file)?;
        let path = self.item(&args.name);
        let old = client.find(&path).await?;
        for line in diff(old.as_ref().map(|it| &it.value), Some(&new))? {
            eprintln!("{line}");
        }
        let precondition =
            self.precondition(client, old.as_ref(), args.revision, args.latest).await?;
        let change = ChangeRequest::new(Method::PUT, path, precondition, args.id).with_body(new);
        print_accepted(&client.change(&change).await?, format);
        Ok(())
    }

    pub async fn delete(
        &self,
        args: DeleteArgs,
        client: &Client,
        format: Format,
    ) -> Result<(), CommandError> {
        let path = self.item(&args.name);
        let old = client.find(&path).await?;
        let precondition =
            self.precondition(client, old.as_ref(), args.revision, args.latest).await?;
        let change = ChangeRequest::new(Method::DELETE, path, precondition, args.id);
        print_accepted(&client.change(&change).await?, format);
        Ok(())
    }

    /// Returns the precondition of a change; the operator must set one unless the change creates a
    /// value that has a revision of its own.
    async fn precondition(
        &self,
        client: &Client,
        old: Option<&VersionedValue>,
        revision: Option<u64>,
        latest: bool,
    ) -> Result<Precondition, CommandError> {
        if let Some(revision) = revision {
            return Ok(Precondition::Revision(revision));
        }
        if self.own_revisions && old.is_none() {
            return Ok(Precondition::Absent);
        }
        if !latest {
            return Err(CommandError::NoRevision);
        }
        if let Some(revision) = old.and_then(|it| it.revision) {
            return Ok(Precondition::Revision(revision));
        }
        let list = client.read(self.path).await?;
        Ok(list.revision.map_or(Precondition::Absent, Precondition::Revision))
    }

    fn item(&self, name: &str) -> String {
        format!("{}/{name}", self.path)
    }
}

/// Prints the revision at which a change was accepted.
pub fn print_accepted(accepted: &Accepted, format: Format) {
    match format {
        Format::Table => println!("accepted as revision {}", accepted.revision),
        Format::Json => {
            println!("{}", serde_json::json!({"revision": accepted.revision, "id": accepted.id}));
        }
    }
}

fn read_file(path: &str) -> Result<Value, CommandError> {
    let file = |error: String| CommandError::File { path: path.to_owned(), error };
    let text = std::fs::read_to_string(path).map_err(|it| file(it.to_string()))?;
    serde_json::from_str(&text).map_err(|it| file(it.to_string()))
}
