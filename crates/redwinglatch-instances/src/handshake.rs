//! Mutual authentication of a connection with a shared secret.

use std::io;

use hmac::{Hmac, KeyInit, Mac};
use redwinglatch_core::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use tokio::net::TcpStream;

use crate::connection::{FrameReader, write_frame};

/// The size of a proof: an HMAC with SHA-256.
pub(crate) const PROOF_BYTES: usize = 32;

/// The secret that the instances of one deployment share.
#[derive(Clone)]
pub struct SharedSecret(Box<[u8]>);

impl SharedSecret {
    /// Wraps the secret's bytes.
    #[must_use]
    pub fn new(secret: impl Into<Box<[u8]>>) -> SharedSecret {
        SharedSecret(secret.into())
    }

    /// The proof that a datagram with `body` comes from a holder of the secret.
    pub(crate) fn proof_of(&self, body: &[u8]) -> [u8; PROOF_BYTES] {
        self.mac(b"datagram", &[body]).finalize().into_bytes().into()
    }

    /// Whether `proof` proves `body`; takes the same time for every proof.
    pub(crate) fn verifies(&self, body: &[u8], proof: &[u8; PROOF_BYTES]) -> bool {
        self.mac(b"datagram", &[body]).verify_slice(proof).is_ok()
    }

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

/// The two nonces and the identity that both proofs cover.
struct Transcript {
    acceptor_nonce: [u8; 16],
    connector_nonce: [u8; 16],
    instance: InstanceId,
    incarnation: Incarnation,
}

impl Transcript {
    fn mac(&self, secret: &SharedSecret, role: &[u8]) -> Hmac<Sha256> {
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
    let proof = transcript.mac(secret, b"connect").finalize().into_bytes().into();
    let nonce = transcript.connector_nonce;
    write_frame(stream, &Hello { instance, incarnation, nonce, proof }, reader.on_event()).await?;
    let welcome: Welcome = reader.read(stream).await?;
    transcript
        .mac(secret, b"accept")
        .verify_slice(&welcome.proof)
        .map_err(|_| refused("the accepting instance has another secret"))
}

/// Authenticates a connection that another instance opened and says which one.
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
    // `verify_slice` compares in constant time.
    transcript
        .mac(secret, b"connect")
        .verify_slice(&hello.proof)
        .map_err(|_| refused("the connecting process has another secret"))?;
    let proof = transcript.mac(secret, b"accept").finalize().into_bytes().into();
    write_frame(stream, &Welcome { proof }, reader.on_event()).await?;
    Ok((hello.instance, hello.incarnation))
}

fn fresh_nonce() -> [u8; 16] {
    // A nonce must not repeat under one secret; it need not be secret itself.
    fastrand::u128(..).to_le_bytes()
}

fn refused(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::PermissionDenied, message.to_owned())
}
