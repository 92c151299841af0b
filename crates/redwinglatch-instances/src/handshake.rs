//! Mutual authentication of a connection with a shared secret.

use std::io;
use std::sync::{Arc, PoisonError, RwLock};

use hmac::{Hmac, KeyInit, Mac};
use redwinglatch_core::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use tokio::net::TcpStream;

use crate::connection::{FrameReader, write_frame};

/// Size of the proof in a datagram: an HMAC-SHA-256, truncated to 128 bits as RFC 2104 allows,
/// because full proofs were a third of the bytes of a lease renewal.
pub(crate) const DATAGRAM_PROOF_BYTES: usize = 16;

/// The secrets that the instances of one deployment share; all clones see each replacement.
///
/// All secrets are accepted; the first one authenticates this instance to others. To rotate the
/// secret, append the new one on all instances, then move it to the front on all, and only then
/// remove the old one.
#[derive(Clone)]
pub struct SharedSecret {
    secrets: Arc<RwLock<Arc<[Secret]>>>,
}

#[derive(Clone)]
struct Secret(Box<[u8]>);

impl SharedSecret {
    /// Creates a set of one secret.
    #[must_use]
    pub fn new(secret: impl Into<Box<[u8]>>) -> SharedSecret {
        let secrets: Arc<[Secret]> = Arc::new([Secret(secret.into())]);
        SharedSecret { secrets: Arc::new(RwLock::new(secrets)) }
    }

    /// Replaces the secrets. An empty list is ignored, because no instance could connect any more.
    pub fn replace(&self, secrets: impl IntoIterator<Item = Box<[u8]>>) {
        let secrets: Arc<[Secret]> = secrets.into_iter().map(Secret).collect();
        if !secrets.is_empty() {
            *self.secrets.write().unwrap_or_else(PoisonError::into_inner) = secrets;
        }
    }

    fn current(&self) -> Arc<[Secret]> {
        self.secrets.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the proof that a datagram with `body` was sent by an instance that knows the secret.
    pub(crate) fn datagram_proof(&self, body: &[u8]) -> [u8; DATAGRAM_PROOF_BYTES] {
        let mac = self.current()[0].mac(b"datagram", &[body]).finalize().into_bytes();
        let mut proof = [0; DATAGRAM_PROOF_BYTES];
        proof.copy_from_slice(&mac[..DATAGRAM_PROOF_BYTES]);
        proof
    }

    /// Returns whether `proof` is valid for `body`; runs in constant time.
    pub(crate) fn is_valid_datagram_proof(
        &self,
        body: &[u8],
        proof: &[u8; DATAGRAM_PROOF_BYTES],
    ) -> bool {
        let secrets = self.current();
        let verified =
            |secret: &Secret| secret.mac(b"datagram", &[body]).verify_truncated_left(proof).is_ok();
        secrets.iter().fold(false, |found, secret| found | verified(secret))
    }
}

impl Secret {
    fn mac(&self, role: &[u8], parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        mac.update(role);
        for part in parts {
            mac.update(part);
        }
        mac
    }
}

impl std::fmt::Debug for SharedSecret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SharedSecret(..)")
    }
}

#[derive(Serialize, Deserialize)]
struct Challenge {
    nonce: [u8; 16],
}

#[derive(Serialize, Deserialize)]
struct Hello {
    instance: InstanceId,
    incarnation: Incarnation,
    nonce: [u8; 16],
    proof: [u8; 32],
}

#[derive(Serialize, Deserialize)]
struct Welcome {
    proof: [u8; 32],
}

/// The data that both proofs of a handshake cover: the two nonces and the identity of the
/// connecting instance.
struct Transcript {
    acceptor_nonce: [u8; 16],
    connector_nonce: [u8; 16],
    instance: InstanceId,
    incarnation: Incarnation,
}

impl Transcript {
    fn mac(&self, secret: &Secret, role: &[u8]) -> Hmac<Sha256> {
        secret.mac(
            role,
            &[
                &self.acceptor_nonce,
                &self.connector_nonce,
                &self.instance.0.to_le_bytes(),
                &self.incarnation.0.to_le_bytes(),
            ],
        )
    }
}

/// Authenticates a connection that this instance opened.
pub(crate) async fn connect_handshake(
    reader: &mut FrameReader,
    stream: &mut TcpStream,
    secret: &SharedSecret,
    instance: InstanceId,
    incarnation: Incarnation,
) -> io::Result<()> {
    let challenge: Challenge = reader.read(stream).await?;
    let transcript = Transcript {
        acceptor_nonce: challenge.nonce,
        connector_nonce: fresh_nonce(),
        instance,
        incarnation,
    };
    // Both proofs use the same secret, even if the secrets are replaced during the handshake.
    let secrets = secret.current();
    let secret = &secrets[0];
    let proof = transcript.mac(secret, b"connect").finalize().into_bytes().into();
    let nonce = transcript.connector_nonce;
    write_frame(stream, &Hello { instance, incarnation, nonce, proof }, reader.on_event()).await?;
    let welcome: Welcome = reader.read(stream).await?;
    transcript
        .mac(secret, b"accept")
        .verify_slice(&welcome.proof)
        .map_err(|_| permission_denied("the secret of the accepting instance differs"))
}

/// Authenticates a connection that another instance opened; returns its identity.
pub(crate) async fn accept_handshake(
    reader: &mut FrameReader,
    stream: &mut TcpStream,
    secret: &SharedSecret,
) -> io::Result<(InstanceId, Incarnation)> {
    let acceptor_nonce = fresh_nonce();
    write_frame(stream, &Challenge { nonce: acceptor_nonce }, reader.on_event()).await?;
    let hello: Hello = reader.read(stream).await?;
    let transcript = Transcript {
        acceptor_nonce,
        connector_nonce: hello.nonce,
        instance: hello.instance,
        incarnation: hello.incarnation,
    };
    let secrets = secret.current();
    // `verify_slice` compares in constant time.
    let verified =
        |secret: &&Secret| transcript.mac(secret, b"connect").verify_slice(&hello.proof).is_ok();
    let secret = secrets
        .iter()
        .find(verified)
        .ok_or_else(|| permission_denied("the secret of the connecting process differs"))?;
    let proof = transcript.mac(secret, b"accept").finalize().into_bytes().into();
    write_frame(stream, &Welcome { proof }, reader.on_event()).await?;
    Ok((hello.instance, hello.incarnation))
}

fn fresh_nonce() -> [u8; 16] {
    // A nonce must not repeat under one secret, but it need not be secret.
    fastrand::u128(..).to_le_bytes()
}

fn permission_denied(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::PermissionDenied, message.to_owned())
}
