//! Fetches JSON from a host or the platform over HTTP.

use std::time::Duration;

use serde_json::Value;

/// Timeout of a request, from connecting to the end of the body.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);

/// A failed request.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The request failed without a complete response.
    #[error("{url}: {source}")]
    Transport {
        /// The requested URL.
        url: String,
        /// The HTTP client's error.
        source: Box<ureq::Error>,
    },
    /// The status code is not 2xx.
    #[error("{url}: status {status}: {text}")]
    Status {
        /// The requested URL.
        url: String,
        /// The status code.
        status: u16,
        /// The response body.
        text: String,
    },
    /// The response body is not JSON.
    #[error("{url}: not JSON: {source}")]
    InvalidJson {
        /// The requested URL.
        url: String,
        /// The parser's error.
        source: serde_json::Error,
    },
}

/// Returns a base URL without trailing slashes and with `http://` in front if it has no scheme.
pub(crate) fn with_scheme(url: &str) -> String {
    let url = url.trim_end_matches('/');
    if url.contains("://") {
        url.into()
    } else {
        format!("http://{url}")
    }
}

/// Gets `path` under `base` as JSON. The base may lack the `http://`.
pub(crate) fn get(base: &str, path: &str, query: &[(&str, &str)]) -> Result<Value, Error> {
    get_with_timeout(base, path, query, DEFAULT_TIMEOUT)
}

/// Like [`get`], with the given timeout.
pub(crate) fn get_with_timeout(
    base: &str,
    path: &str,
    query: &[(&str, &str)],
    timeout: Duration,
) -> Result<Value, Error> {
    let url = format!("{}{path}", self::with_scheme(base));
    let (status, text) = send_get(&url, query, timeout).map_err(|source| Error::Transport {
        url: url.clone(),
        source: Box::new(source),
    })?;
    if !(200..300).contains(&status) {
        let text = text.trim().into();
        return Err(Error::Status { url, status, text });
    }
    serde_json::from_str(&text).map_err(|source| Error::InvalidJson { url, source })
}

/// Sends the request. Returns the status code and the body.
fn send_get(
    url: &str,
    query: &[(&str, &str)],
    timeout: Duration,
) -> Result<(u16, String), ureq::Error> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .build()
        .into();
    let mut response = agent.get(url).query_pairs(query.iter().copied()).call()?;
    let text = response.body_mut().read_to_string()?;
    Ok((response.status().as_u16(), text))
}
