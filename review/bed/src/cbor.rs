//! CBOR values: the part of the format that the protocol uses.

/// A value.
#[derive(Clone, Debug, PartialEq)]
pub enum V {
    Null,
    Bool(bool),
    Int(i128),
    Float(f64),
    Text(String),
    List(Vec<V>),
    Map(Vec<(String, V)>),
}

impl V {
    /// Returns a field of a map.
    pub fn get(&self, key: &str) -> Option<&V> {
        match self {
            V::Map(fields) => fields.iter().find(|(k, _)| k == key).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self, key: &str) -> String {
        match self.get(key) {
            Some(V::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn int(&self, key: &str) -> u64 {
        match self.get(key) {
            Some(V::Int(n)) => *n as u64,
            Some(V::Float(n)) => *n as u64,
            _ => 0,
        }
    }

    pub fn bool(&self, key: &str) -> bool {
        self.get(key) == Some(&V::Bool(true))
    }

    pub fn list(&self, key: &str) -> Vec<V> {
        match self.get(key) {
            Some(V::List(items)) => items.clone(),
            _ => Vec::new(),
        }
    }

    /// Returns the value as JSON, the form in which the protocol counts sizes.
    pub fn json(&self) -> String {
        match self {
            V::Null => "null".into(),
            V::Bool(b) => b.to_string(),
            V::Int(n) => n.to_string(),
            V::Float(n) if n.fract() == 0.0 => format!("{n:.1}"),
            V::Float(n) => n.to_string(),
            V::Text(text) => format!("\"{text}\""),
            V::List(items) => {
                let items: Vec<String> = items.iter().map(V::json).collect();
                format!("[{}]", items.join(","))
            }
            V::Map(fields) => {
                let fields: Vec<String> = fields
                    .iter()
                    .map(|(k, v)| format!("\"{k}\":{}", v.json()))
                    .collect();
                format!("{{{}}}", fields.join(","))
            }
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        self.write(&mut out);
        out
    }

    fn write(&self, out: &mut Vec<u8>) {
        match self {
            V::Null => out.push(0xf6),
            V::Bool(b) => out.push(if *b { 0xf5 } else { 0xf4 }),
            V::Int(n) if *n >= 0 => head(out, 0, *n as u64),
            V::Int(n) => head(out, 1, (-1 - *n) as u64),
            V::Float(n) => {
                out.push(0xfb);
                out.extend_from_slice(&n.to_bits().to_be_bytes());
            }
            V::Text(text) => {
                head(out, 3, text.len() as u64);
                out.extend_from_slice(text.as_bytes());
            }
            V::List(items) => {
                head(out, 4, items.len() as u64);
                items.iter().for_each(|item| item.write(out));
            }
            V::Map(fields) => {
                head(out, 5, fields.len() as u64);
                for (key, value) in fields {
                    V::Text(key.clone()).write(out);
                    value.write(out);
                }
            }
        }
    }

    pub fn decode(bytes: &[u8]) -> Option<V> {
        let mut at = 0;
        read(bytes, &mut at)
    }
}

fn head(out: &mut Vec<u8>, major: u8, n: u64) {
    let m = major << 5;
    match n {
        0..=23 => out.push(m | n as u8),
        24..=0xff => out.extend_from_slice(&[m | 24, n as u8]),
        0x100..=0xffff => {
            out.push(m | 25);
            out.extend_from_slice(&(n as u16).to_be_bytes());
        }
        0x1_0000..=0xffff_ffff => {
            out.push(m | 26);
            out.extend_from_slice(&(n as u32).to_be_bytes());
        }
        _ => {
            out.push(m | 27);
            out.extend_from_slice(&n.to_be_bytes());
        }
    }
}

fn take<'a>(bytes: &'a [u8], at: &mut usize, count: usize) -> Option<&'a [u8]> {
    let part = bytes.get(*at..at.checked_add(count)?)?;
    *at += count;
    Some(part)
}

fn read(bytes: &[u8], at: &mut usize) -> Option<V> {
    let first = take(bytes, at, 1)?[0];
    let (major, info) = (first >> 5, first & 31);
    let indefinite = info == 31;
    let n: u64 = match info {
        0..=23 => u64::from(info),
        24 => u64::from(take(bytes, at, 1)?[0]),
        25 => u64::from(u16::from_be_bytes(take(bytes, at, 2)?.try_into().ok()?)),
        26 => u64::from(u32::from_be_bytes(take(bytes, at, 4)?.try_into().ok()?)),
        27 => u64::from_be_bytes(take(bytes, at, 8)?.try_into().ok()?),
        31 => u64::MAX,
        _ => return None,
    };
    let at_break = |at: &mut usize| {
        let ends = indefinite && bytes.get(*at) == Some(&0xff);
        *at += usize::from(ends);
        ends
    };
    Some(match major {
        0 => V::Int(i128::from(n)),
        1 => V::Int(-1 - i128::from(n)),
        2 | 3 => V::Text(String::from_utf8(take(bytes, at, n as usize)?.to_vec()).ok()?),
        4 => {
            let mut items = Vec::new();
            while (items.len() as u64) < n && !at_break(at) {
                items.push(read(bytes, at)?);
            }
            V::List(items)
        }
        5 => {
            let mut fields = Vec::new();
            while (fields.len() as u64) < n && !at_break(at) {
                let V::Text(key) = read(bytes, at)? else {
                    return None;
                };
                fields.push((key, read(bytes, at)?));
            }
            V::Map(fields)
        }
        7 => match info {
            20 => V::Bool(false),
            21 => V::Bool(true),
            22 | 23 => V::Null,
            25 => V::Float(half(n as u16)),
            26 => V::Float(f64::from(f32::from_bits(n as u32))),
            27 => V::Float(f64::from_bits(n)),
            _ => return None,
        },
        _ => return None,
    })
}

/// Converts a number of half precision.
fn half(bits: u16) -> f64 {
    let sign = if bits >> 15 == 1 { -1.0 } else { 1.0 };
    let exponent = i32::from(bits >> 10 & 31);
    let fraction = f64::from(bits & 1023) / 1024.0;
    match exponent {
        0 => sign * fraction * 2f64.powi(-14),
        31 => sign * f64::INFINITY,
        _ => sign * (1.0 + fraction) * 2f64.powi(exponent - 15),
    }
}

/// Builds a map.
#[macro_export]
macro_rules! map {
    ($($key:expr => $value:expr),* $(,)?) => {
        $crate::cbor::V::Map(vec![$(($key.to_string(), $crate::cbor::V::from($value))),*])
    };
}

impl From<&str> for V {
    fn from(text: &str) -> V {
        V::Text(text.into())
    }
}
impl From<String> for V {
    fn from(text: String) -> V {
        V::Text(text)
    }
}
impl From<u64> for V {
    fn from(n: u64) -> V {
        V::Int(i128::from(n))
    }
}
impl From<f64> for V {
    fn from(n: f64) -> V {
        V::Float(n)
    }
}
impl From<bool> for V {
    fn from(b: bool) -> V {
        V::Bool(b)
    }
}
impl From<Vec<V>> for V {
    fn from(items: Vec<V>) -> V {
        V::List(items)
    }
}
