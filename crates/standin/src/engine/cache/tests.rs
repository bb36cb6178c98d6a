use super::Cache;

#[test]
fn only_whole_leading_blocks_hit() {
    let mut cache = Cache::new(1_024);
    let prompt = "x".repeat(600);
    assert_eq!(cache.look_up(&prompt), 0);
    cache.insert(&prompt);
    assert_eq!(cache.look_up(&prompt), 128);
    assert_eq!(cache.look_up(&format!("y{prompt}")), 0);
}

#[test]
fn the_least_recently_used_block_leaves_first() {
    let mut cache = Cache::new(128);
    let [old, kept, new] = ["a", "b", "c"].map(|letter| letter.repeat(256));
    cache.insert(&old);
    cache.insert(&kept);
    cache.look_up(&kept);
    cache.insert(&new);
    assert_eq!(
        [&old, &kept, &new].map(|text| cache.look_up(text)),
        [0, 64, 64]
    );
}
