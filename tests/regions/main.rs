//! Order of addresses over regions and failure domains.

use arbtest::arbtest;
use rand::SeedableRng;
use rand_pcg::Pcg32;

use bergamotfork::regions::HostLocation;
use bergamotfork::regions::spread_over_domains;

/// Location of host number `host`: one of two regions with two domains each.
fn location(host: usize) -> HostLocation {
    HostLocation {
        region: format!("region-{}", host / 2 % 2),
        domain: format!("domain-{}", host % 2),
    }
}

#[test]
fn spread_over_domains_each_domain_first() {
    arbtest(|u| {
        let mut rng = Pcg32::seed_from_u64(u.arbitrary()?);
        let hosts: Vec<usize> = (0..u.int_in_range(4..=12)?).collect();
        let ordered = spread_over_domains(hosts.clone(), |host| location(*host), None, &mut rng);
        let mut locations: Vec<HostLocation> =
            ordered.iter().take(4).map(|host| location(*host)).collect();
        locations.sort_unstable();
        locations.dedup();
        assert_eq!(
            locations.len(),
            4,
            "the first four hosts are in four domains"
        );
        let mut all = ordered;
        all.sort_unstable();
        assert_eq!(all, hosts, "no host is lost or repeated");
        Ok(())
    })
    .seed(0x0000_0002_0000_0100);
}

#[test]
fn spread_over_domains_preferred_region() {
    let mut rng = Pcg32::seed_from_u64(1);
    let hosts: Vec<usize> = (0..8).collect();
    let ordered = spread_over_domains(hosts, |host| location(*host), Some("region-1"), &mut rng);
    assert!(
        ordered[..4]
            .iter()
            .all(|host| location(*host).region == "region-1")
    );
}

#[test]
fn spread_over_domains_equal_load() {
    let mut rng = Pcg32::seed_from_u64(1);
    let mut firsts = [0u32; 9];
    for _ in 0..9000 {
        let hosts: Vec<usize> = (0..9).collect();
        let first = spread_over_domains(hosts, |host| location(host % 3), None, &mut rng)[0];
        firsts[first] += 1;
    }
    // Each of 9 hosts is expected first 1000 times in 9000; 150 is five standard deviations.
    assert!(
        firsts.iter().all(|count| (850..1150).contains(count)),
        "{firsts:?}"
    );
}
