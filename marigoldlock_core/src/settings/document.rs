//! TOML bodies of changes: parsing, editing the settings tree and locating errors by line.

use serde::de::DeserializeOwned;
use toml::de::{DeTable, DeValue};
use toml::{Table, Value};

use crate::settings::{SettingsPath, SettingsRejection};

/// Key that holds the value in a body that sets a scalar.
const SCALAR_KEY: &str = "value";

/// Parses a change's body into the value to store at the path.
pub(super) fn parse_body(path: &SettingsPath, body: &str) -> Result<Value, SettingsRejection> {
    let mut table: Table = toml::from_str(body).map_err(|error| SettingsRejection {
        line: error.span().map(|span| line_at(body, span.start)),
        ..SettingsRejection::invalid(path.to_string(), error.message())
    })?;
    if path.allows_scalar()
        && table.len() == 1
        && let Some(value) = table.remove(SCALAR_KEY)
    {
        return Ok(value);
    }
    Ok(Value::Table(table))
}

/// Returns a copy of a tree with the value at a path replaced or removed.
///
/// Missing parent tables are created for a new value. Removing a value that does not exist is an error.
pub(super) fn edit_tree(
    path: &SettingsPath,
    root: &Table,
    value: Option<Value>,
) -> Result<Table, SettingsRejection> {
    let mut edited = root.clone();
    match path.below_root().split_last() {
        None => match value {
            Some(Value::Table(table)) => Ok(table),
            Some(_) => Err(SettingsRejection::invalid(path.to_string(), "must be a table")),
            None => Ok(Table::new()),
        },
        Some((last, parents)) => {
            let create = value.is_some();
            let parent = parent_table(path, &mut edited, parents, create)?;
            match value {
                Some(value) => {
                    parent.insert(last.clone(), value);
                }
                None => {
                    let missing = || SettingsRejection::invalid(path.to_string(), "nothing to remove");
                    parent.remove(last).ok_or_else(missing)?;
                }
            }
            Ok(edited)
        }
    }
}

/// Returns the table that holds the path's last segment, creating missing tables if `create` is set.
fn parent_table<'a>(
    path: &SettingsPath,
    root: &'a mut Table,
    parents: &[String],
    create: bool,
) -> Result<&'a mut Table, SettingsRejection> {
    let mut table = root;
    for segment in parents {
        if create && !table.contains_key(segment) {
            table.insert(segment.clone(), Value::Table(Table::new()));
        }
        table = match table.get_mut(segment) {
            Some(Value::Table(child)) => child,
            Some(_) => {
                let reason = format!("`{segment}` is not a table");
                return Err(SettingsRejection::invalid(path.to_string(), reason));
            }
            None => return Err(SettingsRejection::invalid(path.to_string(), "nothing to remove")),
        };
    }
    Ok(table)
}

/// Deserializes the value at a path; the rejection names the faulty field.
pub(super) fn deserialize_value<T: DeserializeOwned>(
    path: &str,
    value: &Value,
) -> Result<T, SettingsRejection> {
    let error = match value.clone().try_into() {
        Ok(typed) => return Ok(typed),
        Err(error) => error,
    };
    // Every field has a default, so deserializing each key on its own finds the faulty one.
    let fields = value.as_table().into_iter().flatten();
    for (key, field) in fields {
        let single = Table::from_iter([(key.clone(), field.clone())]);
        if let Err(error) = Value::Table(single).try_into::<T>() {
            return Err(SettingsRejection::invalid(
                format!("{path}/{key}"),
                error.message(),
            ));
        }
    }
    Err(SettingsRejection::invalid(path, error.message()))
}

/// Fills in the line of the rejected path in the change's body, if it is not known yet.
pub(super) fn with_line(
    mut rejection: SettingsRejection,
    change_path: &SettingsPath,
    body: Option<&str>,
) -> SettingsRejection {
    if rejection.line.is_none() {
        rejection.line = body.and_then(|body| find_line(&rejection.path, change_path, body));
    }
    rejection
}

fn find_line(faulty: &str, change_path: &SettingsPath, body: &str) -> Option<usize> {
    let rest = faulty.strip_prefix(&change_path.to_string())?;
    let document = DeTable::parse(body).ok()?;
    let mut table = document.get_ref();
    let mut start = None;
    if change_path.allows_scalar() {
        start = table.get_key_value(SCALAR_KEY).map(|(key, _)| key.span().start);
    }
    for segment in rest.split('/').filter(|segment| !segment.is_empty()) {
        let Some((key, value)) = table.get_key_value(segment) else {
            break;
        };
        start = Some(key.span().start);
        match value.get_ref() {
            DeValue::Table(child) => table = child,
            _ => break,
        }
    }
    start.map(|offset| line_at(body, offset))
}

fn line_at(body: &str, offset: usize) -> usize {
    let end = offset.min(body.len());
    body.as_bytes()[..end]
        .iter()
        .filter(|byte| **byte == b'\n')
        .count()
        + 1
}
