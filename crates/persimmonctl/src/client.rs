//! Client of the operators' port of an instance.

use crate::config::ClientConfig;
use crate::error::{AdminRefusal, CliError, CliResult};
use bytes::Bytes;
use catalogue::id::Revision;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HeaderName, IF_MATCH, IF_NONE_MATCH};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use platform::http::{HttpClient, HttpError, MAX_ANSWER_BYTES, read_body};

const EDITOR_HEADER: HeaderName = HeaderName::from_static("persimmon-editor");

/// Expected state of the entry that an edit replaces
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EditBase {
    /// The entry must not exist
    Absent,
    /// The entry must be at this revision
    Revision(Revision),
}

/// Body of the answer to an accepted edit
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EditAnswer {
    /// Revision created by the edit
    pub revision: Revision,
}

/// Client of one instance
#[derive(Debug, Clone)]
pub struct AdminClient {
    config: ClientConfig,
    client: HttpClient,
}

#[derive(Debug, serde::Deserialize)]
struct RefusalBody {
    error: AdminRefusal,
}

impl AdminClient {
    /// Creates a client of the configured instance
    pub fn new(config: ClientConfig) -> AdminClient {
        AdminClient { config, client: HttpClient::new() }
    }

    /// Reads a path
    ///
    /// # Errors
    /// `Unreachable`, `NoAnswer`, `ConnectionLost`, `Refused`, `InvalidAnswer`.
    pub async fn get(&self, path: &str) -> CliResult<Bytes> {
        self.send(self.request(Method::GET, path), Bytes::new()).await
    }

    /// Posts a JSON body
    ///
    /// # Errors
    /// As `get`.
    pub async fn post(&self, path: &str, body: Bytes) -> CliResult<Bytes> {
        self.send(self.request(Method::POST, path), body).await
    }

    /// Sends an edit of an entry
    ///
    /// # Errors
    /// As `get`; `Refused` with 412 if the entry is not at `base`.
    pub async fn edit(
        &self,
        method: Method,
        name: &str,
        base: EditBase,
        body: Bytes,
    ) -> CliResult<EditAnswer> {
        let request = self.request(method, &format!("/admin/catalogue/{name}"));
        let request = match base {
            EditBase::Absent => request.header(IF_NONE_MATCH, "*"),
            EditBase::Revision(revision) => request.header(IF_MATCH, format!("\"{revision}\"")),
        };
        parse(&self.send(request, body).await?)
    }

    fn request(&self, method: Method, path: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.config.address))
            .header(AUTHORIZATION, format!("Bearer {}", self.config.token))
            .header(EDITOR_HEADER, self.config.editor.as_str())
    }

    async fn send(&self, request: http::request::Builder, body: Bytes) -> CliResult<Bytes> {
        let request = request.header(CONTENT_TYPE, "application/json").body(Full::new(body));
        let request = request.map_err(HttpError::Request);
        let exchange = async { self.exchange(request?).await };
        let answer = tokio::time::timeout(self.config.timeout, exchange).await;
        let ClientConfig { address, timeout, .. } = self.config;
        let (status, body) = match answer {
            Ok(answer) => answer.map_err(|error| match error {
                error if error.is_unsent() => CliError::Unreachable(address, error),
                error => CliError::ConnectionLost(address, error),
            })?,
            Err(_) => return Err(CliError::NoAnswer(address, timeout)),
        };
        if status.is_success() { Ok(body) } else { Err(refusal(status, &body)) }
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), HttpError> {
        let response = self.client.send(request).await?;
        let status = response.status();
        Ok((status, read_body(response.into_body(), MAX_ANSWER_BYTES).await?))
    }
}

/// Parses a JSON answer.
///
/// # Errors
/// `InvalidAnswer`.
pub fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> CliResult<T> {
    serde_json::from_slice(body).map_err(CliError::InvalidAnswer)
}

fn refusal(status: StatusCode, body: &[u8]) -> CliError {
    match serde_json::from_slice::<RefusalBody>(body) {
        Ok(body) => CliError::Refused(AdminRefusal { status: status.as_u16(), ..body.error }),
        Err(error) => CliError::InvalidAnswer(error),
    }
}
