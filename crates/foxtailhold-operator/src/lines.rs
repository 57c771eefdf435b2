//! Builds the timeline from log files, without a call to an instance.

use std::fs::File;
use std::io::{self, BufReader};
use std::path::{Path, PathBuf};

use foxtailhold_logs::{LogBook, LogLine};
use miette::Diagnostic;
use thiserror::Error;

use crate::options::LogQuery;
use crate::output::json;

/// Result of reading log files.
pub type Result<T> = std::result::Result<T, LinesError>;

/// A log file cannot be read.
#[derive(Debug, Error, Diagnostic)]
#[error("cannot read log lines from {}: {source}", file.display())]
pub struct LinesError {
    /// Path of the file, `-` for standard input.
    file: PathBuf,
    /// Error of the operating system.
    source: io::Error,
}

fn read(book: &mut LogBook, file: &Path) -> io::Result<()> {
    if file == Path::new("-") {
        return book.read(io::stdin().lock());
    }
    book.read(BufReader::new(File::open(file)?))
}

/// Reads the files of the query and returns the matching lines as text or JSON.
pub fn run(query: &LogQuery, as_json: bool) -> Result<String> {
    let mut book = LogBook::default();
    for file in &query.files {
        read(&mut book, file).map_err(|source| LinesError {
            file: file.clone(),
            source,
        })?;
    }
    book.sort();
    match &query.id {
        Some(id) if query.related => book.keep_related(id),
        Some(id) => book.keep_about(id),
        None => {}
    }
    Ok(if as_json { json(&book) } else { text(&book) })
}

fn text(book: &LogBook) -> String {
    let mut text = String::new();
    if book.unreadable > 0 {
        text.push_str(&format!("# {} lines are no log lines\n", book.unreadable));
    }
    if book.dropped > 0 {
        text.push_str(&format!(
            "# {} lines were left out by their processes\n",
            book.dropped
        ));
    }
    for line in &book.lines {
        text.push_str(&line_text(line));
    }
    text
}

fn line_text(line: &LogLine) -> String {
    let mut text = format!(
        "{}.{:03} {} {} {}",
        line.at_ms / 1_000,
        line.at_ms % 1_000,
        line.level,
        line.instance,
        line.message
    );
    for (name, value) in &line.fields {
        text.push_str(&format!(" {name}={value}"));
    }
    text.push('\n');
    text
}
