//! CBOR as the protocol uses it: maps with text keys, lists, text, numbers, booleans and null.

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Int(i128),
    Float(f64),
    Text(String),
    List(Vec<Value>),
    Map(Vec<(String, Value)>),
}

impl Value {
    pub fn get(&self, key: &str) -> &Value {
        const NULL: Value = Value::Null;
        match self {
            Value::Map(fields) => fields
                .iter()
                .find(|(k, _)| k == key)
                .map_or(&NULL, |(_, v)| v),
            _ => &NULL,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Value::Text(text) => text,
            _ => "",
        }
    }

    pub fn int(&self) -> u64 {
        match self {
            Value::Int(number) => *number as u64,
            Value::Float(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn num(&self) -> f64 {
        match self {
            Value::Int(number) => *number as f64,
            Value::Float(number) => *number,
            _ => 0.0,
        }
    }

    pub fn is_true(&self) -> bool {
        *self == Value::Bool(true)
    }

    pub fn list(&self) -> &[Value] {
        match self {
            Value::List(items) => items,
            _ => &[],
        }
    }

    pub fn is_null(&self) -> bool {
        *self == Value::Null
    }
}

pub fn text(value: impl Into<String>) -> Value {
    Value::Text(value.into())
}

pub fn int(value: u64) -> Value {
    Value::Int(i128::from(value))
}

pub fn map(fields: Vec<(&str, Value)>) -> Value {
    Value::Map(
        fields
            .into_iter()
            .map(|(k, v)| (k.to_string(), v))
            .collect(),
    )
}

pub fn encode(value: &Value) -> Vec<u8> {
    let mut out = Vec::new();
    write(value, &mut out);
    out
}

fn head(major: u8, number: u64, out: &mut Vec<u8>) {
    let major = major << 5;
    match number {
        0..=23 => out.push(major | number as u8),
        24..=0xff => out.extend([major | 24, number as u8]),
        0x100..=0xffff => {
            out.push(major | 25);
            out.extend((number as u16).to_be_bytes());
        }
        0x1_0000..=0xffff_ffff => {
            out.push(major | 26);
            out.extend((number as u32).to_be_bytes());
        }
        _ => {
            out.push(major | 27);
            out.extend(number.to_be_bytes());
        }
    }
}

fn write(value: &Value, out: &mut Vec<u8>) {
    match value {
        Value::Null => out.push(0xf6),
        Value::Bool(value) => out.push(if *value { 0xf5 } else { 0xf4 }),
        Value::Int(number) if *number >= 0 => head(0, *number as u64, out),
        Value::Int(number) => head(1, (-1 - *number) as u64, out),
        Value::Float(number) => {
            out.push(0xfb);
            out.extend(number.to_be_bytes());
        }
        Value::Text(text) => {
            head(3, text.len() as u64, out);
            out.extend(text.as_bytes());
        }
        Value::List(items) => {
            head(4, items.len() as u64, out);
            items.iter().for_each(|item| write(item, out));
        }
        Value::Map(fields) => {
            head(5, fields.len() as u64, out);
            for (key, value) in fields {
                write(&Value::Text(key.clone()), out);
                write(value, out);
            }
        }
    }
}

pub fn decode(bytes: &[u8]) -> Option<Value> {
    let mut rest = bytes;
    read(&mut rest)
}

fn take<'a>(rest: &mut &'a [u8], count: usize) -> Option<&'a [u8]> {
    if rest.len() < count {
        return None;
    }
    let (first, after) = rest.split_at(count);
    *rest = after;
    Some(first)
}

fn half(bits: u16) -> f64 {
    let (sign, exp, frac) = (bits >> 15, (bits >> 10) & 31, f64::from(bits & 1023));
    let size = match exp {
        0 => frac * 2f64.powi(-24),
        31 if frac == 0.0 => f64::INFINITY,
        31 => f64::NAN,
        _ => (1.0 + frac / 1024.0) * 2f64.powi(i32::from(exp) - 15),
    };
    if sign == 1 {
        -size
    } else {
        size
    }
}

fn read(rest: &mut &[u8]) -> Option<Value> {
    let first = take(rest, 1)?[0];
    let (major, low) = (first >> 5, first & 31);
    if major == 7 {
        return Some(match low {
            20 => Value::Bool(false),
            21 => Value::Bool(true),
            22 | 23 => Value::Null,
            25 => Value::Float(half(u16::from_be_bytes(take(rest, 2)?.try_into().ok()?))),
            26 => Value::Float(f64::from(f32::from_be_bytes(
                take(rest, 4)?.try_into().ok()?,
            ))),
            27 => Value::Float(f64::from_be_bytes(take(rest, 8)?.try_into().ok()?)),
            _ => return None,
        });
    }
    let number = match low {
        0..=23 => u64::from(low),
        24 => u64::from(take(rest, 1)?[0]),
        25 => u64::from(u16::from_be_bytes(take(rest, 2)?.try_into().ok()?)),
        26 => u64::from(u32::from_be_bytes(take(rest, 4)?.try_into().ok()?)),
        27 => u64::from_be_bytes(take(rest, 8)?.try_into().ok()?),
        _ => return None,
    };
    Some(match major {
        0 => Value::Int(i128::from(number)),
        1 => Value::Int(-1 - i128::from(number)),
        3 => Value::Text(String::from_utf8(take(rest, number as usize)?.to_vec()).ok()?),
        4 => Value::List((0..number).map(|_| read(rest)).collect::<Option<_>>()?),
        5 => {
            let mut fields = Vec::new();
            for _ in 0..number {
                let Value::Text(key) = read(rest)? else {
                    return None;
                };
                fields.push((key, read(rest)?));
            }
            Value::Map(fields)
        }
        _ => return None,
    })
}
