//! Reads what the gateway must know of an opaque event.

/// Number in an event's id line; `None` if it has none.
pub fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|&byte| byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value.trim_ascii()).ok()?.parse().ok()
    })
}
