use super::PrefixCache;

#[test]
fn only_complete_leading_blocks_hit() {
    let mut cache = PrefixCache::new(1_024);
    let prompt = "x".repeat(600);
    assert_eq!(cache.lookup(&prompt), 0);
    cache.insert(&prompt);
    assert_eq!(cache.lookup(&prompt), 128);
    assert_eq!(cache.lookup(&format!("y{prompt}")), 0);
}

#[test]
fn the_least_recently_used_block_is_evicted_first() {
    let mut cache = PrefixCache::new(128);
    let [old, kept, new] = ["a", "b", "c"].map(|letter| letter.repeat(256));
    cache.insert(&old);
    cache.insert(&kept);
    cache.lookup(&kept);
    cache.insert(&new);
    assert_eq!(
        [&old, &kept, &new].map(|text| cache.lookup(text)),
        [0, 64, 64]
    );
}
