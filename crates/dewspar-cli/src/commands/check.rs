/*!
Checking a recorded history.
*/

use {
    super::{print_report, read_file},
    crate::exit::{Code, Error},
    clap::Args,
    dewspar::history,
};

/// Check every promise on a recorded history.
#[derive(Args, Debug)]
pub struct Check {
    /// The history, one event a line; `-` is standard input.
    history: String,
}

impl Check {
    /// Runs the command; the code is 1 when a promise was broken.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] with the first line that isn't an event.
    pub fn run(self) -> Result<Code, Error> {
        let text = read_file(&self.history)?;
        let lines = history::parse(&text).map_err(Error::invalid)?;
        println!("{} events", lines.len());
        Ok(print_report(&history::check(&lines)))
    }
}
