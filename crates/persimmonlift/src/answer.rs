//! Construction of HTTP responses.

use crate::refusal::{CallerRefusal, RAN_HEADER, RanState};
use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use smol_str::{SmolStr, ToSmolStr};
use std::convert::Infallible;

/// Body of a response, buffered or streamed
pub type AnswerBody = UnsyncBoxBody<Bytes, Infallible>;

pub type AnswerResponse = Response<AnswerBody>;

/// JSON body of a refusal
#[derive(Debug, Clone)]
#[derive(serde::Serialize)]
pub struct RefusalBody {
    error: RefusalFields,
}

#[derive(Debug, Clone)]
#[derive(serde::Serialize)]
struct RefusalFields {
    #[serde(rename = "type")]
    kind: &'static str,
    code: &'static str,
    message: SmolStr,
    ran: RanState,
}

impl From<&CallerRefusal> for RefusalBody {
    fn from(refusal: &CallerRefusal) -> RefusalBody {
        let error = RefusalFields {
            kind: refusal.cause.type_name(),
            code: refusal.cause.code(),
            message: refusal.cause.to_smolstr(),
            ran: refusal.ran,
        };
        RefusalBody { error }
    }
}

/// Buffered body
pub fn whole_body(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into()).boxed_unsync()
}

/// JSON response; the body is `null` if the value can't be serialized
pub fn json_answer(status: StatusCode, body: &impl serde::Serialize) -> AnswerResponse {
    let bytes = serde_json::to_vec(body).unwrap_or_else(|_| b"null".to_vec());
    let mut response = Response::new(whole_body(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Response for a refusal
pub fn refusal_answer(refusal: &CallerRefusal) -> AnswerResponse {
    let mut response = json_answer(refusal.cause.status(), &RefusalBody::from(refusal));
    set_ran(&mut response, refusal.ran);
    if let Some(time) = refusal.retry_after {
        let seconds = time.as_millis().div_ceil(1_000).max(1) as u64;
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Sets the header that states whether the request has run
pub fn set_ran(response: &mut AnswerResponse, ran: RanState) {
    response.headers_mut().insert(RAN_HEADER, HeaderValue::from_static(ran.name()));
}
