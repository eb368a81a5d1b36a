//! The tokens that a stand-in engine generates: a pure function of the prompt
//! and the position, so that a test detects a missing token, a duplicate one or
//! one of another answer.

use serde::Deserialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;

/// Bytes of hash output per token.
const TOKEN_BYTES: usize = 2;
/// Prompt bytes per block of the prefix cache.
pub const BLOCK_BYTES: usize = 256;
/// Hexadecimal digits in the name of a prefix.
const PREFIX_DIGITS: usize = 16;

/// The answer to one prompt.
#[derive(Clone, Debug)]
pub struct Answer {
    reader: blake3::OutputReader,
}

impl Answer {
    /// Creates the answer to `prompt`.
    pub fn new(prompt: &str) -> Answer {
        let mut hasher = blake3::Hasher::new();
        hasher.update(prompt.as_bytes());
        Answer {
            reader: hasher.finalize_xof(),
        }
    }

    /// Returns the token at `position`, counted from 0.
    pub fn token(&mut self, position: u64) -> SmolStr {
        let mut bytes = [0; TOKEN_BYTES];
        self.reader.set_position(position * TOKEN_BYTES as u64);
        self.reader.fill(&mut bytes);
        format_smolstr!("{:04x} ", u16::from_be_bytes(bytes))
    }

    /// Returns the text of the tokens from `first` up to, but not including,
    /// `end`.
    pub fn text(&mut self, first: u64, end: u64) -> String {
        let mut text = String::new();
        for position in first..end {
            text.push_str(&self.token(position));
        }
        text
    }
}

/// One message of a chat.
#[derive(Clone, Debug, Deserialize)]
pub struct Message {
    /// The role of the speaker, such as `user`.
    pub role: SmolStr,
    /// The text of the message.
    pub content: String,
}

/// Joins the messages of a chat into one prompt.
pub fn chat_prompt(messages: &[Message]) -> String {
    messages
        .iter()
        .map(|message| format!("{}: {}\n", message.role, message.content))
        .collect()
}

/// Returns the names of all prefixes of a prompt that consist of whole blocks,
/// shortest first.
pub fn prefix_names(prompt: &str) -> Vec<SmolStr> {
    let mut hasher = blake3::Hasher::new();
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            hasher.update(block);
            SmolStr::new(&hasher.finalize().to_hex()[..PREFIX_DIGITS])
        })
        .collect()
}

/// Returns the name of the effect of a call: the last word of its text.
pub fn effect_name(text: &str) -> Option<SmolStr> {
    text.split_whitespace().next_back().map(SmolStr::new)
}
