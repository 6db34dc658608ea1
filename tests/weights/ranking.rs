use arbtest::arbtest;

use crate::samples::sample_hosts;
use crate::samples::sample_ranking;
use bergamotfork::weights::PeerKey;

#[test]
fn ranked_hosts_any_list_order() {
    arbtest(|u| {
        let sorted = sample_hosts(u.int_in_range(3..=30)?, 3);
        let mut shuffled = sorted.clone();
        for at in 0..shuffled.len() {
            shuffled.swap(at, u.choose_index(sorted.len())?);
        }
        let one = sample_ranking(20, &sorted);
        let other = sample_ranking(20, &shuffled);
        for chunk in 0..20 {
            for region in 0..one.region_count() {
                let names = |keys: &[PeerKey], list: &[bergamotfork::weights::SwarmHost]| {
                    keys.iter()
                        .map(|key| list[key.0 as usize].name.clone())
                        .collect::<Vec<_>>()
                };
                assert_eq!(
                    names(one.ranked_hosts(chunk, region), &sorted),
                    names(other.ranked_hosts(chunk, region), &shuffled)
                );
            }
        }
        Ok(())
    });
}

#[test]
fn upstream_region_chain_ends_at_origin() {
    for regions in 1..6 {
        let ranking = sample_ranking(200, &sample_hosts(12, regions));
        for chunk in 0..200 {
            for region in 0..regions {
                let mut at = region;
                let mut steps = 0;
                while let Some(upstream) = ranking.upstream_region(chunk, at) {
                    at = upstream;
                    steps += 1;
                }
                assert_eq!(at, 0);
                assert!(steps < regions);
            }
        }
    }
}

#[test]
fn upstream_region_three_regions_split_evenly() {
    let ranking = sample_ranking(400, &sample_hosts(12, 3));
    let direct = (0..400)
        .filter(|chunk| ranking.upstream_region(*chunk, 1) == Some(0))
        .count();
    assert!(
        (160..240).contains(&direct),
        "{direct} of 400 chunks enter region 1 directly"
    );
    for chunk in 0..400 {
        assert_ne!(
            ranking.upstream_region(chunk, 1) == Some(0),
            ranking.upstream_region(chunk, 2) == Some(0)
        );
    }
}
