//! `marigoldctl config`: reads, checks and publishes settings by path.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::Read as _;

use clap::{Args, Subcommand};
use derive_more::Display;
use eyre::{Result, WrapErr, eyre};
use marigoldlock_wire::prelude::*;
use serde::Serialize;
use toml::{Table, Value};

use crate::backend::{BackendArgs, RequestedChange, SettingsBackend};
use crate::output::Output;

/// Read, check and publish settings.
#[derive(Args, Debug)]
pub struct ConfigArgs {
    #[command(subcommand)]
    command: ConfigCommand,
}

#[derive(Debug, Subcommand)]
enum ConfigCommand {
    /// Check a change against the current settings without publishing it.
    Check(ChangeArgs),
    /// Show what a change would alter.
    Diff(ChangeArgs),
    /// Publish a change and wait until it is accepted.
    Publish(ChangeArgs),
    /// Show the value at a path.
    Show(PathArgs),
    /// List the changes at, above or under a path that the log still keeps.
    History(PathArgs),
}

#[derive(Args, Debug)]
struct ChangeArgs {
    /// Path of the subtree, such as teams/copydesk/services/booking-app.
    path: String,
    /// TOML file with the new value, `-` for standard input; a scalar is written as the key `value`.
    #[arg(long, short, conflicts_with_all = ["value", "remove"])]
    file: Option<String>,
    /// New scalar as TOML, such as 20, true or '"fenced"'.
    #[arg(long, conflicts_with = "remove", allow_hyphen_values = true)]
    value: Option<String>,
    /// Remove the value at the path.
    #[arg(long)]
    remove: bool,
    /// Version that the change is based on; it is refused if the path has changed since then.
    #[arg(long)]
    expect: Option<LogPosition>,
    #[command(flatten)]
    backend: BackendArgs,
    #[command(flatten)]
    output: Output,
}

#[derive(Args, Debug)]
struct PathArgs {
    /// Path of the subtree, such as teams/copydesk.
    path: String,
    #[command(flatten)]
    backend: BackendArgs,
    #[command(flatten)]
    output: Output,
}

/// Runs the command.
///
/// # Errors
///
/// Returns a [`crate::backend::OperatorError`] with a result code, or an error if a file can't be read.
pub async fn run(args: ConfigArgs) -> Result<()> {
    match args.command {
        ConfigCommand::Check(args) => check(args).await,
        ConfigCommand::Diff(args) => diff(args).await,
        ConfigCommand::Publish(args) => publish(args).await,
        ConfigCommand::Show(args) => show(args).await,
        ConfigCommand::History(args) => history(args).await,
    }
}

impl ChangeArgs {
    fn wanted(&self) -> Result<RequestedChange> {
        let body = match (&self.file, &self.value, self.remove) {
            (Some(file), ..) => Some(read_file(file)?),
            (None, Some(value), _) => Some(format!("value = {value}")),
            (None, None, true) => None,
            (None, None, false) => return Err(eyre!("one of --file, --value and --remove is required")),
        };
        Ok(RequestedChange {
            path: self.path.clone(),
            body,
            expect: self.expect,
        })
    }
}

fn read_file(file: &str) -> Result<String> {
    if file == "-" {
        let mut text = String::new();
        std::io::stdin()
            .read_to_string(&mut text)
            .wrap_err("can't read standard input")?;
        return Ok(text);
    }
    std::fs::read_to_string(file).wrap_err_with(|| format!("--file {file}"))
}

async fn check(args: ChangeArgs) -> Result<()> {
    args.backend.open().check(&[args.wanted()?]).await?;
    args.output.print(&CheckOutput {
        path: &args.path,
        accepted: true,
    })
}

async fn diff(args: ChangeArgs) -> Result<()> {
    let backend = args.backend.open();
    let wanted = args.wanted()?;
    backend.check(std::slice::from_ref(&wanted)).await?;
    let shown = backend.show(&args.path).await?;
    let before = leaves(&args.path, shown.body.as_deref())?;
    let after = leaves(&args.path, wanted.body.as_deref())?;
    let difference = SettingsDifference {
        version: shown.version,
        lines: difference(&before, &after),
    };
    args.output.print(&difference)
}

async fn publish(args: ChangeArgs) -> Result<()> {
    let published = args.backend.open().publish(vec![args.wanted()?]).await?;
    for change in published {
        args.output.print(&PublishOutput {
            path: &change.path,
            version: change.version,
        })?;
    }
    Ok(())
}

async fn show(args: PathArgs) -> Result<()> {
    let shown = args.backend.open().show(&args.path).await?;
    if args.output.json {
        return args.output.print_json(&shown);
    }
    println!("# {} at version {}", shown.path, shown.version);
    println!("{}", shown.body.as_deref().unwrap_or("# nothing is set"));
    Ok(())
}

async fn history(args: PathArgs) -> Result<()> {
    for past in args.backend.open().history(&args.path).await? {
        if args.output.json {
            args.output.print_json(&past)?;
            continue;
        }
        let action = if past.body.is_some() { "set" } else { "remove" };
        println!(
            "{:>10}  {action:<6}  {}  by {}  {}",
            past.version, past.path, past.author, past.verdict
        );
    }
    Ok(())
}

#[derive(Display, Serialize)]
#[display("{path}: would be accepted")]
struct CheckOutput<'a> {
    path: &'a str,
    accepted: bool,
}

#[derive(Display, Serialize)]
#[display("{path}: accepted, in force from version {version} on")]
struct PublishOutput<'a> {
    path: &'a str,
    version: LogPosition,
}

/// Differences between the current and the new settings: `-` marks an old value, `+` a new one.
#[derive(Serialize)]
struct SettingsDifference {
    version: LogPosition,
    lines: Vec<String>,
}

impl std::fmt::Display for SettingsDifference {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "# against version {}", self.version)?;
        self.lines.iter().try_for_each(|line| write!(f, "\n{line}"))
    }
}

/// Flattens the value at a path to its scalars and lists, by their full path.
fn leaves(path: &str, body: Option<&str>) -> Result<BTreeMap<String, String>> {
    let table: Table = body.unwrap_or_default().parse()?;
    let mut leaves = BTreeMap::new();
    match (table.get("value"), table.len()) {
        (Some(value), 1) if !value.is_table() => {
            leaves.insert(path.to_owned(), value.to_string());
        }
        _ => collect_leaves(path, &table, &mut leaves),
    }
    Ok(leaves)
}

fn collect_leaves(path: &str, table: &Table, leaves: &mut BTreeMap<String, String>) {
    for (key, value) in table {
        let path = format!("{path}/{key}");
        match value {
            Value::Table(child) if !child.is_empty() => collect_leaves(&path, child, leaves),
            value => {
                leaves.insert(path, value.to_string());
            }
        }
    }
}

fn difference(before: &BTreeMap<String, String>, after: &BTreeMap<String, String>) -> Vec<String> {
    let mut paths: Vec<_> = before.keys().chain(after.keys()).collect();
    paths.sort_unstable();
    paths.dedup();
    let mut lines = Vec::new();
    for path in paths {
        let (old, new) = (before.get(path), after.get(path));
        if old == new {
            continue;
        }
        let mut line = String::new();
        if let Some(old) = old {
            let _ = write!(line, "- {path} = {old}");
        }
        if let Some(new) = new {
            let separator = if line.is_empty() { "" } else { "\n" };
            let _ = write!(line, "{separator}+ {path} = {new}");
        }
        lines.extend(line.lines().map(str::to_owned));
    }
    lines
}

/// Reads one section of a team's settings: the version, and a table of the values by name.
///
/// # Errors
///
/// Returns the errors of [`SettingsBackend::show`].
pub async fn read_section(
    backend: &dyn SettingsBackend,
    team: &str,
    section: &str,
) -> Result<(LogPosition, Table)> {
    let shown = backend.show(&format!("teams/{team}/{section}")).await?;
    let table = shown.body.as_deref().unwrap_or_default().parse()?;
    Ok((shown.version, table))
}
