//! Maps made of pairs in any order.

use ferry_model::SortedMap;

#[test]
fn last_value_of_each_key_counts() {
    struct Case {
        pairs: &'static [(u8, char)],
        entries: &'static [(u8, char)],
    }
    let cases = [
        Case { pairs: &[], entries: &[] },
        Case { pairs: &[(2, 'a'), (1, 'b')], entries: &[(1, 'b'), (2, 'a')] },
        Case { pairs: &[(1, 'a'), (1, 'b'), (1, 'c')], entries: &[(1, 'c')] },
        Case {
            pairs: &[(3, 'a'), (1, 'b'), (3, 'c'), (2, 'd'), (1, 'e')],
            entries: &[(1, 'e'), (2, 'd'), (3, 'c')],
        },
    ];
    for case in cases {
        let map: SortedMap<u8, char> = case.pairs.iter().copied().collect();
        let mut inserted = SortedMap::new();
        for (key, value) in case.pairs {
            inserted.insert(*key, *value);
        }
        let entries: Vec<(u8, char)> = map.iter().map(|(key, value)| (*key, *value)).collect();
        assert_eq!(entries, case.entries, "{:?}", case.pairs);
        assert_eq!(map, inserted, "{:?}", case.pairs);
    }
}
