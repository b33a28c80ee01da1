//! HTTP client that writes raw bytes and parses one answer at a time.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Parsed answer
#[derive(Debug, Clone, PartialEq)]
pub struct RawAnswer {
    /// Status code; 0 if the connection ended without an answer
    pub status: u16,
    /// Status line and headers
    pub head: String,
    /// Body, with chunks joined
    pub body: String,
    /// Whether the body is complete
    pub is_whole: bool,
}

impl RawAnswer {
    /// Value of a header; `None` if it is absent
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head
            .lines()
            .filter_map(|it| it.split_once(": "))
            .find_map(|(it, value)| it.eq_ignore_ascii_case(name).then_some(value))
    }
}

/// Client with one connection
pub struct RawClient {
    /// Socket of the connection
    pub socket: TcpStream,
    buffer: Vec<u8>,
}

impl RawClient {
    /// Connects to an instance that must be listening
    pub async fn connect(address: SocketAddr) -> RawClient {
        let socket = TcpStream::connect(address).await.expect("instance listens");
        RawClient { socket, buffer: Vec::new() }
    }

    /// Client on a connection that is open already
    pub fn of(socket: TcpStream) -> RawClient {
        RawClient { socket, buffer: Vec::new() }
    }

    /// Writes bytes to an open connection
    pub async fn write(&mut self, bytes: impl AsRef<[u8]>) {
        self.socket.write_all(bytes.as_ref()).await.expect("open connection");
    }

    /// Reads one answer; fails on a timeout
    pub async fn read(&mut self) -> RawAnswer {
        timeout(ANSWER_TIMEOUT, self.read_answer()).await.expect("an answer in time")
    }

    /// Sends a request and reads its answer; `None` if the connection breaks
    pub async fn exchange(&mut self, request: impl AsRef<[u8]>) -> Option<RawAnswer> {
        self.socket.write_all(request.as_ref()).await.ok()?;
        let answer = self.read_answer().await;
        Some(answer).filter(|it| it.status != 0)
    }

    /// Connects; `None` if nothing listens at the address
    pub async fn try_connect(address: SocketAddr) -> Option<RawClient> {
        let socket = TcpStream::connect(address).await.ok()?;
        Some(RawClient { socket, buffer: Vec::new() })
    }

    /// Whether the instance closes the connection without sending more
    pub async fn is_closed(&mut self) -> bool {
        let read = timeout(Duration::from_secs(2), self.socket.read_buf(&mut self.buffer)).await;
        self.buffer.is_empty() && matches!(read, Ok(Ok(0) | Err(_)))
    }

    async fn read_answer(&mut self) -> RawAnswer {
        let mut answer =
            RawAnswer { status: 0, head: String::new(), body: String::new(), is_whole: false };
        let Some(head) = self.read_until(b"\r\n\r\n").await else {
            return answer;
        };
        answer.head = String::from_utf8_lossy(&head).into_owned();
        let code = answer.head.split(' ').nth(1);
        let code = code.unwrap_or_else(|| panic!("no status line: {:?}", answer.head));
        answer.status = code.parse().expect("a status");
        if answer.header("transfer-encoding").is_some() {
            loop {
                let Some(line) = self.read_until(b"\r\n").await else {
                    return answer;
                };
                let size = String::from_utf8_lossy(&line).trim().to_owned();
                let size = usize::from_str_radix(&size, 16).expect("a chunk size");
                let Some(data) = self.read_exact(size + 2).await else {
                    return answer;
                };
                answer.body.push_str(&String::from_utf8_lossy(&data[..size]));
                if size == 0 {
                    answer.is_whole = true;
                    return answer;
                }
            }
        }
        let length = answer.header("content-length").map_or(0, |it| it.parse().expect("a length"));
        if let Some(body) = self.read_exact(length).await {
            answer.body = String::from_utf8_lossy(&body).into_owned();
            answer.is_whole = true;
        }
        answer
    }

    async fn read_until(&mut self, delimiter: &[u8]) -> Option<Vec<u8>> {
        loop {
            if let Some(index) = self.buffer.windows(delimiter.len()).position(|it| it == delimiter)
            {
                return Some(self.buffer.drain(..index + delimiter.len()).collect());
            }
            if !self.fill().await {
                return None;
            }
        }
    }

    async fn read_exact(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill().await {
                return None;
            }
        }
        Some(self.buffer.drain(..length).collect())
    }

    async fn fill(&mut self) -> bool {
        matches!(self.socket.read_buf(&mut self.buffer).await, Ok(count) if count > 0)
    }
}

/// Sends one request on a new connection
pub async fn call(address: SocketAddr, request: impl AsRef<[u8]>) -> RawAnswer {
    let mut client = RawClient::connect(address).await;
    client.write(request).await;
    client.read().await
}

/// Sends one request on a new connection from a client with this address
///
/// # Errors
/// The connection can't be opened.
pub async fn call_from(
    source: &str,
    instance: SocketAddr,
    request: impl AsRef<[u8]>,
) -> std::io::Result<RawAnswer> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(source.parse().expect("an address"), 0))?;
    let mut client = RawClient::of(socket.connect(instance).await?);
    client.write(request).await;
    Ok(client.read().await)
}
