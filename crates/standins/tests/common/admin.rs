//! Client of the operators' interface, for tests and examples.

use bytes::Bytes;
use catalogue::CatalogueEntry;
use catalogue::id::{EntryName, Revision};
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use platform::http::{HttpClient, HttpError, MAX_ANSWER_BYTES, read_body};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Failure of an operators' request
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum AdminError {
    /// the entry has a different revision
    Conflict,
    /// request failed with status {0}: {1}
    Status(StatusCode, SmolStr),
    /// request failed: {0}
    Http(HttpError),
    /// request timed out
    TimedOut,
}

impl std::error::Error for AdminError {}

/// Entry with its revision
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Deserialize)]
pub struct AdminEntry {
    pub entry: CatalogueEntry,
    pub revision: Revision,
}

#[derive(serde::Deserialize)]
struct EntryList {
    entries: Vec<AdminEntry>,
}

#[derive(serde::Deserialize)]
struct RevisionAnswer {
    revision: Revision,
}

/// Client of the operators' port of one instance
#[derive(Debug, Clone)]
pub struct AdminClient {
    client: HttpClient,
    address: SocketAddr,
    token: SmolStr,
}

impl AdminClient {
    /// Client that authenticates with `token`
    pub fn new(address: SocketAddr, token: &str) -> AdminClient {
        AdminClient { client: HttpClient::new(), address, token: token.into() }
    }

    /// Replaces revision `base` of an entry, 0 to create it
    ///
    /// # Errors
    /// `AdminError` if the request fails, `Conflict` if the base revision is outdated.
    pub async fn put(
        &self,
        entry: &CatalogueEntry,
        base: Revision,
    ) -> Result<Revision, AdminError> {
        let path = format!("/admin/catalogue/{}", entry.name);
        let body = serde_json::to_vec(entry)
            .map_err(|it| AdminError::Http(HttpError::MalformedJson(it)))?;
        let answer: RevisionAnswer = self.call(Method::PUT, &path, Some(base), body).await?;
        Ok(answer.revision)
    }

    /// All entries
    ///
    /// # Errors
    /// `AdminError` if the request fails.
    pub async fn list(&self) -> Result<Vec<AdminEntry>, AdminError> {
        let list: EntryList = self.call(Method::GET, "/admin/catalogue", None, Vec::new()).await?;
        Ok(list.entries)
    }

    /// One entry
    ///
    /// # Errors
    /// `AdminError` if the request fails.
    pub async fn get(&self, name: &EntryName) -> Result<AdminEntry, AdminError> {
        self.call(Method::GET, &format!("/admin/catalogue/{name}"), None, Vec::new()).await
    }

    /// Status that the instance reports
    ///
    /// # Errors
    /// `AdminError` if the request fails.
    pub async fn status(&self) -> Result<serde_json::Value, AdminError> {
        self.call(Method::GET, "/admin/status", None, Vec::new()).await
    }

    async fn call<A: serde::de::DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        base: Option<Revision>,
        body: Vec<u8>,
    ) -> Result<A, AdminError> {
        let bearer = format!("Bearer {}", self.token);
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(hyper::header::AUTHORIZATION, bearer);
        if let Some(base) = base {
            builder = builder.header(hyper::header::IF_MATCH, format!("\"{base}\""));
        }
        let request = builder
            .body(Full::new(Bytes::from(body)))
            .map_err(|it| AdminError::Http(HttpError::Request(it)))?;
        match tokio::time::timeout(TIMEOUT, self.exchange(request)).await {
            Ok(answer) => answer,
            Err(_) => Err(AdminError::TimedOut),
        }
    }

    async fn exchange<A: serde::de::DeserializeOwned>(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<A, AdminError> {
        let response = self.client.send(request).await.map_err(AdminError::Http)?;
        let status = response.status();
        let body =
            read_body(response.into_body(), MAX_ANSWER_BYTES).await.map_err(AdminError::Http)?;
        if status == StatusCode::PRECONDITION_FAILED {
            return Err(AdminError::Conflict);
        }
        if !status.is_success() {
            return Err(AdminError::Status(status, String::from_utf8_lossy(&body).into()));
        }
        serde_json::from_slice(&body).map_err(|it| AdminError::Http(HttpError::MalformedJson(it)))
    }
}
