//! Mutual authentication by a shared secret.
//!
//! Three messages of fixed length open a connection: the client's nonce, the
//! server's nonce with its proof, the client's proof. A proof is an HMAC-SHA-256
//! over the sender's part and both nonces, so the secret never travels and no
//! proof can be used again. The frames that follow are not encrypted.

use crate::frame::FRAME_VERSION;
use hmac::{Hmac, Mac};
use rand::RngCore;
use sha2::Sha256;
use std::fmt;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Time for the whole exchange.
pub const AUTH_TIMEOUT: Duration = Duration::from_secs(2);
const NONCE_BYTES: usize = 32;
const PROOF_BYTES: usize = 32;
const CLIENT_PART: &[u8] = b"persimmonlift peer client";
const SERVER_PART: &[u8] = b"persimmonlift peer server";

type PeerNonce = [u8; NONCE_BYTES];
type PeerProof = [u8; PROOF_BYTES];

/// Secret that all instances of a deployment share
#[derive(Clone)]
pub struct PeerSecret(Arc<[u8]>);

impl fmt::Debug for PeerSecret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("PeerSecret(..)")
    }
}

fn keyed(key: &[u8]) -> Hmac<Sha256> {
    Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes any key length")
}

impl PeerSecret {
    /// Secret of the given bytes
    pub fn new(bytes: impl AsRef<[u8]>) -> PeerSecret {
        PeerSecret(bytes.as_ref().into())
    }

    /// Secret of one deployment, made of the instances' token and the deployment's name
    ///
    /// An address may pass to an instance of another deployment with the same token,
    /// which must not act on calls that were meant for this one.
    pub fn of_deployment(token: impl AsRef<[u8]>, deployment: &str) -> PeerSecret {
        let mut mac = keyed(token.as_ref());
        mac.update(deployment.as_bytes());
        PeerSecret::new(mac.finalize().into_bytes())
    }

    fn mac(&self, part: &[u8], client: &PeerNonce, server: &PeerNonce) -> Hmac<Sha256> {
        let mut mac = keyed(&self.0);
        mac.update(&[FRAME_VERSION]);
        mac.update(part);
        mac.update(client);
        mac.update(server);
        mac
    }

    fn prove(&self, part: &[u8], client: &PeerNonce, server: &PeerNonce) -> PeerProof {
        self.mac(part, client, server).finalize().into_bytes().into()
    }

    fn check(
        &self,
        part: &[u8],
        client: &PeerNonce,
        server: &PeerNonce,
        proof: &PeerProof,
    ) -> Result<(), AuthError> {
        let mac = self.mac(part, client, server);
        mac.verify_slice(proof).map_err(|_| AuthError::WrongSecret)
    }
}

/// Failure to authenticate a peer
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum AuthError {
    /// peer speaks version {0}
    Version(u8),
    /// peer does not know the secret
    WrongSecret,
    /// peer closed the connection, as it does when it does not accept the secret
    Closed(io::Error),
    /// no answer in time
    TimedOut,
}

impl std::error::Error for AuthError {}

/// Authenticates the server to the client and the client to the server.
///
/// # Errors
/// Any `AuthError`.
pub async fn open_as_client(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    secret: &PeerSecret,
) -> Result<(), AuthError> {
    in_time(async {
        let client = new_nonce();
        write(stream, &[&[FRAME_VERSION], &client]).await?;
        check_version(stream).await?;
        let server: PeerNonce = read(stream).await?;
        let proof: PeerProof = read(stream).await?;
        secret.check(SERVER_PART, &client, &server, &proof)?;
        write(stream, &[&secret.prove(CLIENT_PART, &client, &server)]).await
    })
    .await
}

/// The server's side of `open_as_client`.
///
/// # Errors
/// Any `AuthError`.
pub async fn open_as_server(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    secret: &PeerSecret,
) -> Result<(), AuthError> {
    in_time(async {
        check_version(stream).await?;
        let client: PeerNonce = read(stream).await?;
        let server = new_nonce();
        let proof = secret.prove(SERVER_PART, &client, &server);
        write(stream, &[&[FRAME_VERSION], &server, &proof]).await?;
        let proof: PeerProof = read(stream).await?;
        secret.check(CLIENT_PART, &client, &server, &proof)
    })
    .await
}

async fn in_time(exchange: impl Future<Output = Result<(), AuthError>>) -> Result<(), AuthError> {
    match tokio::time::timeout(AUTH_TIMEOUT, exchange).await {
        Ok(result) => result,
        Err(_) => Err(AuthError::TimedOut),
    }
}

fn new_nonce() -> PeerNonce {
    let mut nonce = [0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut nonce);
    nonce
}

async fn check_version(stream: &mut (impl AsyncRead + Unpin)) -> Result<(), AuthError> {
    let [version] = read::<1>(stream).await?;
    if version == FRAME_VERSION { Ok(()) } else { Err(AuthError::Version(version)) }
}

async fn read<const N: usize>(stream: &mut (impl AsyncRead + Unpin)) -> Result<[u8; N], AuthError> {
    let mut bytes = [0; N];
    stream.read_exact(&mut bytes).await.map_err(AuthError::Closed)?;
    Ok(bytes)
}

async fn write(stream: &mut (impl AsyncWrite + Unpin), parts: &[&[u8]]) -> Result<(), AuthError> {
    stream.write_all(&parts.concat()).await.map_err(AuthError::Closed)
}
