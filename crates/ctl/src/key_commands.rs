//! Commands about keys.

use std::io::Read;
use std::io::Write;

use zinniahinge_document::KeyDigest;
use zinniahinge_document::new_key;

use crate::CtlError;
use crate::Result;

/// Longest key that is read, bytes. Entry processes refuse longer headers anyway.
const MAX_KEY_BYTES: u64 = 4096;

/// Prints a new key and its digest.
pub(crate) fn print_new_key(account: Option<&str>, out: &mut dyn Write) -> Result<()> {
    let new_key = new_key();
    if let Some(account) = account {
        writeln!(out, "account = {account}")?;
    }
    writeln!(out, "key = {}", new_key.key)?;
    writeln!(out, "digest = {}", new_key.digest)?;
    Ok(())
}

/// Prints the digest of the key on `input`. A line end after the key does not belong to it.
pub(crate) fn print_digest(input: &mut dyn Read, out: &mut dyn Write) -> Result<()> {
    let mut bytes = Vec::new();
    input.take(MAX_KEY_BYTES + 1).read_to_end(&mut bytes)?;
    let key = read_key(&bytes).map_err(|problem| CtlError::BadKey { problem })?;
    writeln!(out, "{}", KeyDigest::of_key(key))?;
    Ok(())
}

fn read_key(bytes: &[u8]) -> Result<&str, &'static str> {
    if bytes.len() as u64 > MAX_KEY_BYTES {
        return Err("it has more than 4096 bytes");
    }
    let text = str::from_utf8(bytes).map_err(|_| "it is not text")?;
    let line = text.strip_suffix('\n').unwrap_or(text);
    let key = line.strip_suffix('\r').unwrap_or(line);
    match key.bytes().all(|byte| byte.is_ascii_graphic()) {
        _ if key.is_empty() => Err("it is empty"),
        false => Err("a key has visible ASCII characters only, and no blank"),
        true => Ok(key),
    }
}
