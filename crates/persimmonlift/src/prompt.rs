//! Bodies of completion calls.

use crate::refusal::{CallerRefusal, FieldProblem, RefusalCause};
use catalogue::id::{EntryName, TokenCount};
use smol_str::{SmolStr, ToSmolStr};
use std::fmt::Write;

/// Shape of a completion call and its answer
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CompletionForm {
    /// One prompt, one text
    Text,
    /// Messages
    Chat,
}

impl CompletionForm {
    /// Name of a whole answer
    pub fn whole_object(self) -> &'static str {
        match self {
            CompletionForm::Text => "text_completion",
            CompletionForm::Chat => "chat.completion",
        }
    }

    /// Name of a piece of a streamed answer
    pub fn chunk_object(self) -> &'static str {
        match self {
            CompletionForm::Text => "text_completion",
            CompletionForm::Chat => "chat.completion.chunk",
        }
    }
}

/// Completion that a caller asks for
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletionRequest {
    /// Entry
    pub model: EntryName,
    /// Prompt
    pub prompt: String,
    /// Tokens to generate
    pub max_tokens: Option<TokenCount>,
    /// Whether the answer is streamed
    pub stream: bool,
    /// Time for the whole answer, in milliseconds
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

/// Reads the body of a call; fields that it doesn't know are ignored
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

/// Prompt made of messages
fn render(messages: &[ChatMessage]) -> String {
    let mut prompt = String::new();
    for message in messages {
        // Writing to a string can't fail.
        let _ = writeln!(prompt, "{}: {}", message.role, message.content);
    }
    prompt
}
