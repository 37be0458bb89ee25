use std::io::Read as _;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use rattanwinch_trace::LogFile;
use rattanwinch_trace::Trace;
use rattanwinch_types::Verdict;

use crate::CommandError;
use crate::Result;

/// The file name for standard input.
const STANDARD_INPUT: &str = "-";

pub(super) fn trace(id: &str, paths: &[PathBuf], out: &mut dyn Write) -> Result<()> {
    let mut files = Vec::new();
    for path in paths {
        let text = read_log_file(path)?;
        files.extend(LogFile::parse(&path.display().to_string(), &text));
    }
    let events: usize = files.iter().map(|file| file.lines.len()).sum();
    let Some(trace) = Trace::for_job(id, files) else {
        let message = format!("none of the {events} events mentions job {id}");
        return Err(CommandError::failed(Verdict::NotRun, "not_found", message));
    };
    writeln!(out, "{trace}")?;
    Ok(())
}

fn read_log_file(path: &Path) -> Result<String> {
    let mut bytes = Vec::new();
    let result = if path.as_os_str() == STANDARD_INPUT {
        std::io::stdin().read_to_end(&mut bytes).map(drop)
    } else {
        std::fs::read(path).map(|contents| bytes = contents)
    };
    result.map_err(|error| CommandError::Usage(format!("{}: {error}", path.display())))?;
    // A log can be truncated in the middle of a character.
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
