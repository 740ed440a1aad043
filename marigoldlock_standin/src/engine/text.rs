//! Output of an engine: token `i` depends only on the prompt and `i`.

use marigoldlock_wire::engine::ChatMessage;

const WORDS: [&str; 16] = [
    "bus", "wrap", "face", "ink", "stop", "vinyl", "panel", "route", "proof", "shelter", "fleet", "copy",
    "grid", "seam", "tender", "slot",
];

/// Output for a prompt.
#[derive(Clone, Copy, Debug)]
pub struct OutputText {
    seed: u64,
}

impl OutputText {
    /// Creates the output for a chat.
    pub fn new(messages: &[ChatMessage]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for message in messages {
            hasher.update(message.role.as_bytes());
            hasher.update(&[0]);
            hasher.update(message.content.as_bytes());
            hasher.update(&[0]);
        }
        let digest = hasher.finalize();
        let (head, _) = digest.as_bytes().split_at(8);
        Self {
            seed: u64::from_le_bytes(head.try_into().expect("eight bytes")),
        }
    }

    /// Appends token `index`, with a leading space.
    pub fn push_token(&self, index: u64, text: &mut String) {
        let mixed = mix(self.seed ^ mix(index));
        let word = WORDS[(mixed % WORDS.len() as u64) as usize];
        text.push(' ');
        text.push_str(word);
        let number = (mixed >> 32) % 1000;
        for divisor in [100, 10, 1] {
            text.push(char::from(b'0' + (number / divisor % 10) as u8));
        }
    }
}

/// The first `tokens` tokens of the answer to a chat.
pub fn expected_text(messages: &[ChatMessage], tokens: u64) -> String {
    let output = OutputText::new(messages);
    let mut text = String::new();
    for index in 0..tokens {
        output.push_token(index, &mut text);
    }
    text
}

// Finalizer of SplitMix64.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
