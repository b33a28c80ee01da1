//! Frames: one byte of version, four bytes of length, and a `bincode` body.
//!
//! The length precedes the body so that a frame that is too large is rejected before its
//! body is read.

use bytes::{BufMut, Bytes, BytesMut};

/// Version of the frame format and of the messages.
pub const FRAME_VERSION: u8 = 1;
/// Length of the header, in bytes.
pub const HEADER_BYTES: usize = 5;
/// Maximum length of the body, in bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Failure to read or write a frame
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum FrameError {
    /// version {0} is not supported
    Version(u8),
    /// body of {0} bytes exceeds the maximum length
    TooLarge(usize),
    /// frame has only {have} of {need} bytes
    Short {
        /// Number of bytes received
        have: usize,
        /// Length of the frame by its header
        need: usize,
    },
    /// {0} extra bytes follow the message
    Trailing(usize),
    /// body can't be decoded: {0}
    Decode(bincode::error::DecodeError),
    /// message can't be encoded: {0}
    Encode(bincode::error::EncodeError),
}

impl std::error::Error for FrameError {}

/// Encodes a message as one frame.
///
/// # Errors
/// `TooLarge` or `Encode`.
pub fn encode(message: &impl serde::Serialize) -> Result<Bytes, FrameError> {
    let body = bincode::serde::encode_to_vec(message, bincode::config::standard())
        .map_err(FrameError::Encode)?;
    if body.len() > MAX_BODY_BYTES {
        return Err(FrameError::TooLarge(body.len()));
    }
    let mut frame = BytesMut::with_capacity(HEADER_BYTES + body.len());
    frame.put_u8(FRAME_VERSION);
    frame.put_u32(body.len() as u32);
    frame.put_slice(&body);
    Ok(frame.freeze())
}

/// Decodes a frame that contains exactly one message.
///
/// # Errors
/// Any `FrameError` except `Encode`.
pub fn decode<M: serde::de::DeserializeOwned>(frame: &[u8]) -> Result<M, FrameError> {
    let need = frame_length(frame)?.unwrap_or(HEADER_BYTES);
    if frame.len() < need {
        return Err(FrameError::Short { have: frame.len(), need });
    }
    if frame.len() > need {
        return Err(FrameError::Trailing(frame.len() - need));
    }
    let config = bincode::config::standard().with_limit::<MAX_BODY_BYTES>();
    let body = &frame[HEADER_BYTES..];
    let (message, read) =
        bincode::serde::decode_from_slice(body, config).map_err(FrameError::Decode)?;
    if read < body.len() {
        return Err(FrameError::Trailing(body.len() - read));
    }
    Ok(message)
}

/// Length of the whole frame, in bytes; `None` if the header is incomplete.
///
/// # Errors
/// `Version` or `TooLarge`.
pub fn frame_length(start: &[u8]) -> Result<Option<usize>, FrameError> {
    let Some(&version) = start.first() else {
        return Ok(None);
    };
    if version != FRAME_VERSION {
        return Err(FrameError::Version(version));
    }
    let Some(length) = start.get(1..HEADER_BYTES).and_then(|it| it.try_into().ok()) else {
        return Ok(None);
    };
    let body_length = u32::from_be_bytes(length) as usize;
    if body_length > MAX_BODY_BYTES {
        return Err(FrameError::TooLarge(body_length));
    }
    Ok(Some(HEADER_BYTES + body_length))
}
