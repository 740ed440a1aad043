//! Output for people and for programs.

use std::fmt::Display;

use clap::Args;
use eyre::Result;
use serde::Serialize;

/// How results are printed.
#[derive(Args, Clone, Copy, Debug, Default)]
pub struct Output {
    /// Print JSON, one object a line.
    #[arg(long)]
    pub json: bool,
}

impl Output {
    /// Prints a result as text or JSON.
    ///
    /// # Errors
    ///
    /// Fails if the result can't be written as JSON.
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
    /// Fails if the result can't be written as JSON.
    pub fn print_json<T: Serialize>(&self, result: &T) -> Result<()> {
        println!("{}", serde_json::to_string(result)?);
        Ok(())
    }
}
