//! Base64 with padding.

const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes.
pub fn encode(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let value = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for position in 0..4 {
            if position <= chunk.len() {
                let index = (value >> (18 - 6 * position)) & 63;
                out.push(char::from(LETTERS[index as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// Returns the number of bytes that a text encodes.
pub fn decoded_len(text: &str) -> usize {
    text.trim_end_matches('=').len() * 3 / 4
}
