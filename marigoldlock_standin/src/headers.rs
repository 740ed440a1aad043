//! Headers as text, for the recorded requests.

use std::collections::BTreeMap;

use axum::http::HeaderMap;

/// Value of a header, if present.
pub(crate) fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?;
    Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
}

/// All headers, sorted by name.
pub(crate) fn header_texts(headers: &HeaderMap) -> BTreeMap<String, Vec<String>> {
    let mut texts: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (name, value) in headers {
        let text = String::from_utf8_lossy(value.as_bytes()).into_owned();
        texts.entry(name.to_string()).or_default().push(text);
    }
    texts
}
