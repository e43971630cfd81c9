//! Who a member is, and the short number that stands for it in gossip.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;

use sha2::Digest;
use sha2::Sha256;
use wire::generated::Record;

/// Who a member is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Its name on the instance list.
    pub name: String,
    /// Its region.
    pub region: String,
    /// Its data centre.
    pub data_centre: String,
    /// Rises with each start of its process.
    pub incarnation: u64,
    /// Where its frames come in.
    pub address: SocketAddr,
}

impl Identity {
    /// Stands for the name and the incarnation in gossip.
    pub(crate) fn id(&self) -> u32 {
        let mut hasher = Sha256::new();
        hasher.update(self.name.as_bytes());
        hasher.update(self.incarnation.to_be_bytes());
        let hash = hasher.finalize();
        u32::from_be_bytes([hash[0], hash[1], hash[2], hash[3]])
    }

    pub(crate) fn to_record(&self) -> Record {
        let ip = match self.address.ip() {
            IpAddr::V4(ip) => ip.octets().to_vec(),
            IpAddr::V6(ip) => ip.octets().to_vec(),
        };
        Record {
            name: self.name.clone(),
            region: self.region.clone(),
            data_centre: self.data_centre.clone(),
            incarnation: self.incarnation,
            ip,
            port: u32::from(self.address.port()),
        }
    }

    /// Nothing if the address is none; frames with such records do not get this far.
    pub(crate) fn from_record(record: &Record) -> Option<Self> {
        let ip = match <[u8; 4]>::try_from(&*record.ip) {
            Ok(octets) => IpAddr::V4(Ipv4Addr::from(octets)),
            Err(_) => IpAddr::V6(Ipv6Addr::from(<[u8; 16]>::try_from(&*record.ip).ok()?)),
        };
        Some(Self {
            name: record.name.clone(),
            region: record.region.clone(),
            data_centre: record.data_centre.clone(),
            incarnation: record.incarnation,
            address: SocketAddr::new(ip, u16::try_from(record.port).ok()?),
        })
    }
}
