//! `explain`: reports the outcome of one request from the logs of all instances.

use crate::error::CommandError;
use crate::explain::ReportBuilder;
use crate::options::ExplainOptions;
use crate::output::CommandReport;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::Path;

pub(crate) fn explain(options: &ExplainOptions) -> Result<CommandReport, CommandError> {
    let mut builder = ReportBuilder::new(&options.request);
    if options.logs.is_empty() {
        read_lines(&mut builder, io::stdin().lock(), Path::new("standard input"))?;
    }
    for path in &options.logs {
        let file = File::open(path).map_err(|error| unreadable(path, &error))?;
        read_lines(&mut builder, BufReader::new(file), path)?;
    }
    let report = builder.finish().map_err(CommandError::Explain)?;
    Ok(CommandReport::done(&report))
}

fn read_lines(
    builder: &mut ReportBuilder,
    input: impl BufRead,
    path: &Path,
) -> Result<(), CommandError> {
    let file = path.file_stem().map(|name| name.to_string_lossy()).unwrap_or_default();
    for line in input.split(b'\n') {
        let line = line.map_err(|error| unreadable(path, &error))?;
        // A line truncated by a crash may end within a UTF-8 character.
        builder.add_line(&String::from_utf8_lossy(&line), &file);
    }
    Ok(())
}

fn unreadable(path: &Path, error: &io::Error) -> CommandError {
    CommandError::Unreadable { path: path.display().to_string(), reason: error.to_string() }
}
