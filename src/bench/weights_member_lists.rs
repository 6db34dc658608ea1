use std::net::SocketAddr;

use super::Baseline;
use super::WeightsBench;
use crate::endpoint::SwarmMember;
use crate::weights::SwarmHost;

/// Member list of the swarm as each host of a bench has it.
///
/// A baseline is the product's own transfer with a list that leaves no choice:
/// a host that lists only itself reads everything from the origin; one that lists
/// only the host before it, in another region, reads everything from that host.
#[derive(Debug)]
pub(super) struct MemberLists<'a> {
    bench: &'a WeightsBench,
    all: Vec<SwarmMember>,
}

impl<'a> MemberLists<'a> {
    /// Creates the complete list from the hosts' addresses.
    pub(super) fn new(bench: &'a WeightsBench, addresses: &[SocketAddr]) -> Self {
        let regions = bench.region_names();
        let all = addresses
            .iter()
            .enumerate()
            .map(|(index, address)| SwarmMember {
                host: SwarmHost {
                    name: WeightsBench::host_name(index),
                    region: regions[index % regions.len()].clone(),
                    present: true,
                },
                address: *address,
            })
            .collect();
        Self { bench, all }
    }

    /// Member list of host `index`.
    pub(super) fn list_of(&self, index: usize) -> Vec<SwarmMember> {
        match self.bench.baseline {
            None => self.partial_list(index),
            Some(Baseline::Origin) => vec![self.all[index].clone()],
            Some(Baseline::Chain) => self.chain_list(index),
            Some(Baseline::Star) => self.star_list(index),
        }
    }

    /// All hosts except those missing from the list of host `index`.
    fn partial_list(&self, index: usize) -> Vec<SwarmMember> {
        self.all
            .iter()
            .enumerate()
            .filter(|(other, _)| *other == index || !self.bench.is_unlisted(index, *other))
            .map(|(_, member)| member.clone())
            .collect()
    }

    /// The host itself and the one before it, in different regions; only the host
    /// itself for the first one.
    fn chain_list(&self, index: usize) -> Vec<SwarmMember> {
        let mut own = self.all[index].clone();
        if index == 0 {
            return vec![own];
        }
        let mut before = self.all[index - 1].clone();
        before.host.region = self.bench.region_names()[0].clone();
        own.host.region = "next".to_owned();
        vec![before, own]
    }

    /// Hosts of the origin's region and of the host's own region, which thus reads from
    /// the origin's region.
    fn star_list(&self, index: usize) -> Vec<SwarmMember> {
        let first = &self.all[0].host.region;
        let own = &self.all[index].host.region;
        let is_listed =
            |member: &&SwarmMember| member.host.region == *first || member.host.region == *own;
        self.all.iter().filter(is_listed).cloned().collect()
    }
}
