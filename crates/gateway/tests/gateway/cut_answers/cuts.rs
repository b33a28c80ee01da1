//! Answers in every framing, and the points and ways at which they break off.

use crate::endpoint::Step;

/// How the length of a body is stated
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    Length,
    Chunked,
    ChunkedWithTrailers,
    /// By the end of the connection
    Connection,
    /// The same in HTTP/1.0
    ConnectionHttp10,
    LengthHttp10,
    /// With a length, after an interim answer 100 or 103
    LengthAfterContinue,
    LengthAfterHints,
}

const FRAMINGS: [Framing; 8] = [
    Framing::Length,
    Framing::Chunked,
    Framing::ChunkedWithTrailers,
    Framing::Connection,
    Framing::ConnectionHttp10,
    Framing::LengthHttp10,
    Framing::LengthAfterContinue,
    Framing::LengthAfterHints,
];

/// What follows the last byte
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutEnd {
    Close,
    Reset,
    /// Only the endpoint's side is closed
    HalfClose,
    Silence,
}

const ENDS: [CutEnd; 4] = [CutEnd::Close, CutEnd::Reset, CutEnd::HalfClose, CutEnd::Silence];
/// Distance of the points inside of lines at which an answer ends otherwise than by a close.
const RESET_DISTANCE: usize = 2;
const SILENCE_DISTANCE: usize = 8;

impl Framing {
    /// Bytes of an answer with these header lines, each of which ends with CRLF, and the parts of its body
    pub fn answer(self, headers: &str, parts: &[String]) -> Vec<u8> {
        let body = parts.concat();
        let length = body.len();
        let chunks = parts.iter().map(|it| format!("{:x}\r\n{it}\r\n", it.len()));
        let chunks = chunks.collect::<String>();
        let with_length = format!("{headers}Content-Length: {length}\r\n\r\n{body}");
        match self {
            Framing::Length => format!("HTTP/1.1 200 OK\r\n{with_length}"),
            Framing::Chunked => {
                format!("HTTP/1.1 200 OK\r\n{headers}Transfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n")
            }
            Framing::ChunkedWithTrailers => format!(
                "HTTP/1.1 200 OK\r\n{headers}Trailer: X-Check\r\nTransfer-Encoding: chunked\r\n\r\n\
                 {chunks}0\r\nX-Check: right\r\n\r\n"
            ),
            Framing::Connection => format!("HTTP/1.1 200 OK\r\n{headers}\r\n{body}"),
            Framing::ConnectionHttp10 => format!("HTTP/1.0 200 OK\r\n{headers}\r\n{body}"),
            Framing::LengthHttp10 => format!("HTTP/1.0 200 OK\r\n{with_length}"),
            Framing::LengthAfterContinue => {
                format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n{with_length}")
            }
            Framing::LengthAfterHints => format!(
                "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\n{with_length}"
            ),
        }
        .into_bytes()
    }

    /// Whether only the end of the connection marks the end of the body
    fn ends_with_connection(self) -> bool {
        matches!(self, Framing::Connection | Framing::ConnectionHttp10)
    }
}

/// Point and way at which an answer breaks off
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerCut {
    pub framing: Framing,
    pub end: CutEnd,
    /// Number of bytes that are written
    pub length: usize,
}

impl AnswerCut {
    /// All cuts of the answers that a function returns for a framing and an id
    pub fn all(answer: impl Fn(Framing, &str) -> Vec<u8>) -> Vec<AnswerCut> {
        let mut cuts = Vec::new();
        for framing in FRAMINGS {
            // All ids have one length.
            let id = AnswerCut { framing, end: CutEnd::Close, length: 0 }.id();
            let bytes = answer(framing, &id);
            for end in ENDS {
                let lengths = (0..=bytes.len()).filter(|it| is_played(&bytes, *it, end));
                let cuts_of_end = lengths.map(|length| AnswerCut { framing, end, length });
                cuts.extend(cuts_of_end.filter(|it| !it.is_whole(&bytes)));
            }
        }
        cuts
    }

    /// Id of a request that is answered with this cut
    pub fn id(self) -> String {
        let framing = FRAMINGS.iter().position(|it| *it == self.framing).expect("listed");
        let end = ENDS.iter().position(|it| *it == self.end).expect("listed");
        format!("cut-{framing}-{end}-{:04}", self.length)
    }

    /// Cut in the answer to the request with an id; `None` if it is whole
    pub fn of_id(id: &str) -> Option<AnswerCut> {
        let mut fields = id.strip_prefix("cut-")?.split('-').map(str::parse::<usize>);
        let mut next = || fields.next()?.ok();
        let (framing, end, length) = (next()?, next()?, next()?);
        Some(AnswerCut { framing: FRAMINGS[framing], end: ENDS[end], length })
    }

    /// Steps of an endpoint that breaks off its answer
    pub fn steps(self, answer: &[u8]) -> Vec<Step> {
        let end = match self.end {
            CutEnd::Close => Step::Close,
            CutEnd::Reset => Step::Reset,
            CutEnd::HalfClose => Step::HalfClose,
            CutEnd::Silence => Step::Hang,
        };
        vec![Step::Write(answer[..self.length].to_vec()), end]
    }

    /// Part of the body after which the end of the connection makes the answer whole by its framing; `None` if
    /// nothing does
    pub fn body_by_framing(self, answer: &[u8]) -> Option<String> {
        let is_ended = matches!(self.end, CutEnd::Close | CutEnd::HalfClose);
        let start = answer.windows(4).position(|it| it == b"\r\n\r\n")? + 4;
        let body = answer.get(start..self.length)?;
        let is_whole = is_ended && self.framing.ends_with_connection();
        is_whole.then(|| String::from_utf8_lossy(body).into_owned())
    }

    /// Whether nothing of the answer is missing
    fn is_whole(self, answer: &[u8]) -> bool {
        let is_complete = self.length == answer.len();
        is_complete && (!self.framing.ends_with_connection() || self.end != CutEnd::Reset)
    }
}

/// Whether a cut is tried: a close at each byte, others at the ends of lines and some points between them
fn is_played(bytes: &[u8], length: usize, end: CutEnd) -> bool {
    let is_line_end = matches!(bytes[..length].last(), None | Some(b'\r' | b'\n'));
    match end {
        CutEnd::Close => true,
        CutEnd::Reset => is_line_end || length.is_multiple_of(RESET_DISTANCE),
        CutEnd::HalfClose | CutEnd::Silence => {
            is_line_end || length.is_multiple_of(SILENCE_DISTANCE)
        }
    }
}
