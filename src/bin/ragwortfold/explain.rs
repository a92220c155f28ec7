//! `ragwortfold explain`: one request's story, from logs.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::PathBuf;
use std::sync::Arc;

use ragwortfold::explain::{Error as Unreadable, Explanation};

use crate::{print, Error};

/// The arguments of `explain`.
pub(crate) struct Config {
    /// The request.
    pub(crate) id: String,
    /// The logs; standard input, if there are none.
    pub(crate) logs: Vec<PathBuf>,
}

/// Reads the logs and tells the story.
pub(crate) fn run(config: &Config) -> Result<(), Error> {
    let mut logs: Vec<(Arc<str>, Box<dyn BufRead>)> = Vec::new();
    for path in &config.logs {
        let place: Arc<str> = path.to_string_lossy().into();
        let file = File::open(path).map_err(|source| Unreadable {
            log_name: place.clone(),
            source,
        })?;
        logs.push((place, Box::new(BufReader::new(file))));
    }
    if logs.is_empty() {
        logs.push(("standard input".into(), Box::new(io::stdin().lock())));
    }
    let story = Explanation::new(&config.id, logs)?;
    if story.is_empty() {
        return Err(Error::Untold(config.id.as_str().into()));
    }
    print(&story.to_string())
}
