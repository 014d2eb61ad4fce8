//! Settings of customers whose names and choices are unlike those of any other.

use cedarpulley_startup::RawSettings;
use serde_json::json;

/// Symptom: a zone named `hall a, north` counts as two, and every zone after it has the wrong place in the list.
#[test]
fn a_name_in_a_list_may_hold_a_comma() {
    let settings = json!({"zones": ["hall a, north", "", "hall b"], "kinds": []});
    let raw = RawSettings::nested(&settings).expect("an object");
    assert_eq!(raw.list("zones").collect::<Vec<_>>(), ["hall a, north", "", "hall b"]);
    assert_eq!(raw.list("kinds").count() + raw.list("absent").count(), 0);
}

/// Pairs join the values of a list with commas, and have none within a value.
#[test]
fn pairs_give_a_list_joined_with_commas() {
    let raw = RawSettings::pairs("zones=a,b_c kinds=").expect("pairs");
    assert_eq!(raw.list("zones").collect::<Vec<_>>(), ["a", "b_c"]);
    assert_eq!(raw.list("kinds").count(), 0);
}
