//! An image as an object: one line of JSON that describes the rest, then one line for each row.

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::table::Position;
use crate::table::Row;

use super::FORMAT;
use super::Image;

quick_error! {
    /// Why an object is not taken for a snapshot.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Refusal {
        /// It has no whole first line, or that does not describe a snapshot.
        Header {
            display("no snapshot's header")
        }
        /// Another version of this program wrote it.
        Format(format: u32) {
            display("format {format}, not {FORMAT}")
        }
        /// It was cut short or added to.
        Length {
            display("its length is not what its header says")
        }
        /// Its bytes changed.
        Checksum {
            display("its checksum is not what its header says")
        }
        /// A row is not readable, stands twice, or is newer than the whole.
        Row(line: usize) {
            display("row {line} is broken")
        }
        /// It is of another position than its name says.
        Name {
            display("its name says another position")
        }
        /// It is older than what is known already.
        Old(position: Position) {
            display("at {position}, older than what is known")
        }
        /// It could not be read.
        Read(reason: String) {
            display("not read: {reason}")
        }
    }
}

/// The first line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Header {
    format: u32,
    position: Position,
    rows: usize,
    bytes: usize,
    sha256: String,
}

/// The object's bytes.
pub fn encode(image: &Image) -> Vec<u8> {
    let mut body = Vec::new();
    for row in image.rows() {
        serde_json::to_writer(&mut body, row).expect("a row has no map with odd keys");
        body.push(b'\n');
    }
    let header = Header {
        format: FORMAT,
        position: image.position(),
        rows: image.len(),
        bytes: body.len(),
        sha256: checksum(image.position(), &body),
    };
    let mut object = serde_json::to_vec(&header).expect("a header has no map");
    object.push(b'\n');
    object.append(&mut body);
    object
}

/// The image, if the bytes are whole and unchanged.
pub fn decode(object: &[u8]) -> Result<Image, Refusal> {
    let end = object.iter().position(|byte| *byte == b'\n').ok_or(Refusal::Header)?;
    let (line, body) = (&object[..end], &object[end + 1..]);
    let header: Header = serde_json::from_slice(line).map_err(|_| Refusal::Header)?;
    if header.format != FORMAT {
        return Err(Refusal::Format(header.format));
    }
    if header.bytes != body.len() {
        return Err(Refusal::Length);
    }
    if header.sha256 != checksum(header.position, body) {
        return Err(Refusal::Checksum);
    }
    let image = Image::new(header.position, rows(body, header.position)?);
    if image.len() != header.rows {
        return Err(Refusal::Row(image.len()));
    }
    Ok(image)
}

fn rows(body: &[u8], position: Position) -> Result<Vec<Row>, Refusal> {
    let lines = body.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
    let parse = |(number, line)| {
        let row: Row = serde_json::from_slice(line).map_err(|_| Refusal::Row(number))?;
        if row.version.0 > position.0 {
            return Err(Refusal::Row(number));
        }
        Ok(row)
    };
    lines.enumerate().map(parse).collect()
}

/// Covers the position too, so that a changed one does not pass.
fn checksum(position: Position, body: &[u8]) -> String {
    let mut hasher = Sha256::new();
    hasher.update(position.0.to_be_bytes());
    hasher.update(body);
    hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
}
