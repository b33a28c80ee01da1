//! One request on one connection, written in parts and read at the same time.

use crate::client::RawAnswer;
use std::io::ErrorKind;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// How reading an answer ended
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The answer is whole
    Whole,
    /// The instance has closed the connection (FIN)
    Closed,
    /// The system has reset the connection (RST)
    Reset,
    /// The client has given up
    GivenUp,
}

/// What a client has seen of its request
#[derive(Debug, Clone)]
pub struct Exchange {
    pub sent_at: Instant,
    /// When the last byte was written; `None` if the connection took no more before that
    pub all_sent_at: Option<Instant>,
    /// Error of a write
    pub write_error: Option<(Instant, ErrorKind)>,
    pub ended_at: Instant,
    pub ending: Ending,
    pub answer: RawAnswer,
}

impl Exchange {
    /// Whether the next request may use the connection
    pub fn keeps_connection(&self) -> bool {
        let closes = self.answer.header("connection").is_some_and(|it| it == "close");
        self.ending == Ending::Whole && self.all_sent_at.is_some() && !closes
    }
}

/// Writes the parts of a request, each after a pause, and reads the answer meanwhile
pub async fn exchange(
    socket: &mut TcpStream,
    parts: &[(Duration, Vec<u8>)],
    patience: Duration,
) -> Exchange {
    let sent_at = Instant::now();
    let (mut reader, mut writer) = socket.split();
    let write = async {
        for (pause, part) in parts {
            sleep(*pause).await;
            if let Err(error) = writer.write_all(part).await {
                return Err((Instant::now(), error.kind()));
            }
        }
        Ok(Instant::now())
    };
    let mut bytes = Vec::new();
    let read = async {
        let ending = timeout(patience, async {
            loop {
                match reader.read_buf(&mut bytes).await {
                    Ok(0) => return Ending::Closed,
                    Ok(_) if parse(&bytes).is_whole => return Ending::Whole,
                    Ok(_) => {}
                    Err(_) => return Ending::Reset,
                }
            }
        });
        (ending.await.unwrap_or(Ending::GivenUp), Instant::now())
    };
    let (written, (ending, ended_at)) = tokio::join!(write, read);
    Exchange {
        sent_at,
        all_sent_at: written.ok(),
        write_error: written.err(),
        ended_at,
        ending,
        answer: parse(&bytes),
    }
}

/// Parses what has arrived of an answer
fn parse(bytes: &[u8]) -> RawAnswer {
    let mut answer =
        RawAnswer { status: 0, head: String::new(), body: String::new(), is_whole: false };
    let Some((head, mut rest)) = split(bytes, b"\r\n\r\n") else { return answer };
    answer.head = String::from_utf8_lossy(head).into_owned();
    answer.status = answer.head.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    if answer.header("transfer-encoding").is_none() {
        let length = answer.header("content-length").map_or(0, |it| it.parse().expect("a length"));
        answer.body = String::from_utf8_lossy(&rest[..rest.len().min(length)]).into_owned();
        answer.is_whole = rest.len() >= length;
        return answer;
    }
    while let Some((size, data)) = split(rest, b"\r\n") {
        let size = usize::from_str_radix(&String::from_utf8_lossy(size), 16).expect("a chunk size");
        let Some(chunk) = data.get(..size + 2) else { break };
        answer.body.push_str(&String::from_utf8_lossy(&chunk[..size]));
        answer.is_whole = size == 0;
        rest = &data[size + 2..];
    }
    answer
}

fn split<'a>(bytes: &'a [u8], delimiter: &[u8]) -> Option<(&'a [u8], &'a [u8])> {
    let index = bytes.windows(delimiter.len()).position(|it| it == delimiter)?;
    Some((&bytes[..index], &bytes[index + delimiter.len()..]))
}
