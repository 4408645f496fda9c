//! Objects that another writer may leave in the store, and that cannot be read as entries of
//! endpoints.

/// An object that cannot be read.
#[derive(Debug, Clone)]
pub struct MalformedObject {
    pub what: &'static str,
    pub text: Vec<u8>,
}

impl MalformedObject {
    /// Returns one of each kind.
    pub fn all(name: &str) -> Vec<MalformedObject> {
        let spec =
            |what, spec: &[u8]| MalformedObject { what, text: with_spec(name, spec, b"null") };
        let field = |what, field: &str| spec(what, entry(field).as_bytes());
        let other = |what, text: &[u8]| MalformedObject { what, text: text.to_vec() };
        let digits = format!(r#""Slots":8,"born":{}"#, "9".repeat(400));
        let megabyte = [b"\"", &vec![b'x'; 1_000_000][..], b"\""].concat();
        let status = with_spec(name, b"null", &nested(3_000));
        vec![
            spec("nested deeply", &nested(3_000)),
            field("a number too large", r#""Slots":1e999"#),
            field("a negative number too large", r#""Slots":-1e999"#),
            field("a number of 400 digits", &digits),
            field("half of a surrogate pair", r#""Slots":8,"Zone":"\ud800""#),
            field("a number that is none", r#""Slots":Infinity"#),
            field("a field twice", r#""Slots":8,"Slots":9"#),
            field("an unescaped control character", "\"Slots\":8,\"Zone\":\"a\nb\""),
            spec("bytes that are no text", b"\"\xff\xfe\""),
            spec("a megabyte", &megabyte),
            other("status nested deeply", &status),
            other("no metadata", br#"{"Spec":null}"#),
            other("no object", b"7"),
        ]
    }
}

fn with_spec(name: &str, spec: &[u8], status: &[u8]) -> Vec<u8> {
    let start = format!(r#"{{"Metadata":{{"Name":"{name}","Revision":1}},"Spec":"#);
    [start.as_bytes(), spec, br#","Status":"#, status, b"}"].concat()
}

/// Returns an entry with a field in place of the number of slots.
fn entry(field: &str) -> String {
    format!(
        r#"{{"Service":"plain","Address":"127.0.0.1:9","Zone":"zone-0","Version":"v1",
            "State":"ready","ColdLeftMs":0,"Sequence":1,{field}}}"#
    )
}

fn nested(depth: usize) -> Vec<u8> {
    [vec![b'['; depth], vec![b']'; depth]].concat()
}
