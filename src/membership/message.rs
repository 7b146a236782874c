//! The wire format of heartbeats.

use std::net::{IpAddr, SocketAddr};

use bytes::Bytes;

use crate::membership::leaving::LeavingVm;
use crate::membership::member::{Liveness, LoadLevel, Member};

/// The purpose of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Stage {
    /// Requests an acknowledgement.
    Probe = 0,
    /// Acknowledges a probe.
    Acknowledge = 1,
    /// Requests an indirect probe: the receiver probes another router on behalf of the sender.
    ProbeFor = 2,
    /// Carries only records.
    Records = 3,
    /// Reports to the requester of an indirect probe that the probed router, whose record is included, acknowledged it.
    AcknowledgeFor = 4,
}

/// The wire format of a member's record.
///
/// A record that only reports a suspicion or a removal omits the zone and the addresses.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MemberRecord {
    /// The router's name.
    #[prost(string, tag = "1")]
    pub router: String,
    /// The availability zone; empty if the record only reports a suspicion or removal.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// The address for other routers: 4 or 16 bytes of IP followed by 2 bytes of port, or empty.
    #[prost(bytes = "bytes", tag = "3")]
    pub peers: Bytes,
    /// The address for callers, in the same format.
    #[prost(bytes = "bytes", tag = "4")]
    pub callers: Bytes,
    /// The incarnation of the router's process.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    /// The version of the record.
    #[prost(uint64, tag = "6")]
    pub version: u64,
    /// 0 alive, 1 suspected, 2 removed.
    #[prost(uint32, tag = "7")]
    pub liveness: u32,
    /// Whether the router is leaving.
    #[prost(bool, tag = "8")]
    pub leaving: bool,
    /// 0 normal, 1 busy, 2 full.
    #[prost(uint32, tag = "9")]
    pub load: u32,
    /// The number of requests that the router started in the last seconds.
    #[prost(uint32, tag = "10")]
    pub activity: u32,
}

/// A heartbeat with the data piggybacked on it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// The purpose of the heartbeat.
    #[prost(enumeration = "Stage", tag = "1")]
    pub stage: i32,
    /// Matches an acknowledgement to its probe.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// The sender's own record.
    #[prost(message, optional, tag = "3")]
    pub sender: Option<MemberRecord>,
    /// The digest of the sender's members.
    #[prost(fixed64, tag = "4")]
    pub digest: u64,
    /// Records that changed recently or that are needed for synchronization.
    #[prost(message, repeated, tag = "5")]
    pub updates: Vec<MemberRecord>,
    /// For [`Stage::ProbeFor`]: the address to probe.
    #[prost(bytes = "bytes", tag = "6")]
    pub target: Bytes,
    /// The digest of each bucket of members, sent if the digests of all members differ.
    #[prost(fixed32, repeated, tag = "7")]
    pub bucket_digests: Vec<u32>,
    /// The buckets whose records the sender requests, as a bit mask.
    #[prost(uint32, tag = "8")]
    pub requested_buckets: u32,
    /// The VMs that the platform's VM list shows as leaving.
    #[prost(message, repeated, tag = "9")]
    pub leaving_vms: Vec<LeavingVm>,
    /// The configuration revision that is active on the sender.
    #[prost(uint64, tag = "10")]
    pub revision: u64,
}

impl Heartbeat {
    /// Returns the stage, or `None` if this version of the router does not know it.
    #[must_use]
    pub fn known_stage(&self) -> Option<Stage> {
        Stage::try_from(self.stage).ok()
    }
}

impl MemberRecord {
    /// Encodes all fields of a member.
    #[must_use]
    pub fn full(member: &Member) -> Self {
        Self {
            zone: member.zone.to_string(),
            peers: encode_address(member.peers),
            callers: encode_address(member.callers),
            leaving: member.leaving,
            load: member.load as u32,
            activity: member.activity,
            ..Self::liveness_only(member)
        }
    }

    /// Encodes only the router, the version of its record and its liveness.
    #[must_use]
    pub fn liveness_only(member: &Member) -> Self {
        Self {
            router: member.router.to_string(),
            incarnation: member.incarnation,
            version: member.version,
            liveness: member.liveness as u32,
            ..Self::default()
        }
    }

    /// Encodes a member in full if it is alive, otherwise only its liveness.
    #[must_use]
    pub fn compact(member: &Member) -> Self {
        match member.liveness {
            Liveness::Alive => Self::full(member),
            Liveness::Suspected | Liveness::Removed => Self::liveness_only(member),
        }
    }

    /// Decodes a full record. Returns `None` if a field is missing or malformed.
    #[must_use]
    pub fn to_member(&self) -> Option<Member> {
        if self.router.is_empty() || self.zone.is_empty() {
            return None;
        }
        Some(Member {
            router: self.router.as_str().into(),
            zone: self.zone.as_str().into(),
            peers: decode_address(&self.peers)?,
            callers: decode_address(&self.callers)?,
            incarnation: self.incarnation,
            version: self.version,
            liveness: self.known_liveness()?,
            leaving: self.leaving,
            load: match self.load {
                0 => LoadLevel::Normal,
                1 => LoadLevel::Busy,
                2 => LoadLevel::Full,
                _ => return None,
            },
            activity: self.activity,
        })
    }

    /// Returns the liveness, or `None` if this version of the router does not know its number.
    #[must_use]
    pub const fn known_liveness(&self) -> Option<Liveness> {
        match self.liveness {
            0 => Some(Liveness::Alive),
            1 => Some(Liveness::Suspected),
            2 => Some(Liveness::Removed),
            _ => None,
        }
    }
}

/// Encodes an address as IP and port in network byte order.
pub(crate) fn encode_address(address: SocketAddr) -> Bytes {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend_from_slice(&address.port().to_be_bytes());
    bytes.into()
}

/// Decodes an address. Returns `None` if the length fits neither IPv4 nor IPv6.
pub(crate) fn decode_address(bytes: &[u8]) -> Option<SocketAddr> {
    let (ip, port) = bytes.split_at_checked(bytes.len().checked_sub(2)?)?;
    let port = u16::from_be_bytes(port.try_into().ok()?);
    if let Ok(ip) = <[u8; 4]>::try_from(ip) {
        return Some((ip, port).into());
    }
    let ip = <[u8; 16]>::try_from(ip).ok()?;
    Some((ip, port).into())
}
