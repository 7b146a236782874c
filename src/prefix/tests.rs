use super::*;

const ROOT: OpeningRoot<'_> = OpeningRoot {
    account: "a",
    model: "m",
    adapter: None,
    weights_version: 1,
};

#[test]
fn of_messages_shared_preamble_shares_leading_hashes() {
    let preamble = "p".repeat(20_000);
    let one = Opening::of_messages(ROOT, [("system", &*preamble), ("user", "one")]);
    let two = Opening::of_messages(ROOT, [("system", &*preamble), ("user", "two")]);
    assert_eq!(one.pieces.len(), 4);
    assert_eq!(one.pieces[..3], two.pieces[..3]);
    assert_ne!(one.pieces[3], two.pieces[3]);
}

#[yare::parameterized(
    account = { OpeningRoot { account: "b", ..ROOT } },
    model = { OpeningRoot { model: "n", ..ROOT } },
    adapter = { OpeningRoot { adapter: Some(""), ..ROOT } },
    weights = { OpeningRoot { weights_version: 2, ..ROOT } },
)]
fn of_messages_other_root_shares_nothing(other: OpeningRoot<'_>) {
    let one = Opening::of_messages(ROOT, [("system", "same")]);
    let two = Opening::of_messages(other, [("system", "same")]);
    assert_ne!(one.pieces[0].hash, two.pieces[0].hash);
}
