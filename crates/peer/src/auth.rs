//! Mutual authentication by a shared secret.
//!
//! Three messages of fixed length open a connection: the client's nonce, the
//! server's nonce with its proof, the client's proof. A proof is an HMAC-SHA-256
//! over the sender's label and both nonces, so the secret is never transmitted and no
//! proof can be replayed. The frames that follow are not encrypted.

use crate::frame::FRAME_VERSION;
use hmac::{Hmac, Mac};
use rand::RngCore;
use sha2::Sha256;
use std::fmt;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Timeout of the whole exchange.
pub const AUTH_TIMEOUT: Duration = Duration::from_secs(2);
const NONCE_BYTES: usize = 32;
const PROOF_BYTES: usize = 32;
const CLIENT_LABEL: &[u8] = b"persimmonlift peer client";
const SERVER_LABEL: &[u8] = b"persimmonlift peer server";

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

fn new_mac(key: &[u8]) -> Hmac<Sha256> {
    Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes any key length")
}

impl PeerSecret {
    pub fn new(bytes: impl AsRef<[u8]>) -> PeerSecret {
        PeerSecret(bytes.as_ref().into())
    }

    /// Secret of one deployment, derived from the instances' token and the deployment's name
    ///
    /// An address may be reused by an instance of another deployment with the same token,
    /// which must not accept calls meant for this deployment.
    pub fn for_deployment(token: impl AsRef<[u8]>, deployment: &str) -> PeerSecret {
        let mut mac = new_mac(token.as_ref());
        mac.update(deployment.as_bytes());
        PeerSecret::new(mac.finalize().into_bytes())
    }

    fn mac(&self, label: &[u8], client: &PeerNonce, server: &PeerNonce) -> Hmac<Sha256> {
        let mut mac = new_mac(&self.0);
        mac.update(&[FRAME_VERSION]);
        mac.update(label);
        mac.update(client);
        mac.update(server);
        mac
    }

    fn prove(&self, label: &[u8], client: &PeerNonce, server: &PeerNonce) -> PeerProof {
        self.mac(label, client, server).finalize().into_bytes().into()
    }

    fn check(
        &self,
        label: &[u8],
        client: &PeerNonce,
        server: &PeerNonce,
        proof: &PeerProof,
    ) -> Result<(), AuthError> {
        let mac = self.mac(label, client, server);
        mac.verify_slice(proof).map_err(|_| AuthError::WrongSecret)
    }
}

/// Failure to authenticate a peer
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum AuthError {
    /// peer uses protocol version {0}
    Version(u8),
    /// peer did not prove that it knows the secret
    WrongSecret,
    /// connection failed during authentication, for example because the peer rejected the secret
    Closed(io::Error),
    /// authentication timed out
    TimedOut,
}

impl std::error::Error for AuthError {}

/// Client side of the mutual authentication.
///
/// # Errors
/// Any `AuthError`.
pub async fn open_as_client(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    secret: &PeerSecret,
) -> Result<(), AuthError> {
    with_timeout(async {
        let client = new_nonce();
        write(stream, &[&[FRAME_VERSION], &client]).await?;
        check_version(stream).await?;
        let server: PeerNonce = read(stream).await?;
        let proof: PeerProof = read(stream).await?;
        secret.check(SERVER_LABEL, &client, &server, &proof)?;
        write(stream, &[&secret.prove(CLIENT_LABEL, &client, &server)]).await
    })
    .await
}

/// Server side of the mutual authentication.
///
/// # Errors
/// Any `AuthError`.
pub async fn open_as_server(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    secret: &PeerSecret,
) -> Result<(), AuthError> {
    with_timeout(async {
        check_version(stream).await?;
        let client: PeerNonce = read(stream).await?;
        let server = new_nonce();
        let proof = secret.prove(SERVER_LABEL, &client, &server);
        write(stream, &[&[FRAME_VERSION], &server, &proof]).await?;
        let proof: PeerProof = read(stream).await?;
        secret.check(CLIENT_LABEL, &client, &server, &proof)
    })
    .await
}

async fn with_timeout(
    exchange: impl Future<Output = Result<(), AuthError>>,
) -> Result<(), AuthError> {
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
