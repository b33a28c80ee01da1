//! Streamed answers as server-sent events.
//!
//! Each token is a separate event; tokens received together are sent in one write.
//! The last event before `[DONE]` carries the finish reason and the usage. An answer
//! that can't be completed ends with an event that has an `error` and without `[DONE]`.

use crate::answer::{AnswerBody, AnswerResponse, RefusalBody, set_ran};

use crate::generation::AnswerStream;
use crate::prompt::CompletionForm;
use crate::refusal::{CallerRefusal, RanState, RefusalCause};
use crate::status::CallPermits;
use crate::usage::CompletionUsage;
use bytes::{BufMut, Bytes, BytesMut};
use futures_util::stream::unfold;
use http::Response;
use http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use smol_str::SmolStr;
use std::convert::Infallible;

const DONE: &[u8] = b"data: [DONE]\n\n";
const EVENT_START: &[u8] = b"data: ";
const EVENT_END: &[u8] = b"\n\n";

/// Response that streams an answer
pub fn stream_answer(
    form: CompletionForm,
    answer: AnswerStream,
    permits: CallPermits,
) -> AnswerResponse {
    let events = EventStream {
        template: EventTemplate::new(form, &answer),
        form,
        answer,
        texts: Vec::new(),
        is_done: false,
        _permits: permits,
    };
    let stream = unfold(events, |mut events| async move {
        let bytes = events.next().await?;
        Some((Ok::<_, Infallible>(Frame::data(bytes)), events))
    });
    let body: AnswerBody = StreamBody::new(stream).boxed_unsync();
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    set_ran(&mut response, RanState::Yes);
    response
}

struct EventStream {
    template: EventTemplate,
    form: CompletionForm,
    answer: AnswerStream,
    texts: Vec<String>,
    is_done: bool,
    _permits: CallPermits,
}

impl EventStream {
    async fn next(&mut self) -> Option<Bytes> {
        if self.is_done {
            return None;
        }
        let mut events = BytesMut::new();
        self.texts.clear();
        let context = self.answer.context().clone();
        let read = tokio::select! {
            biased;
            read = self.answer.next_texts(&mut self.texts) => read,
            () = context.status.final_answers.begun() => {
                Err(CallerRefusal::unknown(RefusalCause::Stopped))
            }
        };
        if let Err(refusal) = read {
            self.is_done = true;
            self.push_error(&mut events, &refusal);
            return Some(events.freeze());
        }
        for text in &self.texts {
            self.template.push(&mut events, text);
        }
        if self.answer.is_ended() {
            self.is_done = true;
            self.push_end(&mut events);
        }
        Some(events.freeze())
    }

    fn push_end(&self, events: &mut BytesMut) {
        let chunk = LastChunk {
            id: self.answer.job().request.clone(),
            object: self.form.chunk_object(),
            model: self.answer.job().entry.name.clone(),
            choices: [LastChoice::new(self.form)],
            usage: CompletionUsage::of(&self.answer),
        };
        push_event(events, &chunk);
        events.put_slice(DONE);
    }

    fn push_error(&self, events: &mut BytesMut, refusal: &CallerRefusal) {
        log::info!(
            "event=cut request={} code={} tokens={}",
            self.answer.job().request,
            refusal.cause.code(),
            self.answer.tokens()
        );
        push_event(events, &RefusalBody::from(refusal));
    }
}

fn push_event(events: &mut BytesMut, body: &impl serde::Serialize) {
    events.put_slice(EVENT_START);
    // Writing to a buffer can't fail, and the bodies have a JSON form.
    let _ = serde_json::to_writer(events.writer(), body);
    events.put_slice(EVENT_END);
}

/// Constant bytes before and after the text of each token
struct EventTemplate {
    before: Bytes,
    after: &'static [u8],
}

impl EventTemplate {
    fn new(form: CompletionForm, answer: &AnswerStream) -> EventTemplate {
        let head = ChunkHead {
            id: &answer.job().request,
            object: form.chunk_object(),
            model: &answer.job().entry.name,
        };
        let mut before = BytesMut::from(EVENT_START);
        let _ = serde_json::to_writer((&mut before).writer(), &head);
        before.truncate(before.len() - 1);
        let (opening, after): (&[u8], &'static [u8]) = match form {
            CompletionForm::Text => {
                (br#","choices":[{"index":0,"text":"#, b",\"finish_reason\":null}]}\n\n")
            }
            CompletionForm::Chat => (
                br#","choices":[{"index":0,"delta":{"content":"#,
                b"},\"finish_reason\":null}]}\n\n",
            ),
        };
        before.put_slice(opening);
        EventTemplate { before: before.freeze(), after }
    }

    fn push(&self, events: &mut BytesMut, text: &str) {
        events.put_slice(&self.before);
        let _ = serde_json::to_writer(events.writer(), text);
        events.put_slice(self.after);
    }
}

#[derive(serde::Serialize)]
struct ChunkHead<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
}

#[derive(serde::Serialize)]
struct LastChunk {
    id: SmolStr,
    object: &'static str,
    model: SmolStr,
    choices: [LastChoice; 1],
    usage: CompletionUsage,
}

#[derive(serde::Serialize)]
struct LastChoice {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<EmptyDelta>,
    finish_reason: &'static str,
}

#[derive(serde::Serialize)]
struct EmptyDelta {}

impl LastChoice {
    fn new(form: CompletionForm) -> LastChoice {
        let (text, delta) = match form {
            CompletionForm::Text => (Some(""), None),
            CompletionForm::Chat => (None, Some(EmptyDelta {})),
        };
        LastChoice { index: 0, text, delta, finish_reason: "length" }
    }
}
