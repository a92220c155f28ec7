//! `ragwortfold explain`: prints the log lines about one request in order of time.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::PathBuf;
use std::sync::Arc;

use ragwortfold::explain::{Error as ReadError, Explanation};

use crate::{print, Error};

/// The arguments of `explain`.
pub(crate) struct Config {
    /// The request's id.
    pub(crate) id: String,
    /// The log files; if empty, standard input is read.
    pub(crate) logs: Vec<PathBuf>,
}

/// Reads the logs and prints the explanation. Fails if no line is about the request.
pub(crate) fn run(config: &Config) -> Result<(), Error> {
    let mut logs: Vec<(Arc<str>, Box<dyn BufRead>)> = Vec::new();
    for path in &config.logs {
        let log_name: Arc<str> = path.to_string_lossy().into();
        let file = File::open(path).map_err(|source| ReadError {
            log_name: log_name.clone(),
            source,
        })?;
        logs.push((log_name, Box::new(BufReader::new(file))));
    }
    if logs.is_empty() {
        logs.push(("standard input".into(), Box::new(io::stdin().lock())));
    }
    let explanation = Explanation::new(&config.id, logs)?;
    if explanation.is_empty() {
        return Err(Error::UnknownRequest(config.id.as_str().into()));
    }
    print(&explanation.to_string())
}
