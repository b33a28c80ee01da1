//! Parsing of the bodies of completion calls.

use crate::refusal::{CallerRefusal, FieldProblem, RefusalCause};
use catalogue::id::{EntryName, TokenCount};
use smol_str::{SmolStr, ToSmolStr};
use std::fmt::Write;

/// API form of a completion call and its answer
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CompletionForm {
    /// `/v1/completions`: a prompt
    Text,
    /// `/v1/chat/completions`: a list of messages
    Chat,
}

impl CompletionForm {
    /// `object` of a complete answer
    pub fn whole_object(self) -> &'static str {
        match self {
            CompletionForm::Text => "text_completion",
            CompletionForm::Chat => "chat.completion",
        }
    }

    /// `object` of a chunk of a streamed answer
    pub fn chunk_object(self) -> &'static str {
        match self {
            CompletionForm::Text => "text_completion",
            CompletionForm::Chat => "chat.completion.chunk",
        }
    }
}

/// Parsed completion call
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletionRequest {
    /// Name of the entry
    pub model: EntryName,
    pub prompt: String,
    /// Number of tokens to generate; `None` for the default
    pub max_tokens: Option<TokenCount>,
    /// Whether the answer is streamed
    pub stream: bool,
    /// Time for the complete answer, in milliseconds; `None` for the entry's limit
    pub deadline_ms: Option<u64>,
}

#[derive(Debug)]
#[derive(serde::Deserialize)]
struct CallFields {
    model: SmolStr,
    prompt: Option<String>,
    messages: Option<Vec<ChatMessage>>,
    #[serde(alias = "max_completion_tokens")]
    max_tokens: Option<TokenCount>,
    #[serde(default)]
    stream: bool,
    deadline_ms: Option<u64>,
}

#[derive(Debug)]
#[derive(serde::Deserialize)]
struct ChatMessage {
    role: SmolStr,
    content: String,
}

/// Parses the body of a call; unknown fields are ignored
///
/// # Errors
/// `Json` or `Field`.
pub fn parse_request(
    form: CompletionForm,
    body: &[u8],
) -> Result<CompletionRequest, CallerRefusal> {
    let fields: CallFields = serde_json::from_slice(body)
        .map_err(|it| CallerRefusal::not_run(RefusalCause::Json(it.to_smolstr())))?;
    let prompt = match form {
        CompletionForm::Text => required("prompt", fields.prompt)?,
        CompletionForm::Chat => render(&required("messages", fields.messages)?),
    };
    if prompt.is_empty() {
        let field = if form == CompletionForm::Text { "prompt" } else { "messages" };
        return Err(CallerRefusal::field(field, FieldProblem::Empty));
    }
    check_above_zero("max_tokens", fields.max_tokens.map(u64::from))?;
    check_above_zero("deadline_ms", fields.deadline_ms)?;
    Ok(CompletionRequest {
        model: fields.model,
        prompt,
        max_tokens: fields.max_tokens,
        stream: fields.stream,
        deadline_ms: fields.deadline_ms,
    })
}

fn required<T>(field: &'static str, value: Option<T>) -> Result<T, CallerRefusal> {
    value.ok_or_else(|| CallerRefusal::field(field, FieldProblem::Missing))
}

fn check_above_zero(field: &'static str, value: Option<u64>) -> Result<(), CallerRefusal> {
    if value == Some(0) {
        return Err(CallerRefusal::field(field, FieldProblem::Zero));
    }
    Ok(())
}

/// Concatenates messages to a prompt, one line per message
fn render(messages: &[ChatMessage]) -> String {
    let mut prompt = String::new();
    for message in messages {
        // Writing to a string can't fail.
        let _ = writeln!(prompt, "{}: {}", message.role, message.content);
    }
    prompt
}
