//! Serde representations of bytes as JSON strings.

/// Digest as lower-case hexadecimal digits
pub(super) mod hex_digest {
    use crate::claims::RequestDigest;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(in crate::claims) fn serialize<S: Serializer>(
        digest: &RequestDigest,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let mut text = String::with_capacity(64);
        for byte in digest {
            text.push(char::from_digit(u32::from(byte >> 4), 16).unwrap_or('0'));
            text.push(char::from_digit(u32::from(byte & 15), 16).unwrap_or('0'));
        }
        serializer.serialize_str(&text)
    }

    pub(in crate::claims) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<RequestDigest, D::Error> {
        let text = String::deserialize(deserializer)?;
        let mut digest = RequestDigest::default();
        if text.len() != 2 * digest.len() || !text.is_ascii() {
            return Err(serde::de::Error::custom("digest is not 64 hex digits"));
        }
        for (index, byte) in digest.iter_mut().enumerate() {
            let pair = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(serde::de::Error::custom)?;
        }
        Ok(digest)
    }
}

/// Body as standard base64
pub(super) mod base64_body {
    use base64::Engine;
    use base64::engine::general_purpose::STANDARD;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(in crate::claims) fn serialize<S: Serializer>(
        body: &[u8],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(body))
    }

    pub(in crate::claims) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map_err(serde::de::Error::custom)
    }
}
