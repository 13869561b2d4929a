//! HTTP client for the daemons.

use crate::CliError;
use http::Method;
use ospreywing_http::{Answer, Call, HttpClient, HttpError};
use ospreywing_types::api::{Refusal, OUTCOME};
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Timeout of one call to a daemon.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// The daemons to call. Any of them can handle a request.
#[derive(Clone, Debug)]
pub struct Daemons {
    addrs: Vec<String>,
    http: HttpClient,
}

impl Daemons {
    /// Creates a client for the daemons at `addrs` (`IP:port`).
    pub fn new(addrs: Vec<String>) -> Self {
        Self {
            addrs,
            http: HttpClient::new(1),
        }
    }

    /// Calls the first daemon that can be reached.
    ///
    /// `prepare` adds the headers and the body. A call that may have been received is not
    /// retried at another daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if no daemon sent a complete response.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        prepare: impl Fn(Call) -> Result<Call, HttpError>,
    ) -> Result<Answer, CliError> {
        let mut last = HttpError::Invalid("no daemon address given".to_owned());
        for addr in &self.addrs {
            let call = Call::new(method.clone(), addr, path, CALL_TIMEOUT);
            let call = prepare(call).map_err(|error| CliError::Usage(error.to_string()))?;
            match self.http.call(call).await {
                Ok(answer) => return Ok(answer),
                Err(error) if error.is_not_sent() => last = error,
                Err(error) => return Err(CliError::ResponseLost(error)),
            }
        }
        Err(CliError::Unreachable(last))
    }

    /// Reads JSON from the first daemon that can be reached.
    ///
    /// # Errors
    ///
    /// Returns an error if no daemon sent a complete response, or if the response is a
    /// failure or not valid JSON.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        let answer = self.call(Method::GET, path, Ok).await?;
        parse_answer(&answer)
    }

    /// Reads JSON from every daemon. Daemons that fail to answer are skipped.
    pub async fn get_all<T: DeserializeOwned>(&self, path: &str) -> Vec<T> {
        let mut found = Vec::new();
        for addr in &self.addrs {
            let call = Call::new(Method::GET, addr, path, CALL_TIMEOUT);
            let answer = self.http.call(call).await;
            found.extend(answer.ok().and_then(|answer| answer.json().ok()));
        }
        found
    }
}

/// Parses the JSON body of a successful response.
///
/// # Errors
///
/// Returns the reason in the response if its status is not a success, or
/// [`CliError::ResponseLost`] if the body can't be parsed.
pub fn parse_answer<T: DeserializeOwned>(answer: &Answer) -> Result<T, CliError> {
    if !answer.status.is_success() {
        return Err(refusal_error(answer));
    }
    answer.json().map_err(CliError::ResponseLost)
}

/// Converts an unsuccessful response into an error.
pub fn refusal_error(answer: &Answer) -> CliError {
    let refusal: Result<Refusal, HttpError> = answer.json();
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let (reason, retry_after_ms) = match refusal {
        Ok(refusal) => (refusal.reason, refusal.retry_after_ms),
        Err(_) => (text, None),
    };
    if answer.header(OUTCOME) == Some("unknown") {
        return CliError::Unknown(reason);
    }
    CliError::Refused {
        status: answer.status.as_u16(),
        reason,
        retry_after_ms,
    }
}
