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

fn level_ends(messages: &[(&str, usize)]) -> (Vec<u32>, usize) {
    let texts: Vec<_> = messages
        .iter()
        .map(|(role, tokens)| (*role, "x".repeat(tokens * BYTES_PER_TOKEN)))
        .collect();
    let opening = Opening::of_messages(ROOT, texts.iter().map(|(role, text)| (*role, &**text)));
    let ends = opening.levels.iter().map(|l| l.end_tokens).collect();
    (ends, opening.shared_level)
}

#[yare::parameterized(
    nested = { &[("system", 2_000), ("user", 9_000), ("user", 100)], &[2_000, 11_000], 1 },
    one_system_message = { &[("system", 9_000), ("user", 100)], &[9_000], 0 },
    question_alone = { &[("user", 100)], &[100], 0 },
    long_question = { &[("system", 2_000), ("user", 900)], &[2_000, 2_900], 0 },
    conversation = {
        &[("system", 2_000), ("user", 9_000), ("user", 600), ("assistant", 700), ("user", 100)],
        &[2_000, 11_000, 11_600, 12_400],
        1
    },
)]
fn levels_follow_messages(messages: &[(&str, usize)], ends: &[u32], shared: usize) {
    assert_eq!(level_ends(messages), (ends.to_vec(), shared));
}

#[test]
fn owner_key_same_for_each_question_and_turn() {
    let manual = "m".repeat(50_000);
    let chain = [("system", "preamble"), ("user", &*manual)];
    let ask = |rest: &[(&'static str, &'static str)]| {
        let messages = chain.iter().copied().chain(rest.iter().copied());
        Opening::of_messages(ROOT, messages).owner_key()
    };
    let first = ask(&[("user", "one")]);
    assert_eq!(first, ask(&[("user", "two")]));
    assert_eq!(
        first,
        ask(&[("user", "one"), ("assistant", "a"), ("user", "b")])
    );
}
