//! Reading of JSON and of base64, no more than the store needs.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(entries) => entries.iter().find(|(n, _)| n == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(n) => *n as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

pub fn parse(text: &str) -> Json {
    let bytes = text.as_bytes();
    let mut at = 0;
    value(bytes, &mut at)
}

fn space(b: &[u8], at: &mut usize) {
    while b.get(*at).is_some_and(|c| c.is_ascii_whitespace() || matches!(c, b',' | b':')) {
        *at += 1;
    }
}

fn value(b: &[u8], at: &mut usize) -> Json {
    space(b, at);
    match b.get(*at) {
        Some(b'{') => {
            *at += 1;
            let mut entries = Vec::new();
            loop {
                space(b, at);
                match b.get(*at) {
                    Some(b'"') => {
                        let name = string(b, at);
                        entries.push((name, value(b, at)));
                    }
                    _ => {
                        *at += 1;
                        return Json::Table(entries);
                    }
                }
            }
        }
        Some(b'[') => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                space(b, at);
                if matches!(b.get(*at), Some(b']') | None) {
                    *at += 1;
                    return Json::List(list);
                }
                list.push(value(b, at));
            }
        }
        Some(b'"') => Json::Text(string(b, at)),
        _ => {
            let from = *at;
            while b.get(*at).is_some_and(|c| !matches!(c, b',' | b']' | b'}')) {
                *at += 1;
            }
            let word = std::str::from_utf8(&b[from.min(b.len())..*at]).unwrap_or("").trim();
            match word {
                "true" => Json::Bool(true),
                "false" => Json::Bool(false),
                _ => word.parse().map_or(Json::Null, Json::Number),
            }
        }
    }
}

fn string(b: &[u8], at: &mut usize) -> String {
    *at += 1;
    let mut out = Vec::new();
    while let Some(c) = b.get(*at) {
        *at += 1;
        match c {
            b'"' => break,
            b'\\' => {
                let c = b.get(*at).copied().unwrap_or(b'?');
                *at += 1;
                out.push(match c {
                    b'n' => b'\n',
                    b't' => b'\t',
                    b'r' => b'\r',
                    c => c,
                });
            }
            c => out.push(*c),
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let n = group.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - group.len()));
        for i in 0..4 {
            match i <= group.len() {
                true => out.push(LETTERS[(n >> (18 - 6 * i) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}
