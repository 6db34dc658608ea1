//! How addresses are spread over failure domains.

use arbtest::arbtest;
use rand::SeedableRng;
use rand_pcg::Pcg32;

use bergamotfork::regions::HostLocation;
use bergamotfork::regions::spread_over_domains;

fn place(number: usize) -> HostLocation {
    HostLocation {
        region: format!("region-{}", number / 2 % 2),
        domain: format!("domain-{}", number % 2),
    }
}

#[test]
fn spread_first_of_each_domain() {
    arbtest(|u| {
        let mut rng = Pcg32::seed_from_u64(u.arbitrary()?);
        let hosts: Vec<usize> = (0..u.int_in_range(4..=12)?).collect();
        let spread = spread_over_domains(hosts.clone(), |host| place(*host), None, &mut rng);
        let mut first: Vec<HostLocation> = spread.iter().take(4).map(|host| place(*host)).collect();
        first.sort_unstable();
        first.dedup();
        assert_eq!(first.len(), 4, "the first four stand in four domains");
        let mut all = spread;
        all.sort_unstable();
        assert_eq!(all, hosts, "no host is lost or doubled");
        Ok(())
    })
    .seed(0x0000_0002_0000_0100);
}

#[test]
fn spread_near_first() {
    let mut rng = Pcg32::seed_from_u64(1);
    let hosts: Vec<usize> = (0..8).collect();
    let spread = spread_over_domains(hosts, |host| place(*host), Some("region-1"), &mut rng);
    assert!(
        spread[..4]
            .iter()
            .all(|host| place(*host).region == "region-1")
    );
}

#[test]
fn spread_loads_alike() {
    let mut rng = Pcg32::seed_from_u64(1);
    let mut firsts = [0u32; 9];
    for _ in 0..9000 {
        let hosts: Vec<usize> = (0..9).collect();
        let first = spread_over_domains(hosts, |host| place(host % 3), None, &mut rng)[0];
        firsts[first] += 1;
    }
    // Each of nine hosts is named first by 1000 of 9000 callers; five deviations is 150.
    assert!(
        firsts.iter().all(|count| (850..1150).contains(count)),
        "{firsts:?}"
    );
}
