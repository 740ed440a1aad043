//! Tests that the table of result codes for callers matches the code.

use marigoldlock_wire::prelude::*;

const PAGE: &str = include_str!("../../docs/RESULT-CODES.md");

fn row(code: ResultCode) -> String {
    format!(
        "| {} | `{}` | {} | `{}` | {} |",
        code.number(),
        code.name(),
        code.status(),
        code.execution(),
        code.meaning()
    )
}

#[test]
fn every_code_has_its_row() {
    let missing: Vec<String> = ResultCode::ALL
        .iter()
        .map(|code| row(*code))
        .filter(|row| !PAGE.lines().any(|line| line == row))
        .collect();
    assert!(
        missing.is_empty(),
        "missing in docs/RESULT-CODES.md:\n{}",
        missing.join("\n")
    );
}

#[test]
fn every_row_has_its_code() {
    let starts_with_number = |line: &&str| {
        line.strip_prefix("| ")
            .is_some_and(|rest| rest.starts_with(char::is_numeric))
    };
    let rows: Vec<&str> = PAGE.lines().filter(starts_with_number).collect();
    let known: Vec<String> = ResultCode::ALL.iter().map(|code| row(*code)).collect();
    let stale: Vec<&&str> = rows
        .iter()
        .filter(|line| !known.iter().any(|row| row == **line))
        .collect();
    assert!(stale.is_empty(), "without a code:\n{stale:?}");
}

#[test]
fn numbers_are_unique_and_ascend() {
    let numbers: Vec<u16> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]), "{numbers:?}");
}

#[test]
fn from_number_returns_the_code() {
    for code in ResultCode::ALL {
        assert_eq!(ResultCode::from_number(code.number()), Some(*code));
    }
}
