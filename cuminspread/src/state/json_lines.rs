//! Lines of a JSON text at which objects and arrays begin, for messages to operators.

/// An object with its last key, or an array.
enum Container<'a> {
    Object { key: &'a str, expects_key: bool },
    Array,
}

impl<'a> Container<'a> {
    /// Key of the value that begins next; empty in an array.
    fn key(&self) -> &'a str {
        match self {
            Self::Object { key, .. } => key,
            Self::Array => "",
        }
    }
}

/// Lines, from 1, at which the objects and arrays directly below `path` begin, with their keys.
///
/// `path` has the keys of nested objects, and an empty string for any element of an array. Text that
/// isn't valid gives what was found before the fault.
pub fn children<'a>(text: &'a str, path: &[&str]) -> Vec<(&'a str, u32)> {
    let mut found = Vec::new();
    let mut stack: Vec<Container<'a>> = Vec::new();
    let mut line = 1;
    let mut chars = text.char_indices();
    while let Some((i, c)) = chars.next() {
        match c {
            '\n' => line += 1,
            '"' => {
                let mut escaped = false;
                let end = chars.find(|(_, c)| {
                    let ends = *c == '"' && !escaped;
                    escaped = *c == '\\' && !escaped;
                    ends
                });
                let Some((end, _)) = end else {
                    return found;
                };
                if let Some(Container::Object { key, expects_key }) = stack.last_mut()
                    && std::mem::take(expects_key)
                {
                    *key = &text[i + 1..end];
                }
            }
            '{' | '[' => {
                if let Some((parent, above)) = stack.split_last()
                    && above.iter().map(Container::key).eq(path.iter().copied())
                {
                    found.push((parent.key(), line));
                }
                stack.push(match c {
                    '[' => Container::Array,
                    _ => Container::Object {
                        key: "",
                        expects_key: true,
                    },
                });
            }
            '}' | ']' => drop(stack.pop()),
            ',' => {
                if let Some(Container::Object { expects_key, .. }) = stack.last_mut() {
                    *expects_key = true;
                }
            }
            _ => {}
        }
    }
    found
}
