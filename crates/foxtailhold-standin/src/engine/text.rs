//! The text that engines generate. It is a fixed function of the prompt, so that any engine can
//! continue an answer that another one began, and a test can compute the expected answer.

use xxhash_rust::xxh3::xxh3_64_with_seed;

const WORDS: [&str; 16] = [
    "badge ", "camp ", "ridge ", "award ", "river ", "knot ", "trail ", "council ", "band ",
    "room ", "load ", "session ", "drum ", "hold ", "studio ", "night ",
];

/// Returns the token at `ordinal`, from 1, of the answer to `prompt`.
pub fn token(prompt: &str, ordinal: u64) -> &'static str {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), ordinal);
    WORDS[hash as usize % WORDS.len()]
}

/// Returns the first `tokens` tokens of the answer to `prompt` as one text.
pub fn answer(prompt: &str, tokens: u64) -> String {
    let mut text = String::new();
    for ordinal in 1..=tokens {
        text.push_str(token(prompt, ordinal));
    }
    text
}
