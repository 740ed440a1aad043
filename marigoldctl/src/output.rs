//! Output as text or JSON.

use std::fmt::Display;

use clap::Args;
use eyre::Result;
use serde::Serialize;

/// Output format of a command.
#[derive(Args, Clone, Copy, Debug, Default)]
pub struct Output {
    /// Print JSON, one object per line.
    #[arg(long)]
    pub json: bool,
}

impl Output {
    /// Prints a result as text, or as JSON with `--json`.
    ///
    /// # Errors
    ///
    /// Returns an error if the result can't be serialized.
    pub fn print<T: Display + Serialize>(&self, result: &T) -> Result<()> {
        if self.json {
            return self.print_json(result);
        }
        println!("{result}");
        Ok(())
    }

    /// Prints a result as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the result can't be serialized.
    pub fn print_json<T: Serialize>(&self, result: &T) -> Result<()> {
        println!("{}", serde_json::to_string(result)?);
        Ok(())
    }
}
