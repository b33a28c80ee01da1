//! Output of a day as JSON lines.

use crate::caller::CallEnd;
use crate::day::DayRecord;
use crate::figures::DayFigures;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;

#[derive(serde::Serialize)]
struct CallLine<'a> {
    serial: usize,
    at_ms: u64,
    kind: &'a str,
    instance: usize,
    prompt_tokens: u32,
    output_tokens: u32,
    allowed_ms: u64,
    end: CallEnd,
    status: Option<u16>,
    first_token_ms: Option<u64>,
    total_ms: u64,
}

/// Writes one line per call, one per role sample, and one with the figures
///
/// # Errors
/// Any error of writing.
pub fn write_lines(path: &Path, record: &DayRecord, figures: &DayFigures) -> io::Result<()> {
    let mut file = BufWriter::new(File::create(path)?);
    for result in &record.results {
        let call = &result.call;
        let line = CallLine {
            serial: call.serial,
            at_ms: call.at.as_millis() as u64,
            kind: call.kind.name(),
            instance: call.instance,
            prompt_tokens: call.prompt_tokens,
            output_tokens: call.output_tokens,
            allowed_ms: call.time_allowed.as_millis() as u64,
            end: result.end,
            status: result.status,
            first_token_ms: result.first_token.map(|it| it.as_millis() as u64),
            total_ms: result.total.as_millis() as u64,
        };
        writeln!(file, "{}", serde_json::to_string(&line)?)?;
    }
    for sample in &record.roles {
        writeln!(file, "{}", serde_json::to_string(sample)?)?;
    }
    writeln!(file, "{}", serde_json::to_string(figures)?)?;
    file.flush()
}
