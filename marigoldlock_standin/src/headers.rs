//! Headers as text, for the records of what arrived.

use std::collections::BTreeMap;

use axum::http::HeaderMap;

/// Value of a header, if it is there.
pub(crate) fn text_header(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?;
    Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
}

/// All headers in the order of their names.
pub(crate) fn header_texts(headers: &HeaderMap) -> BTreeMap<String, Vec<String>> {
    let mut texts: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (name, value) in headers {
        let text = String::from_utf8_lossy(value.as_bytes()).into_owned();
        texts.entry(name.to_string()).or_default().push(text);
    }
    texts
}
