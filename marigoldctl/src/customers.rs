//! `marigoldctl customers`: creates, lists and removes the customers of a team.

use clap::{Args, Subcommand};
use derive_more::Display;
use eyre::{Result, eyre};
use marigoldlock_wire::prelude::*;
use serde::Serialize;
use toml::{Table, Value};

use crate::backend::{BackendArgs, RequestedChange};
use crate::config::read_section;
use crate::output::Output;

/// Create, list and remove customers.
#[derive(Args, Debug)]
pub struct CustomersArgs {
    #[command(subcommand)]
    command: CustomersCommand,
}

#[derive(Debug, Subcommand)]
enum CustomersCommand {
    /// Create a customer.
    Create(CreateArgs),
    /// List the customers of a team.
    List(ListArgs),
    /// Remove a customer and its keys.
    Remove(RemoveArgs),
}

#[derive(Args, Debug)]
struct CreateArgs {
    /// Team of the customer.
    #[arg(long)]
    team: String,
    /// Name of the customer, unique among all teams.
    name: String,
    /// Share of a contended service, relative to the other customers.
    #[arg(long)]
    weight: Option<f64>,
    /// Service that the customer may use; may be repeated [default: all of the team].
    #[arg(long = "service")]
    services: Vec<String>,
    /// Maximum requests per second in the whole fleet.
    #[arg(long)]
    requests_per_s: Option<f64>,
    /// Maximum prompt and output tokens per second in the whole fleet.
    #[arg(long)]
    tokens_per_s: Option<f64>,
    /// Maximum open streams in the whole fleet.
    #[arg(long)]
    streams: Option<u32>,
    /// Allow the customer's work on cheap capacity, where a rule permits it.
    #[arg(long)]
    cheap_capacity: bool,
    /// Data centre where the customer's work may run; may be repeated [default: all].
    #[arg(long = "data-centre")]
    data_centres: Vec<String>,
    /// Version that the change is based on; it is refused if the customer has changed since then.
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
struct RemoveArgs {
    /// The team.
    #[arg(long)]
    team: String,
    /// Name of the customer.
    name: String,
    /// Version that the removal is based on; it is refused if the customer or its keys changed since then.
    #[arg(long)]
    expect: Option<LogPosition>,
    #[command(flatten)]
    backend: BackendArgs,
    #[command(flatten)]
    output: Output,
}

/// Runs the command.
///
/// # Errors
///
/// Returns a [`crate::backend::OperatorError`] with a result code.
pub async fn run(args: CustomersArgs) -> Result<()> {
    match args.command {
        CustomersCommand::Create(args) => create(args).await,
        CustomersCommand::List(args) => list(args).await,
        CustomersCommand::Remove(args) => remove(args).await,
    }
}

impl CreateArgs {
    fn body(&self) -> Table {
        let mut body = Table::new();
        let mut set = |field: &str, value: Option<Value>| {
            value.map(|value| body.insert(field.to_owned(), value));
        };
        set("weight", self.weight.map(Value::from));
        set("services", non_empty(&self.services));
        set("requests_per_s", self.requests_per_s.map(Value::from));
        set("tokens_per_s", self.tokens_per_s.map(Value::from));
        set("streams", self.streams.map(Value::from));
        set("cheap_capacity", self.cheap_capacity.then_some(Value::from(true)));
        set("data_centres", non_empty(&self.data_centres));
        body
    }
}

fn non_empty(names: &[String]) -> Option<Value> {
    (!names.is_empty()).then(|| Value::from(names.to_vec()))
}

async fn create(args: CreateArgs) -> Result<()> {
    let backend = args.backend.open();
    let path = format!("teams/{}/customers/{}", args.team, args.name);
    let shown = backend.show(&path).await?;
    if shown.body.is_some() {
        return Err(eyre!(
            "{path}: the customer is there already; use `config publish` to change it"
        ));
    }
    let expect = args.expect.or(Some(shown.version));
    let change = RequestedChange::set(path, args.body().to_string()).with_expected_version(expect);
    let published = backend.publish(vec![change]).await?;
    let version = published.first().map(|change| change.version).unwrap_or_default();
    args.output.print(&ChangeOutput {
        name: &args.name,
        change: "created",
        version,
    })
}

async fn list(args: ListArgs) -> Result<()> {
    let backend = args.backend.open();
    let (_, customers) = read_section(backend.as_ref(), &args.team, "customers").await?;
    let (_, keys) = read_section(backend.as_ref(), &args.team, "keys").await?;
    for (name, settings) in &customers {
        let keys = keys_of(&keys, name).count();
        args.output.print(&CustomerRow { name, keys, settings })?;
    }
    Ok(())
}

async fn remove(args: RemoveArgs) -> Result<()> {
    let backend = args.backend.open();
    let (version, keys) = read_section(backend.as_ref(), &args.team, "keys").await?;
    // If another operator adds a key at the same time, the check refuses the customer's removal.
    let expect = args.expect.or(Some(version));
    let paths = keys_of(&keys, &args.name)
        .map(|id| format!("teams/{}/keys/{id}", args.team))
        .chain([format!("teams/{}/customers/{}", args.team, args.name)]);
    let changes = paths
        .map(|path| RequestedChange::remove(path).with_expected_version(expect))
        .collect();
    let published = backend.publish(changes).await?;
    let version = published.last().map(|change| change.version).unwrap_or_default();
    args.output.print(&ChangeOutput {
        name: &args.name,
        change: "removed",
        version,
    })
}

fn keys_of<'a>(keys: &'a Table, customer: &'a str) -> impl Iterator<Item = &'a String> {
    let owned = move |key: &Value| key.get("customer").and_then(Value::as_str) == Some(customer);
    keys.iter().filter(move |(_, key)| owned(key)).map(|(id, _)| id)
}

#[derive(Display, Serialize)]
#[display("{name}: {change}, in force from version {version} on")]
struct ChangeOutput<'a> {
    name: &'a str,
    change: &'static str,
    version: LogPosition,
}

#[derive(Display, Serialize)]
#[display("{name}  {keys} keys  {settings}")]
struct CustomerRow<'a> {
    name: &'a str,
    keys: usize,
    settings: &'a Value,
}
