//! Validates the fields of a decoded frame.

use crate::Frame;
use crate::MAX_DOCUMENT_BYTES;
use crate::MAX_NAME_BYTES;
use crate::Refusal;
use crate::generated::Delta;
use crate::generated::Gossip;
use crate::generated::Record;
use crate::generated::Want;
use crate::generated::frame::Content;

/// Maximum number of parts of a delta.
const MAX_PARTS: u32 = 64;

/// Returns [`Refusal::OutOfBounds`] if a field of the frame is out of bounds.
pub(crate) fn check(frame: &Frame) -> Result<(), Refusal> {
    let content = frame.content.as_ref();
    let valid = is_valid_name(&frame.sender)
        && frame.incarnation > 0
        && content.is_some_and(is_valid_content);
    if valid { Ok(()) } else { Err(Refusal::OutOfBounds) }
}

fn is_valid_content(content: &Content) -> bool {
    match content {
        Content::Hello(hello) => hello.record.as_ref().is_some_and(is_valid_record),
        Content::Gossip(gossip) => is_valid_gossip(gossip),
        Content::Want(want) => is_valid_want(want),
        Content::Records(records) => records.records.iter().all(is_valid_record),
        Content::Delta(delta) => is_valid_delta(delta),
        Content::Document(document) => {
            document.digest.len() == 32 && document.documents.len() <= MAX_DOCUMENT_BYTES
        }
        Content::Offer(_) | Content::Pull(_) | Content::Busy(_) => true,
    }
}

fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}

fn is_valid_record(record: &Record) -> bool {
    is_valid_name(&record.name)
        && record.region.len() <= MAX_NAME_BYTES
        && record.data_centre.len() <= MAX_NAME_BYTES
        && record.incarnation > 0
        && matches!(record.ip.len(), 4 | 16)
        && (1..=u32::from(u16::MAX)).contains(&record.port)
}

fn is_valid_gossip(gossip: &Gossip) -> bool {
    let members = gossip.ids.len();
    gossip.heartbeats.len() == members && gossip.versions.len() == members
}

fn is_valid_want(want: &Want) -> bool {
    want.ids.len() == want.versions.len()
}

fn is_valid_delta(delta: &Delta) -> bool {
    (1..=MAX_PARTS).contains(&delta.parts)
        && delta.part < delta.parts
        && delta.base < delta.version
        && delta.names.iter().all(|name| is_valid_name(&name.name))
        && delta.drain_slots.len() == delta.drain_epochs.len()
        && delta.flight_slots.len() == delta.flight_counts.len()
        && delta.demand_slots.len() == delta.demand_counts.len()
}
