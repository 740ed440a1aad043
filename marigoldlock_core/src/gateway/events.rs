//! Parses the fields of a server-sent event that the gateway uses.

/// Number in an event's `id` field; `None` if there is none.
pub fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|&byte| byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value.trim_ascii()).ok()?.parse().ok()
    })
}
