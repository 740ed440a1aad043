//! `marigoldctl keys`: customers' keys and operators' tokens.

use clap::{Args, Subcommand};
use derive_more::Display;
use eyre::{Result, eyre};
use marigoldlock_core::keys::{KEY_BYTES, generate_key, hash_key};
use marigoldlock_wire::prelude::*;
use serde::Serialize;
use toml::{Table, Value};

use crate::backend::{BackendArgs, RequestedChange};
use crate::config::read_section;
use crate::output::Output;

/// Create, withdraw and list keys.
#[derive(Args, Debug)]
pub struct KeysArgs {
    #[command(subcommand)]
    command: KeysCommand,
}

#[derive(Debug, Subcommand)]
enum KeysCommand {
    /// Create a key for a customer and print it; only its hash is stored.
    Create(CreateArgs),
    /// Withdraw a key; it stops working within seconds, also on open connections.
    Withdraw(WithdrawArgs),
    /// List the keys of a team.
    List(ListArgs),
    /// Print a new random token and its hash, for --admin-hash or an operator; nothing is published.
    Token(TokenArgs),
}

#[derive(Args, Debug)]
struct CreateArgs {
    /// Team of the customer.
    #[arg(long)]
    team: String,
    /// Customer that the key belongs to.
    #[arg(long)]
    customer: String,
    /// Id of the key in the settings [default: random].
    #[arg(long)]
    id: Option<String>,
    /// Note for operators.
    #[arg(long, default_value = "")]
    note: String,
    /// Version that the change is based on; it is refused if the key has changed since then.
    #[arg(long)]
    expect: Option<LogPosition>,
    #[command(flatten)]
    backend: BackendArgs,
    #[command(flatten)]
    output: Output,
}

#[derive(Args, Debug)]
struct WithdrawArgs {
    /// Team of the key.
    #[arg(long)]
    team: String,
    /// Id of the key.
    id: String,
    /// Version that the change is based on; it is refused if the key has changed since then.
    #[arg(long)]
    expect: Option<LogPosition>,
    #[command(flatten)]
    backend: BackendArgs,
    #[command(flatten)]
    output: Output,
}

#[derive(Args, Debug)]
struct ListArgs {
    /// The team.
    #[arg(long)]
    team: String,
    #[command(flatten)]
    backend: BackendArgs,
    #[command(flatten)]
    output: Output,
}

#[derive(Args, Debug)]
struct TokenArgs {
    #[command(flatten)]
    output: Output,
}

/// Runs the command.
///
/// # Errors
///
/// Returns a [`crate::backend::OperatorError`] with a result code.
pub async fn run(args: KeysArgs) -> Result<()> {
    match args.command {
        KeysCommand::Create(args) => create(args).await,
        KeysCommand::Withdraw(args) => withdraw(args).await,
        KeysCommand::List(args) => list(args).await,
        KeysCommand::Token(args) => {
            let token = random_key();
            let hash = hash_key(&token).to_string();
            args.output.print(&TokenOutput { token, hash })
        }
    }
}

async fn create(args: CreateArgs) -> Result<()> {
    let key = random_key();
    let id = args
        .id
        .unwrap_or_else(|| format!("k{:08x}", rand::random::<u32>()));
    let mut body = Table::new();
    body.insert("hash".to_owned(), Value::from(hash_key(&key).to_string()));
    body.insert("customer".to_owned(), Value::from(args.customer.as_str()));
    if !args.note.is_empty() {
        body.insert("note".to_owned(), Value::from(args.note.as_str()));
    }
    let backend = args.backend.open();
    let path = format!("teams/{}/keys/{id}", args.team);
    let shown = backend.show(&path).await?;
    if shown.body.is_some() {
        return Err(eyre!("{path}: a key with this id is there already"));
    }
    // Without an expected version, the later of two operators that create the same id would replace the
    // earlier one's key.
    let change = RequestedChange::set(path, body.to_string())
        .with_expected_version(args.expect.or(Some(shown.version)));
    let published = backend.publish(vec![change]).await?;
    let version = published.first().map(|change| change.version).unwrap_or_default();
    args.output.print(&CreateOutput { id, key, version })
}

async fn withdraw(args: WithdrawArgs) -> Result<()> {
    let backend = args.backend.open();
    let path = format!("teams/{}/keys/{}", args.team, args.id);
    if backend.show(&path).await?.body.is_none() {
        return Err(eyre!("{path}: the key does not exist"));
    }
    let change =
        RequestedChange::set(format!("{path}/withdrawn"), "value = true").with_expected_version(args.expect);
    let published = backend.publish(vec![change]).await?;
    let version = published.first().map(|change| change.version).unwrap_or_default();
    args.output.print(&WithdrawOutput {
        id: &args.id,
        version,
    })
}

async fn list(args: ListArgs) -> Result<()> {
    let backend = args.backend.open();
    let (_, keys) = read_section(backend.as_ref(), &args.team, "keys").await?;
    for (id, key) in &keys {
        let text = |field| key.get(field).and_then(Value::as_str).unwrap_or_default();
        let withdrawn = key.get("withdrawn").and_then(Value::as_bool).unwrap_or_default();
        let line = KeyRow {
            id,
            customer: text("customer"),
            withdrawn,
            hash: text("hash"),
            note: text("note"),
        };
        args.output.print(&line)?;
    }
    Ok(())
}

fn random_key() -> String {
    generate_key(&rand::random::<[u8; KEY_BYTES]>())
}

#[derive(Display, Serialize)]
#[display("{key}\n# key {id}, in force from version {version} on; the key can't be shown again")]
struct CreateOutput {
    id: String,
    key: String,
    version: LogPosition,
}

#[derive(Display, Serialize)]
#[display("{id}: withdrawn from version {version} on")]
struct WithdrawOutput<'a> {
    id: &'a str,
    version: LogPosition,
}

#[derive(Display, Serialize)]
#[display("{id}  {customer}  {}  {hash}  {note}", if *withdrawn { "withdrawn" } else { "valid" })]
struct KeyRow<'a> {
    id: &'a str,
    customer: &'a str,
    withdrawn: bool,
    hash: &'a str,
    note: &'a str,
}

#[derive(Display, Serialize)]
#[display("{token}\n# hash {hash}")]
struct TokenOutput {
    token: String,
    hash: String,
}
