//! Signs and encodes frames, verifies and decodes them.

use hmac::Hmac;
use hmac::Mac;
use prost::Message;
use sha2::Sha256;

use crate::Frame;
use crate::Key;
use crate::MIN_VERSION;
use crate::Refusal;
use crate::VERSION;
use crate::content;
use crate::generated::Envelope;

/// Length to which the HMAC is truncated on the wire, bytes.
const MAC_BYTES: usize = 16;

/// Encodes `frame` and signs it with `key`.
pub fn seal(frame: &Frame, key: &Key) -> Vec<u8> {
    let mut envelope = Envelope {
        version: VERSION,
        oldest: MIN_VERSION,
        key: key.id(),
        mac: Vec::new(),
        frame: frame.encode_to_vec(),
    };
    let mac = mac(&envelope, key).finalize().into_bytes();
    envelope.mac = mac[..MAC_BYTES].to_vec();
    envelope.encode_to_vec()
}

/// Verifies and decodes a frame sealed by [`seal`].
///
/// Returns a [`Refusal`] if `bytes` is longer than `limit` (bytes) or malformed, if the protocol
/// version is not supported, if no key in `keys` verifies the MAC, or if a field is out of bounds.
/// The frame itself is decoded only after its MAC is verified.
pub fn open(bytes: &[u8], limit: usize, keys: &[Key]) -> Result<Frame, Refusal> {
    if bytes.len() > limit {
        return Err(Refusal::Huge);
    }
    let envelope = Envelope::decode(bytes).map_err(|_| Refusal::Malformed)?;
    if envelope.version < MIN_VERSION || envelope.oldest > VERSION {
        return Err(Refusal::Version);
    }
    let mut candidates = keys.iter().filter(|key| key.id() == envelope.key).peekable();
    candidates.peek().ok_or(Refusal::Stranger)?;
    if envelope.mac.len() != MAC_BYTES {
        return Err(Refusal::Forged);
    }
    let verifies = |key: &Key| mac(&envelope, key).verify_truncated_left(&envelope.mac).is_ok();
    if !candidates.any(verifies) {
        return Err(Refusal::Forged);
    }
    let frame = Frame::decode(&*envelope.frame).map_err(|_| Refusal::Malformed)?;
    content::check(&frame)?;
    Ok(frame)
}

fn mac(envelope: &Envelope, key: &Key) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(key.secret()).expect("HMAC accepts keys of any length");
    for number in [envelope.version, envelope.oldest, envelope.key] {
        mac.update(&number.to_be_bytes());
    }
    mac.update(&envelope.frame);
    mac
}
